//! Sessions that change their version in a roll-out from 0 to 100% with
//! rolling restarts.

use std::collections::{BTreeMap, VecDeque};

use fescuerack_core::clock::Instant;
use fescuerack_core::key;
use fescuerack_core::session;
use rand::RngExt as _;

use crate::fleet::{Fleet, file};
use crate::{SEEDS, spread};

const INSTANCES: usize = 9;
const SESSIONS: u64 = 2000;
/// Requests between two steps of the roll-out.
const REQUESTS: u32 = 6000;
/// Requests between two restarts.
const RESTART: u32 = 500;
/// Requests between two exchanges of peers.
const GOSSIP: u32 = 100;

#[derive(Clone, Copy, PartialEq)]
enum Means {
    HashOnly,
    Memory,
    Peers,
    Token,
}

/// What an instance remembers of sessions, and a queue of what it tells peers.
#[derive(Clone, Default)]
struct Memory {
    known: BTreeMap<u64, key::Version>,
    tell: VecDeque<u64>,
}

impl Memory {
    /// Sessions that are told to a peer at a time.
    const TOLD: usize = 12;

    fn keep(&mut self, session: u64, version: key::Version) {
        if self.known.insert(session, version).is_none() {
            self.tell.push_back(session);
        }
    }

    fn digest(&mut self) -> Vec<(u64, key::Version)> {
        let told = self.tell.len().min(Self::TOLD);
        self.tell.rotate_left(told);
        let sessions = self.tell.iter().rev().take(told);
        sessions
            .map(|session| (*session, self.known[session]))
            .collect()
    }

    fn merge(&mut self, told: Vec<(u64, key::Version)>) {
        for (session, version) in told {
            if !self.known.contains_key(&session) {
                self.keep(session, version);
            }
        }
    }
}

struct Run {
    fleet: Fleet,
    memories: Vec<Memory>,
    tokens: BTreeMap<u64, key::Version>,
    last: BTreeMap<u64, key::Version>,
    moved: u32,
}

impl Run {
    fn new(seed: u64) -> Self {
        Self {
            fleet: Fleet::new(INSTANCES, seed, &file(1, 0, 20, ", paused: true", "open")),
            memories: vec![Memory::default(); INSTANCES],
            tokens: BTreeMap::new(),
            last: BTreeMap::new(),
            moved: 0,
        }
    }

    fn request(&mut self, now: Instant, means: Means) {
        let session = self.fleet.rng.random_range(0..SESSIONS);
        let index = self.fleet.rng.random_range(0..INSTANCES);
        let name = format!("session-{session}");
        let fresh = self.fleet.start(now, index, name.as_bytes());
        let pinned = match means {
            Means::HashOnly => None,
            Means::Memory | Means::Peers => self.memories[index].known.get(&session).copied(),
            Means::Token => self.tokens.get(&session).copied(),
        };
        let board = &self.fleet.registries[index];
        let withdrawn = |version| board.is_withdrawn(version);
        let place = session::place(pinned, withdrawn, || Ok::<_, ()>(fresh));
        let version = place.expect("an open version").version();
        self.memories[index].keep(session, version);
        self.tokens.insert(session, version);
        let before = self.last.insert(session, version);
        self.moved += u32::from(before.is_some_and(|before| before != version));
    }

    fn gossip(&mut self) {
        for index in 0..INSTANCES {
            let other = self.fleet.rng.random_range(0..INSTANCES);
            let digest = self.memories[other].digest();
            self.memories[index].merge(digest);
        }
    }
}

pub fn run() {
    println!(
        "changes of version of 2,000 sessions, 9 instances, 5 stages, 12 restarts a stage, store down for half"
    );
    let all = [
        ("hash only", Means::HashOnly),
        ("memory of each instance", Means::Memory),
        ("memory and peers", Means::Peers),
        ("token", Means::Token),
    ];
    for (name, means) in all {
        let mut moved = Vec::new();
        for seed in SEEDS {
            let mut run = Run::new(seed);
            let mut now = Instant::ORIGIN;
            for stage in 0..5 {
                let file = file(1, stage, 20, ", paused: true", "open");
                run.fleet.accept(now, &file);
                run.fleet.store.down = stage % 2 == 1;
                assert_eq!(run.fleet.stage(0), stage);
                for count in 0..REQUESTS {
                    now = now.plus_millis(10);
                    if count % RESTART == 0 {
                        let index = run.fleet.rng.random_range(0..INSTANCES);
                        run.fleet.restart(now, index);
                        run.memories[index] = Memory::default();
                        let other = (index + 1) % INSTANCES;
                        run.fleet.send(now, other, index);
                    }
                    if means == Means::Peers && count % GOSSIP == 0 {
                        run.gossip();
                    }
                    run.request(now, means);
                }
            }
            moved.push(f64::from(run.moved));
        }
        println!("{name}: {}", spread(&moved));
    }
}
