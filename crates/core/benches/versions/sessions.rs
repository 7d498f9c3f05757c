//! Sessions that change their version during a roll-out from 0 to 100% with
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
const REQUESTS_PER_STAGE: u32 = 6000;
/// Requests between two restarts.
const RESTART_INTERVAL: u32 = 500;
/// Requests between two rounds of exchanges between peers.
const GOSSIP_INTERVAL: u32 = 100;

/// How the version of a session is found again.
#[derive(Clone, Copy, PartialEq)]
enum Pinning {
    /// Only by the hash of the session's name.
    HashOnly,
    /// By the memory of the instance.
    Memory,
    /// By the memory of the instance, which peers share.
    Peers,
    /// By a token that the caller sends.
    Token,
}

/// Versions of sessions that an instance has recorded, and the queue of those
/// that it sends to peers.
#[derive(Clone, Default)]
struct Memory {
    versions: BTreeMap<u64, key::Version>,
    send_queue: VecDeque<u64>,
}

impl Memory {
    /// Sessions that are sent to a peer in one exchange.
    const SESSIONS_PER_DIGEST: usize = 12;

    fn record(&mut self, session: u64, version: key::Version) {
        if self.versions.insert(session, version).is_none() {
            self.send_queue.push_back(session);
        }
    }

    fn digest(&mut self) -> Vec<(u64, key::Version)> {
        let count = self.send_queue.len().min(Self::SESSIONS_PER_DIGEST);
        self.send_queue.rotate_left(count);
        let sessions = self.send_queue.iter().rev().take(count);
        sessions
            .map(|session| (*session, self.versions[session]))
            .collect()
    }

    fn merge(&mut self, received: Vec<(u64, key::Version)>) {
        for (session, version) in received {
            if !self.versions.contains_key(&session) {
                self.record(session, version);
            }
        }
    }
}

struct Run {
    fleet: Fleet,
    memories: Vec<Memory>,
    tokens: BTreeMap<u64, key::Version>,
    /// Version of each session's last request.
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

    fn request(&mut self, now: Instant, pinning: Pinning) {
        let session = self.fleet.rng.random_range(0..SESSIONS);
        let index = self.fleet.rng.random_range(0..INSTANCES);
        let name = format!("session-{session}");
        let fresh = self.fleet.start(now, index, name.as_bytes());
        let pinned = match pinning {
            Pinning::HashOnly => None,
            Pinning::Memory | Pinning::Peers => {
                self.memories[index].versions.get(&session).copied()
            }
            Pinning::Token => self.tokens.get(&session).copied(),
        };
        let registry = &self.fleet.registries[index];
        let is_withdrawn = |version| registry.is_withdrawn(version);
        let place = session::place(pinned, is_withdrawn, || Ok::<_, ()>(fresh));
        let version = place.expect("an open version").version();
        self.memories[index].record(session, version);
        self.tokens.insert(session, version);
        let previous = self.last.insert(session, version);
        self.moved += u32::from(previous.is_some_and(|previous| previous != version));
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
        ("hash only", Pinning::HashOnly),
        ("memory of each instance", Pinning::Memory),
        ("memory and peers", Pinning::Peers),
        ("token", Pinning::Token),
    ];
    for (name, pinning) in all {
        let mut moved = Vec::new();
        for seed in SEEDS {
            let mut run = Run::new(seed);
            let mut now = Instant::ORIGIN;
            for stage in 0..5 {
                let file = file(1, stage, 20, ", paused: true", "open");
                run.fleet.accept(now, &file);
                run.fleet.store.down = stage % 2 == 1;
                assert_eq!(run.fleet.stage(0), stage);
                for count in 0..REQUESTS_PER_STAGE {
                    now = now.plus_millis(10);
                    if count % RESTART_INTERVAL == 0 {
                        let index = run.fleet.rng.random_range(0..INSTANCES);
                        run.fleet.restart(now, index);
                        run.memories[index] = Memory::default();
                        let other = (index + 1) % INSTANCES;
                        run.fleet.send(now, other, index);
                    }
                    if pinning == Pinning::Peers && count % GOSSIP_INTERVAL == 0 {
                        run.gossip();
                    }
                    run.request(now, pinning);
                }
            }
            moved.push(f64::from(run.moved));
        }
        println!("{name}: {}", spread(&moved));
    }
}
