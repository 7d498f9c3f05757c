//! The faults of a run and their times: a pure function of the seed.

use fescuerack_core::gateway::budget::Bound;
use rand::seq::{IndexedRandom as _, SliceRandom as _};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;

use crate::crashing::Crashes;
use crate::cuts::Cut;
use crate::proxy::Link;

/// Zones of the nodes of a run: two, or four with many nodes.
const ZONES: [&str; 4] = ["a", "b", "c", "d"];
/// Number of nodes from which on they are in all zones.
const MANY_NODES: usize = 24;
/// Number of backend servers in a run. Even ones answer plainly, odd ones stream.
pub const BACKENDS: usize = 6;
/// Bound on the repeats of all nodes.
pub const BOUND: Bound = Bound {
    ratio: 0.9,
    slack: 50.0,
    window_ms: 10_000,
};
/// The same for runs with failing servers. Its window is short enough that a run has several.
pub const NARROW_BOUND: Bound = Bound {
    ratio: 0.3,
    slack: 40.0,
    window_ms: 4_000,
};
/// Number of series of faults in a run with failing servers.
const SERIES_PER_RUN: usize = 3;
/// Mixed into the seed, so that these series are drawn independently of the other faults.
const SERIES_SEED: u64 = 0x7365_7269;
/// Time before the first fault.
const QUIET_MS: u64 = 1_500;
/// Time between the starts of two faults. Most faults last longer, so that they overlap.
const INTERVAL_MS: std::ops::Range<u64> = 150..900;
/// Duration of a fault.
const DURATION_MS: std::ops::Range<u64> = 200..2_500;

/// Number of evacuations in a run.
const EVACUATIONS_PER_RUN: usize = 3;
/// Number of times that a server states each of the three things in a run.
const STATEMENTS_PER_RUN: usize = 2;
/// Mixed into the seed, so that statements are drawn independently of the other faults.
const STATEMENT_SEED: u64 = 0x7374_6174;

/// Mixed into the seed, so that evacuations are drawn independently of the other faults.
const EVACUATION_SEED: u64 = 0x7a6f_6e65;

/// Duration of a cut of a node from all servers: until its callers must be served, and some
/// seconds.
const CUT_MS: std::ops::Range<u64> = 5_000..8_000;
/// Time for which a caller repeats a request that crashes servers: until nodes must refuse it, and
/// more.
const CRASHING_MS: u64 = 7_000;
/// Time between two returns of the store from a copy.
const RETURN_INTERVAL_MS: u64 = 6_000;
/// Mixed into the seed, so that these are drawn independently of the other faults.
const SPARED_SEED: u64 = 0x7370_6172;
/// The same for returns of the store.
const RETURN_SEED: u64 = 0x7265_7475;
/// Mixed into the seed, so that these are drawn independently of the other faults.
const CUT_SEED: u64 = 0x6375_7473;

/// Mixed into the seed, so that faults of what nodes know of each other are drawn independently.
const MEMBERSHIP_SEED: u64 = 0x6d65_6d62;
/// Limit of a server that states one all the while, in tenths of a request a second.
const STEADY_LIMIT_TENTHS: u32 = 10;
/// Time from which such a limit must be kept.
const LIMIT_KEPT_MS: u64 = 3_500;
/// Time for which many nodes are suspended at once.
const LONG_PAUSE_MS: u64 = 2_600;

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
    /// The store answers no request, and the leases of all nodes end.
    StoreLapse,
    /// The leases of all nodes end while the store answers.
    Lapse,
    /// The leases of every second node end while the store answers.
    LapseHalf,
    /// A node is killed, its lease ends, and it joins again.
    Replace { node: usize },
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
    /// A backend server answers nine in ten requests with failures.
    FailMost { backend: usize },
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
    /// A backend server states in its answers that it leaves, while the store lists it as ready,
    /// and returns as a new server.
    StatedLeave { backend: usize },
    /// A backend server refuses all requests and asks for rest.
    Rest { backend: usize },
    /// A backend server is spared from all cuts of nodes.
    Spare { backend: usize },
    /// The store comes back from a copy that it has made at the beginning of the fault.
    StoreReturns,
    /// The servers of a service state that they are brittle, and let none wait after a while.
    Brittle { service: &'static str },
    /// A node is cut off from all backend servers.
    CutNode { node: usize, cut: Cut },
    /// A caller repeats a request that crashes servers.
    CrashingRequest { how: Crashes },
}

/// How many nodes a run has.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    /// Number of nodes.
    pub nodes: usize,
}

impl Scale {
    /// A run that CI can bear beside others.
    pub const SMALL: Self = Self { nodes: 4 };

    /// Returns the zone of a node.
    pub const fn zone(self, node: usize) -> &'static str {
        let zones = if self.nodes < MANY_NODES { 2 } else { 4 };
        ZONES[node % zones]
    }
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
pub fn new(scale: Scale, seed: u64, length_ms: u64) -> Vec<Step> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at_ms = QUIET_MS;
    while at_ms < length_ms {
        steps.push(Step {
            at_ms,
            duration_ms: rng.random_range(DURATION_MS),
            fault: fault(scale, &mut rng),
        });
        at_ms += rng.random_range(INTERVAL_MS);
    }
    steps
}

/// Returns the faults of [`new`], with cold starts of servers and evacuations of zones.
pub fn with_zones(scale: Scale, seed: u64, length_ms: u64) -> Vec<Step> {
    let mut rng = Pcg64::seed_from_u64(seed ^ EVACUATION_SEED);
    let mut steps = new(scale, seed, length_ms);
    steps.push(Step {
        at_ms: 0,
        duration_ms: 0,
        fault: Fault::ColdStarts,
    });
    for _ in 0..EVACUATIONS_PER_RUN {
        let zone = if rng.random() { "a" } else { "b" };
        steps.push(Step {
            at_ms: rng.random_range(QUIET_MS..length_ms),
            duration_ms: rng.random_range(DURATION_MS),
            fault: Fault::Evacuate { zone },
        });
    }
    steps
}

/// Returns the faults of [`with_zones`], with servers that state in their answers that they are
/// limited, leave or want rest.
pub fn with_statements(scale: Scale, seed: u64, length_ms: u64) -> Vec<Step> {
    let mut rng = Pcg64::seed_from_u64(seed ^ STATEMENT_SEED);
    let mut steps = with_zones(scale, seed, length_ms);
    for _ in 0..STATEMENTS_PER_RUN {
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

/// Returns cuts of some nodes from all backend servers, beside changes of the configuration and
/// planned stops.
pub fn with_cut_nodes(scale: Scale, seed: u64, length_ms: u64) -> Vec<Step> {
    let mut rng = Pcg64::seed_from_u64(seed ^ CUT_SEED);
    let mut steps = Vec::new();
    let mut nodes: Vec<usize> = (0..scale.nodes).collect();
    for at_ms in [QUIET_MS, QUIET_MS + length_ms] {
        nodes.shuffle(&mut rng);
        let (cut, others) = nodes.split_at(rng.random_range(1..scale.nodes));
        let how = [Cut::Silent, Cut::Reset, Cut::RefusesNew];
        let how = *how.choose(&mut rng).expect("some");
        let duration_ms = rng.random_range(CUT_MS);
        let step = |at_ms, fault| Step {
            at_ms,
            duration_ms,
            fault,
        };
        let all = cut
            .iter()
            .map(|&node| step(at_ms, Fault::CutNode { node, cut: how }));
        steps.extend(all);
        let later = at_ms + rng.random_range(0..CUT_MS.start);
        steps.push(step(later, Fault::Configure));
        if let [node, _, ..] = *others {
            let later = at_ms + rng.random_range(CUT_MS.start..CUT_MS.end);
            steps.push(step(later, Fault::Stop { node }));
        }
    }
    steps
}

/// Returns the cuts of [`with_cut_nodes`], which spare one server.
pub fn with_spared_server(scale: Scale, seed: u64, length_ms: u64) -> Vec<Step> {
    let mut rng = Pcg64::seed_from_u64(seed ^ SPARED_SEED);
    let mut steps = with_cut_nodes(scale, seed, length_ms);
    let backend = rng.random_range(0..BACKENDS);
    steps.push(Step {
        at_ms: 0,
        duration_ms: 0,
        fault: Fault::Spare { backend },
    });
    steps
}

/// Returns faults of nodes and changes of the configuration, and a store that comes back from a copy
/// again and again.
pub fn with_returns_of_the_store(scale: Scale, seed: u64, length_ms: u64) -> Vec<Step> {
    let mut rng = Pcg64::seed_from_u64(seed ^ RETURN_SEED);
    let is_kept = |step: &Step| {
        matches!(
            step.fault,
            Fault::Configure
                | Fault::Kill { .. }
                | Fault::Stop { .. }
                | Fault::Pause { .. }
                | Fault::Drain { .. }
                | Fault::StoreCompact
        )
    };
    let mut steps: Vec<Step> = new(scale, seed, length_ms)
        .into_iter()
        .filter(is_kept)
        .collect();
    let mut at_ms = QUIET_MS;
    while at_ms < length_ms {
        let duration_ms = rng.random_range(DURATION_MS);
        steps.push(Step {
            at_ms,
            duration_ms,
            fault: Fault::StoreReturns,
        });
        let configure = at_ms + duration_ms + rng.random_range(INTERVAL_MS);
        steps.push(Step {
            at_ms: configure,
            duration_ms: 0,
            fault: Fault::Configure,
        });
        at_ms += RETURN_INTERVAL_MS;
    }
    steps
}

/// Returns two servers that state a limit all the while, others that crash and come back cold, and
/// faults of what nodes know of each other.
pub fn with_limits(scale: Scale, seed: u64, length_ms: u64) -> Vec<Step> {
    let mut rng = Pcg64::seed_from_u64(seed ^ MEMBERSHIP_SEED);
    let step = |at_ms, duration_ms, fault| Step {
        at_ms,
        duration_ms,
        fault,
    };
    let limit = |backend| Fault::Limit {
        backend,
        tenths: STEADY_LIMIT_TENTHS,
    };
    let mut steps = vec![
        step(0, 0, Fault::ColdStarts),
        step(0, length_ms, limit(0)),
        step(0, length_ms, limit(2)),
    ];
    // Servers are cold while nodes know little of each other.
    for backend in [1, 3] {
        let at_ms = LIMIT_KEPT_MS + rng.random_range(0..2_000);
        steps.push(step(at_ms, 300, Fault::Crash { backend }));
    }
    steps.extend(membership_faults(scale, &mut rng, length_ms));
    steps
}

/// Returns brittle servers, and faults of what nodes know of each other.
pub fn with_brittle_servers_and_lapses(scale: Scale, seed: u64, length_ms: u64) -> Vec<Step> {
    let mut rng = Pcg64::seed_from_u64(seed ^ MEMBERSHIP_SEED);
    let brittle = ["books", "models"].map(|service| Step {
        at_ms: 0,
        duration_ms: length_ms,
        fault: Fault::Brittle { service },
    });
    let mut steps = Vec::from(brittle);
    steps.extend(membership_faults(scale, &mut rng, length_ms));
    steps
}

/// Draws faults of one kind, from when limits must be kept until a window before the end.
fn membership_faults(scale: Scale, rng: &mut Pcg64, length_ms: u64) -> Vec<Step> {
    let kind = rng.random_range(0..8);
    let begin = LIMIT_KEPT_MS + rng.random_range(0..2_500);
    let again = length_ms - 6_000 + rng.random_range(0..1_500);
    let outage_ms = rng.random_range(DURATION_MS);
    let step = |at_ms, duration_ms, fault| Step {
        at_ms,
        duration_ms,
        fault,
    };
    let mut nodes: Vec<usize> = (0..scale.nodes).collect();
    nodes.shuffle(rng);
    let in_turn = |count: usize, interval_ms: u64, duration_ms, fault: fn(usize) -> Fault| {
        let times = (begin..length_ms).step_by(usize::try_from(interval_ms).expect("short"));
        let turns = nodes.iter().take(count).zip(times);
        let turns = turns.map(|(&node, at_ms)| step(at_ms, duration_ms, fault(node)));
        turns.collect::<Vec<_>>()
    };
    match kind {
        0 => vec![step(begin, 0, Fault::Lapse)],
        1 => vec![step(begin, outage_ms, Fault::StoreLapse)],
        2 => vec![
            step(begin, outage_ms, Fault::StoreLapse),
            step(again, outage_ms, Fault::StoreLapse),
        ],
        3 => vec![
            step(begin, 0, Fault::LapseHalf),
            step(again, 0, Fault::LapseHalf),
        ],
        4 => vec![step(begin, 0, Fault::Lapse), step(again, 0, Fault::Lapse)],
        5 => nodes[..scale.nodes / 2]
            .iter()
            .map(|&node| step(begin, LONG_PAUSE_MS, Fault::Pause { node }))
            .chain([step(begin, 0, Fault::Lapse)])
            .collect(),
        6 => in_turn(scale.nodes, 150, 0, |node| Fault::Kill { node }),
        _ => in_turn(scale.nodes / 3, 150, 1_500, |node| Fault::Replace { node }),
    }
}

/// Returns servers of both services that are brittle, beside stops and changes of the configuration.
pub fn with_brittle_servers(scale: Scale, seed: u64, length_ms: u64) -> Vec<Step> {
    let mut rng = Pcg64::seed_from_u64(seed ^ STATEMENT_SEED);
    let brittle = ["books", "models"].map(|service| Step {
        at_ms: QUIET_MS,
        duration_ms: length_ms,
        fault: Fault::Brittle { service },
    });
    let mut steps = Vec::from(brittle);
    let node = rng.random_range(0..scale.nodes);
    for fault in [Fault::Configure, Fault::Stop { node }] {
        steps.push(Step {
            at_ms: rng.random_range(QUIET_MS..length_ms),
            duration_ms: 0,
            fault,
        });
    }
    steps
}

/// Returns callers who repeat requests that crash servers, one in each way, one after the other.
pub fn with_crashing_requests(seed: u64) -> Vec<Step> {
    let mut rng = Pcg64::seed_from_u64(seed ^ CUT_SEED);
    let mut ways = Crashes::OF_REQUEST;
    ways.shuffle(&mut rng);
    let mut at_ms = QUIET_MS;
    let step = |how| {
        let step = Step {
            at_ms,
            duration_ms: CRASHING_MS,
            fault: Fault::CrashingRequest { how },
        };
        at_ms += CRASHING_MS + rng.random_range(INTERVAL_MS);
        step
    };
    ways.into_iter()
        .chain([Crashes::UnderBlock])
        .map(step)
        .collect()
}

/// Returns faults while all backend servers fail most requests: series of kills or pauses of all
/// nodes, outages of the store in which the entries of the nodes lapse, and links that hold and let
/// go.
pub fn with_failing_servers(scale: Scale, seed: u64, length_ms: u64) -> Vec<Step> {
    let mut rng = Pcg64::seed_from_u64(seed ^ SERIES_SEED);
    let mut steps: Vec<Step> = (0..BACKENDS)
        .map(|backend| Step {
            at_ms: QUIET_MS,
            duration_ms: length_ms,
            fault: Fault::FailMost { backend },
        })
        .collect();
    for _ in 0..SERIES_PER_RUN {
        steps.extend(series(scale, &mut rng, length_ms));
    }
    steps
}

/// Draws a series of faults of one kind.
fn series(scale: Scale, rng: &mut Pcg64, length_ms: u64) -> Vec<Step> {
    let kind = rng.random_range(0..4);
    let interval_ms = rng.random_range(900..2_500);
    let duration_ms = rng.random_range(DURATION_MS);
    let begin = rng.random_range(QUIET_MS..length_ms / 2);
    let backend = rng.random_range(0..BACKENDS);
    let step = |at_ms, fault| Step {
        at_ms,
        duration_ms,
        fault,
    };
    let interval = usize::try_from(interval_ms).expect("short");
    let times = (begin..length_ms).step_by(interval);
    let of_nodes = |fault: fn(usize) -> Fault| {
        let at = |at_ms| (0..scale.nodes).map(move |node| step(at_ms, fault(node)));
        times.clone().flat_map(at).collect()
    };
    match kind {
        0 => of_nodes(|node| Fault::Kill { node }),
        1 => of_nodes(|node| Fault::Pause { node }),
        2 => vec![step(begin, Fault::StoreLapse)],
        _ => {
            let link = Link::Stalled;
            let hold = |at_ms| step(at_ms, Fault::BackendLink { backend, link });
            times.map(hold).collect()
        }
    }
}

fn fault(scale: Scale, rng: &mut Pcg64) -> Fault {
    let node = rng.random_range(0..scale.nodes);
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
