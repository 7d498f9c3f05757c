//! A fleet of nodes on a virtual clock that repeat the requests of a failing service.

use std::collections::BTreeMap;

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::budget::{Bound, Budget};
use fescuerack_core::gateway::share::Share;
use fescuerack_core::gateway::standstill::{Standstill, TICK_MS};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;

use super::repeats::Record;

/// When traffic starts, in milliseconds. The nodes have discovered each other by then.
pub const TRAFFIC_MS: u64 = 12_000;
/// Length of one step, in milliseconds.
const STEP_MS: u64 = 10;
/// Time to live of an entry that is not renewed, in milliseconds.
const TTL_MS: u64 = 16_000;
/// Maximum delay until a node learns of a change of the store, in milliseconds.
const LAG_MS: u64 = 1_000;
/// Delay until a node whose lease has ended registers again, in milliseconds.
const REREGISTER_MS: std::ops::Range<u64> = 2_000..6_000;
/// Share of the requests that fail.
const FAILING_SHARE: f64 = 0.9;
/// Share of the servers whose links are held.
const HELD_SHARE: f64 = 0.3;
/// Servers that one request may reach.
const MAX_ATTEMPTS: u32 = 3;
/// Milliseconds until an attempt has failed.
const LATENCY_MS: std::ops::Range<u64> = 50..300;

/// Size of a fleet, its traffic and its bound.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of nodes.
    pub nodes: usize,
    /// Requests a second to the service, over all nodes.
    pub requests_per_s: f64,
    /// Further attempts in a window in addition to those by ratio.
    pub slack: f64,
}

impl Size {
    /// Returns the traffic and the slack that operators state for fleets of about `nodes` nodes.
    pub const fn new(nodes: usize) -> Self {
        let (requests_per_s, slack) = match nodes {
            0..20 => (56.0, 54.0),
            20..150 => (300.0, 196.0),
            150..600 => (600.0, 630.0),
            _ => (663.0, 1_040.0),
        };
        Self {
            nodes,
            requests_per_s,
            slack,
        }
    }

    /// Returns the bound.
    pub const fn bound(&self) -> Bound {
        Bound {
            ratio: 0.9,
            slack: self.slack,
            window_ms: 10_000,
        }
    }
}

/// What happens to the fleet.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// The store stops answering.
    StoreDown,
    /// All leases end while the store does not answer.
    Lapse,
    /// The store answers again.
    StoreUp,
    /// A process is killed and starts anew.
    Restart(usize),
    /// A process starts that has not run before.
    Start(usize),
    /// A process ends; its callers go to the others.
    End(usize),
    /// A process stands still until a time, in milliseconds; its callers' requests wait for it.
    Pause(usize, u64),
    /// A node loses the store, or reaches it again.
    Cut(usize, bool),
    /// The links to some of the servers hold what is sent, until a time in milliseconds.
    Hold { until: u64 },
}

struct Node {
    share: Share,
    standstill: Standstill,
    budget: Budget,
    /// Counts the starts of the process.
    life: u32,
    is_up: bool,
    is_cut: bool,
    paused_until: u64,
    /// Requests that were sent while the process stood still.
    waiting: u32,
    /// The list as the node has it.
    listed: usize,
    /// When the store last confirmed the list.
    heard: u64,
    register_at: Option<u64>,
}

impl Node {
    fn new(phase: f64) -> Self {
        Self {
            share: Share::new(phase),
            standstill: Standstill::default(),
            budget: Budget::default(),
            life: 0,
            is_up: true,
            is_cut: false,
            paused_until: 0,
            waiting: 0,
            listed: 0,
            heard: 0,
            register_at: Some(0),
        }
    }
}

struct Fleet {
    size: Size,
    rng: Pcg64,
    nodes: Vec<Node>,
    /// Entries of the store, with the time at which each ends unless it is renewed.
    entries: BTreeMap<usize, u64>,
    is_store_up: bool,
    held_until: u64,
    /// Attempts that will have failed, by the time at which they have.
    failures: BTreeMap<u64, Vec<(usize, u32, u32)>>,
    record: Record,
}

/// Plays `events`, given with their times in milliseconds, on nodes of which `started` run from the
/// beginning.
pub fn play(size: Size, started: usize, length_ms: u64, events: &[(u64, Event)]) -> Record {
    let mut fleet = Fleet {
        size,
        rng: Pcg64::seed_from_u64(7),
        nodes: Vec::new(),
        entries: BTreeMap::new(),
        is_store_up: true,
        held_until: 0,
        failures: BTreeMap::new(),
        record: Record::default(),
    };
    fleet.nodes = (0..size.nodes)
        .map(|_| Node::new(fleet.rng.random()))
        .collect();
    for node in &mut fleet.nodes[started..] {
        node.is_up = false;
    }
    for now in (0..length_ms).step_by(usize::try_from(STEP_MS).expect("short")) {
        for (_, event) in events.iter().filter(|(at, _)| *at == now) {
            fleet.apply(now, *event);
        }
        fleet.step(now);
    }
    fleet.record.further.sort_unstable();
    fleet.record
}

impl Fleet {
    fn apply(&mut self, now: u64, event: Event) {
        match event {
            Event::StoreDown => self.is_store_up = false,
            Event::StoreUp => self.is_store_up = true,
            Event::Lapse => self.entries.clear(),
            Event::Hold { until } => self.held_until = until,
            Event::Restart(index) | Event::Start(index) => {
                let life = self.nodes[index].life + 1;
                let delay = self.rng.random_range(0..LAG_MS);
                let phase = self.rng.random();
                self.nodes[index] = Node {
                    life,
                    register_at: Some(now + delay),
                    ..Node::new(phase)
                };
            }
            Event::End(index) => self.nodes[index].is_up = false,
            Event::Pause(index, until) => self.nodes[index].paused_until = until,
            Event::Cut(index, is_cut) => self.nodes[index].is_cut = is_cut,
        }
    }

    fn step(&mut self, now: u64) {
        if now.is_multiple_of(TICK_MS) {
            self.follow_store(now);
        }
        self.send_requests(now);
        self.read_waiting(now);
        let later = self.failures.split_off(&(now + 1));
        let due = std::mem::replace(&mut self.failures, later);
        for (index, life, sent) in due.into_values().flatten() {
            self.fail(now, index, life, sent);
        }
    }

    /// Registers and renews what can be, removes what has ended, and lets nodes hear of it.
    fn follow_store(&mut self, now: u64) {
        for (index, node) in self.nodes.iter_mut().enumerate() {
            if !node.is_up || node.is_cut || !self.is_store_up || node.paused_until > now {
                continue;
            }
            let is_due = node.register_at.is_some_and(|at| at <= now);
            if is_due {
                node.register_at = None;
                node.share.register(Instant::from_millis(now));
            }
            if is_due || self.entries.contains_key(&index) {
                self.entries.insert(index, now + TTL_MS);
            } else if node.register_at.is_none() {
                node.register_at = Some(now + self.rng.random_range(REREGISTER_MS));
            }
        }
        if self.is_store_up {
            self.entries.retain(|_, until| *until > now);
        }
        for node in &mut self.nodes {
            if !node.is_up || node.paused_until > now {
                continue;
            }
            node.standstill.tick(Instant::from_millis(now));
            let hears = self.is_store_up && !node.is_cut;
            if hears && self.rng.random_range(0..LAG_MS) < TICK_MS {
                node.listed = self.entries.len();
                node.heard = now;
            }
            let is_confirmed = hears && now < node.heard + 5_000;
            let at = Instant::from_millis(now);
            node.share.observe(at, node.listed, is_confirmed);
        }
    }

    fn send_requests(&mut self, now: u64) {
        if now < TRAFFIC_MS {
            return;
        }
        let step_s = 0.001 * f64::from(u32::try_from(STEP_MS).expect("short"));
        let mut expected = self.size.requests_per_s * step_s;
        while self.rng.random::<f64>() < expected {
            expected -= 1.0;
            let up: Vec<usize> = (0..self.nodes.len())
                .filter(|&index| self.nodes[index].is_up)
                .collect();
            let index = up[self.rng.random_range(0..up.len())];
            self.record.requests.push(now);
            if self.nodes[index].paused_until > now {
                self.nodes[index].waiting += 1;
            } else {
                self.read(now, index);
            }
        }
    }

    fn read_waiting(&mut self, now: u64) {
        for index in 0..self.nodes.len() {
            if self.nodes[index].paused_until <= now {
                for _ in 0..std::mem::take(&mut self.nodes[index].waiting) {
                    self.read(now, index);
                }
            }
        }
    }

    /// A node reads a request and sends it to a first server.
    fn read(&mut self, now: u64, index: usize) {
        let node = &mut self.nodes[index];
        let sent_at = node.standstill.sent_at(Instant::from_millis(now));
        node.budget.count_request(sent_at, &self.size.bound());
        let arrives = self.arrival(now);
        self.attempt(arrives, index, 1);
    }

    /// Returns when a server gets what a node sends now.
    fn arrival(&mut self, now: u64) -> u64 {
        let is_held = now < self.held_until && self.rng.random::<f64>() < HELD_SHARE;
        if is_held { self.held_until } else { now }
    }

    fn attempt(&mut self, arrives: u64, index: usize, sent: u32) {
        if self.rng.random::<f64>() < FAILING_SHARE {
            let at = arrives + self.rng.random_range(LATENCY_MS);
            let life = self.nodes[index].life;
            let failing = self.failures.entry(at).or_default();
            failing.push((index, life, sent));
        }
    }

    fn fail(&mut self, now: u64, index: usize, life: u32, sent: u32) {
        let node = &mut self.nodes[index];
        if node.paused_until > now {
            let later = self.failures.entry(node.paused_until).or_default();
            later.push((index, life, sent));
            return;
        }
        if node.life != life || sent >= MAX_ATTEMPTS {
            return;
        }
        let at = Instant::from_millis(now);
        let bound = self.size.bound();
        let part = node.share.of(at, bound.slack, bound.window_ms);
        if node.budget.take(at, &bound, part).is_taken {
            let arrives = self.arrival(now);
            self.record.further.push(arrives);
            self.attempt(arrives, index, sent + 1);
        }
    }
}
