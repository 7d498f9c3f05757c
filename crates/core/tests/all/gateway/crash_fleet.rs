//! How long it takes until all nodes of a fleet know of a request that crashes servers, on a
//! virtual clock.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::crash::{CRASH_LIMIT, End, Observation, Suspects, owners};
use fescuerack_core::gateway::load::{self, Duty, REPORT_INTERVAL_MS};
use fescuerack_core::gateway::rank::Instance;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use rstest::rstest;

const ZONES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
/// Milliseconds between two reports of a node without requests.
const IDLE_INTERVAL_MS: u64 = 1_000;
/// Milliseconds of a message on its way, zones apart.
const MESSAGE_MS: u64 = 2;
/// Milliseconds after the third crash from which on hardly any server may get the request.
const KNOWN_WITHIN_MS: u64 = 3_000;
const REQUEST_DIGEST: u64 = 5;

/// Events of the fleet, by time in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A node sends its report.
    Report(usize),
    /// The report of the first node arrives at the second, which answers.
    Arrival(usize, usize),
}

struct Fleet {
    nodes: Vec<Suspects>,
    /// Node that each one reports to.
    hubs: Vec<Option<usize>>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    interval_ms: u64,
}

impl Fleet {
    fn new(names: &[String], interval_ms: u64, random: &mut SmallRng) -> Self {
        let instances: Vec<Instance> = names
            .iter()
            .enumerate()
            .map(|(number, name)| Instance {
                name,
                zone: ZONES[number % ZONES.len()],
                link_mbps: 0,
            })
            .collect();
        let numbers: HashMap<&str, usize> = (names.iter().map(String::as_str)).zip(0..).collect();
        let hub = |name: &String| match load::duty(name, &instances) {
            Duty::Member(hub) | Duty::Hub(hub) | Duty::ZoneHub(hub) => Some(numbers[hub]),
            Duty::Top => None,
        };
        let hubs: Vec<Option<usize>> = names.iter().map(hub).collect();
        let mut fleet = Self {
            nodes: vec![Suspects::default(); names.len()],
            events: BinaryHeap::new(),
            interval_ms,
            hubs,
        };
        for node in 0..names.len() {
            let at = random.random_range(0..fleet.interval_of(node));
            fleet.events.push(Reverse((at, Event::Report(node))));
        }
        fleet
    }

    /// A hub always reports, a member less often if it has no requests.
    fn interval_of(&self, node: usize) -> u64 {
        let is_hub = self.hubs.contains(&Some(node)) || self.hubs[node].is_none();
        if is_hub {
            REPORT_INTERVAL_MS
        } else {
            self.interval_ms
        }
    }

    fn is_refused(&self, node: usize, at: u64) -> bool {
        self.nodes[node].is_refused(Instant::from_millis(at), REQUEST_DIGEST)
    }

    fn step(&mut self) -> u64 {
        let Reverse((at, event)) = self.events.pop().expect("nodes go on to report");
        match event {
            Event::Report(node) => {
                let next = at + self.interval_of(node);
                self.events.push(Reverse((next, Event::Report(node))));
                if let Some(hub) = self.hubs[node] {
                    let arrives = at + MESSAGE_MS;
                    self.events
                        .push(Reverse((arrives, Event::Arrival(node, hub))));
                }
            }
            Event::Arrival(node, hub) => {
                self.pass(node, hub, at);
                self.pass(hub, node, at);
            }
        }
        at
    }

    fn pass(&mut self, from: usize, to: usize, at: u64) {
        let now = Instant::from_millis(at);
        for mark in self.nodes[from].marks(now) {
            self.nodes[to].receive(now, &mark);
        }
    }
}

/// Guards against a request that reaches servers through nodes which hear of its crashes late, or
/// never: in large fleets, with little traffic, and with an owner that is gone.
#[rstest]
fn receive_all_nodes_know_in_time(
    #[values(7, 78, 295, 985)] count: usize,
    #[values(REPORT_INTERVAL_MS, IDLE_INTERVAL_MS)] interval_ms: u64,
    #[values(false, true)] loses_owner: bool,
) {
    let mut latest = 0;
    for seed in 0..8 {
        let mut random = SmallRng::seed_from_u64(seed);
        let names: Vec<String> = (0..count)
            .map(|number| format!("{seed}-{number}"))
            .collect();
        let mut fleet = Fleet::new(&names, interval_ms, &mut random);
        let told = owners(REQUEST_DIGEST, names.iter().map(String::as_str));
        let told = told.iter().skip(usize::from(loses_owner));
        let told: Vec<usize> = told
            .map(|owner| names.iter().position(|name| name == owner).expect("listed"))
            .collect();
        // The crashes are over, one at each of three nodes, when all that is left is to tell.
        for server in 0..CRASH_LIMIT {
            let server = u32::try_from(server).expect("few");
            let end = End::Crashed { server, ran_ms: 0 };
            for owner in &told {
                let observation = Observation {
                    request: REQUEST_DIGEST,
                    end,
                };
                fleet.nodes[*owner].observe(Instant::from_millis(0), observation);
            }
        }
        let mut unaware: Vec<usize> = (0..count).collect();
        let mut at = 0;
        while !unaware.is_empty() && at <= 2 * KNOWN_WITHIN_MS {
            at = fleet.step();
            unaware.retain(|node| !fleet.is_refused(*node, at));
        }
        assert!(unaware.is_empty(), "seed {seed}: {unaware:?} never know");
        latest = latest.max(at);
    }
    println!(
        "{count} nodes, reports each {interval_ms} ms, owner lost {loses_owner}: last after {latest} ms"
    );
    assert!(latest <= KNOWN_WITHIN_MS, "the last one after {latest} ms");
}
