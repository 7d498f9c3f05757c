//! What goes wrong, and when: a pure function of the seed.

use rand::seq::IndexedRandom as _;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;

use crate::proxy::Link;

/// Nodes of a run.
pub const NODES: usize = 4;
/// Backend servers of a run; even ones are plain, odd ones stream.
pub const BACKENDS: usize = 6;
/// Milliseconds before the first fault.
const QUIET_MS: u64 = 1_500;
/// Milliseconds between two faults; they last longer, so they overlap.
const GAP_MS: std::ops::Range<u64> = 150..900;
/// Milliseconds that a fault lasts.
const LASTS_MS: std::ops::Range<u64> = 200..2_500;

/// Evacuations of a run.
const EVACUATIONS: usize = 3;
/// Draws evacuations apart from the other faults of the same seed.
const ZONES: u64 = 0x7a6f_6e65;

/// Something done to nodes, store or backend servers from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A node is killed, and starts again.
    Kill { node: usize },
    /// A node is asked to stop, and starts again once it is gone.
    Stop { node: usize },
    /// A node stands still.
    Pause { node: usize },
    /// A node is told to read its settings again.
    Reload { node: usize },
    /// The store answers nobody.
    StoreSilent,
    /// The store says that it is busy.
    StoreBusy,
    /// The store forgets its history.
    StoreCompact,
    /// A node's connections to the store.
    StoreLink { node: usize, link: Link },
    /// All connections to a backend server.
    BackendLink { backend: usize, link: Link },
    /// A backend server crashes and comes back as another.
    Crash { backend: usize },
    /// A backend server says that it leaves, and comes back as another.
    Drain { backend: usize },
    /// A backend server fails what it runs.
    Fail { backend: usize },
    /// A backend server takes nothing.
    Refuse { backend: usize },
    /// The operators change the configuration.
    Configure,
    /// Backend servers that start again are cold for a while from now on.
    ColdStarts,
    /// The operators evacuate an availability zone.
    Evacuate { zone: &'static str },
}

/// A fault and its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Milliseconds from the start of traffic.
    pub at_ms: u64,
    /// Milliseconds that it lasts, if it does.
    pub lasts_ms: u64,
    /// What.
    pub fault: Fault,
}

/// Draws the faults of the first `length_ms` milliseconds.
pub fn new(seed: u64, length_ms: u64) -> Vec<Step> {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at_ms = QUIET_MS;
    while at_ms < length_ms {
        steps.push(Step {
            at_ms,
            lasts_ms: random.random_range(LASTS_MS),
            fault: fault(&mut random),
        });
        at_ms += random.random_range(GAP_MS);
    }
    steps
}

/// The faults of [`new`], while servers start cold and zones are evacuated.
pub fn with_zones(seed: u64, length_ms: u64) -> Vec<Step> {
    let mut random = Pcg64::seed_from_u64(seed ^ ZONES);
    let mut steps = new(seed, length_ms);
    steps.push(Step {
        at_ms: 0,
        lasts_ms: 0,
        fault: Fault::ColdStarts,
    });
    for _ in 0..EVACUATIONS {
        let zone = if random.random() { "a" } else { "b" };
        steps.push(Step {
            at_ms: random.random_range(QUIET_MS..length_ms),
            lasts_ms: random.random_range(LASTS_MS),
            fault: Fault::Evacuate { zone },
        });
    }
    steps
}

fn fault(random: &mut Pcg64) -> Fault {
    let node = random.random_range(0..NODES);
    let backend = random.random_range(0..BACKENDS);
    let links = [Link::Slow, Link::Held, Link::Deaf, Link::Mute, Link::Reset];
    let link = *links.choose(random).expect("some");
    match random.random_range(0..18) {
        0 => Fault::Kill { node },
        1 | 2 => Fault::Stop { node },
        3 => Fault::Pause { node },
        4 => Fault::Reload { node },
        5 => Fault::StoreSilent,
        6 => Fault::StoreBusy,
        7 => Fault::StoreCompact,
        8 => Fault::StoreLink { node, link },
        9 | 16 => Fault::BackendLink { backend, link },
        10 | 17 => Fault::Crash { backend },
        11 => Fault::Drain { backend },
        12 => Fault::Fail { backend },
        13 => Fault::Refuse { backend },
        _ => Fault::Configure,
    }
}
