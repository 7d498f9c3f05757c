//! The faults of a run and their times: a pure function of the seed.

use rand::seq::IndexedRandom as _;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;

use crate::proxy::Link;

/// Number of nodes in a run.
pub const NODES: usize = 4;
/// Number of backend servers in a run. Even ones answer plainly, odd ones stream.
pub const BACKENDS: usize = 6;
/// Time before the first fault.
const QUIET_MS: u64 = 1_500;
/// Time between the starts of two faults. Most faults last longer, so that they overlap.
const INTERVAL_MS: std::ops::Range<u64> = 150..900;
/// Duration of a fault.
const DURATION_MS: std::ops::Range<u64> = 200..2_500;

/// Number of evacuations in a run.
const EVACUATIONS: usize = 3;
/// Number of times that a server states each of the three things in a run.
const STATEMENTS: usize = 2;
/// Mixed into the seed, so that statements are drawn independently of the other faults.
const STATEMENT_SEED: u64 = 0x7374_6174;

/// Mixed into the seed, so that evacuations are drawn independently of the other faults.
const EVACUATION_SEED: u64 = 0x7a6f_6e65;

/// A fault of nodes, of the store or of backend servers, or an action of operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A node is killed and restarted.
    Kill { node: usize },
    /// A node is stopped gracefully, and restarted once it has exited.
    Stop { node: usize },
    /// A node is suspended.
    Pause { node: usize },
    /// A node reloads its settings.
    Reload { node: usize },
    /// The store answers no request.
    StoreSilent,
    /// The store reports that it is busy.
    StoreBusy,
    /// The store discards its history.
    StoreCompact,
    /// The links of a node to the store change their behaviour.
    StoreLink { node: usize, link: Link },
    /// All links to a backend server change their behaviour.
    BackendLink { backend: usize, link: Link },
    /// A backend server crashes and returns as a new server.
    Crash { backend: usize },
    /// A backend server drains and returns as a new server.
    Drain { backend: usize },
    /// A backend server answers with failures.
    Fail { backend: usize },
    /// A backend server refuses all requests.
    Refuse { backend: usize },
    /// The operators change the configuration.
    Configure,
    /// From now on, backend servers are cold for a while after a restart.
    ColdStarts,
    /// The operators evacuate an availability zone.
    Evacuate { zone: &'static str },
    /// A backend server states a limit, in tenths of a request a second.
    Limit { backend: usize, tenths: u32 },
    /// A backend server states in its answers that it leaves, while the store lists it as ready, and
    /// returns as a new server.
    StatedLeave { backend: usize },
    /// A backend server refuses all requests and asks for rest.
    Rest { backend: usize },
}

/// A fault and its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Time since the start of traffic, in milliseconds.
    pub at_ms: u64,
    /// Duration in milliseconds, for faults that have one.
    pub duration_ms: u64,
    /// The fault.
    pub fault: Fault,
}

/// Draws the faults of the first `length_ms` milliseconds.
pub fn new(seed: u64, length_ms: u64) -> Vec<Step> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at_ms = QUIET_MS;
    while at_ms < length_ms {
        steps.push(Step {
            at_ms,
            duration_ms: rng.random_range(DURATION_MS),
            fault: fault(&mut rng),
        });
        at_ms += rng.random_range(INTERVAL_MS);
    }
    steps
}

/// Returns the faults of [`new`], with cold starts of servers and evacuations of zones.
pub fn with_zones(seed: u64, length_ms: u64) -> Vec<Step> {
    let mut rng = Pcg64::seed_from_u64(seed ^ EVACUATION_SEED);
    let mut steps = new(seed, length_ms);
    steps.push(Step {
        at_ms: 0,
        duration_ms: 0,
        fault: Fault::ColdStarts,
    });
    for _ in 0..EVACUATIONS {
        let zone = if rng.random() { "a" } else { "b" };
        steps.push(Step {
            at_ms: rng.random_range(QUIET_MS..length_ms),
            duration_ms: rng.random_range(DURATION_MS),
            fault: Fault::Evacuate { zone },
        });
    }
    steps
}

/// Returns the faults of [`with_zones`], with servers that state in their answers that they are limited,
/// leave or want rest.
pub fn with_statements(seed: u64, length_ms: u64) -> Vec<Step> {
    let mut rng = Pcg64::seed_from_u64(seed ^ STATEMENT_SEED);
    let mut steps = with_zones(seed, length_ms);
    for _ in 0..STATEMENTS {
        let limit = Fault::Limit {
            backend: rng.random_range(0..BACKENDS),
            tenths: rng.random_range(2..20),
        };
        let leave = Fault::StatedLeave {
            backend: rng.random_range(0..BACKENDS),
        };
        let rest = Fault::Rest {
            backend: rng.random_range(0..BACKENDS),
        };
        for fault in [limit, leave, rest] {
            steps.push(Step {
                at_ms: rng.random_range(QUIET_MS..length_ms),
                duration_ms: rng.random_range(DURATION_MS),
                fault,
            });
        }
    }
    steps
}

fn fault(rng: &mut Pcg64) -> Fault {
    let node = rng.random_range(0..NODES);
    let backend = rng.random_range(0..BACKENDS);
    let links = [
        Link::Slow,
        Link::Stalled,
        Link::LosesResponses,
        Link::LosesRequests,
        Link::Reset,
    ];
    let link = *links.choose(rng).expect("some");
    match rng.random_range(0..18) {
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
