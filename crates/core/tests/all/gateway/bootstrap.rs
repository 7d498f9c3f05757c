//! Tests of the bootstrap: fleets that start at once, played with a model of store, links and
//! processors, without a network.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::bootstrap::{
    Action, Bootstrap, PROVIDERS_PER_ZONE, Provider, Receivers, Refusal, WAIT_MS, max_receivers,
};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use rstest::rstest;

/// Availability zones of the fleet.
const ZONES: usize = 6;
/// Every so many nodes there is one with a large link and half a core.
const LARGE_EVERY: usize = 16;
/// Links in megabits a second.
const LARGE_LINK_MBPS: u64 = 200;
const SMALL_LINK_MBPS: u64 = 20;
const STORE_LINK_MBPS: u64 = 1_000;
/// Bytes of an entry in a page of the store, and in a snapshot.
const PAGE_ENTRY_BYTES: u64 = 450;
const SNAPSHOT_ENTRY_BYTES: u64 = 40;
/// Entries in a page.
const PAGE_ENTRIES: u64 = 500;
/// Milliseconds of a call to the store, and of an answer by a peer.
const STORE_CALL_MS: u64 = 10;
const PEER_CALL_MS: u64 = 5;
/// Milliseconds until a connection to a machine without power fails.
const CONNECT_MS: u64 = 600;
/// Entries that a whole core decodes and applies in a millisecond.
const ENTRIES_PER_CORE_MS: u64 = 200;
/// The goal for a restart of the whole fleet, of which the processes need this much to start.
const RESTART_GOAL_MS: u64 = 3_000;
const START_SPREAD_MS: u64 = 600;
/// Within this time the fleet must serve again after all processes were killed.
const RECOVERY_MS: u64 = 18_000;

struct Node {
    zone: usize,
    link_mbps: u64,
    /// Milliseconds in which it decodes and applies a whole state.
    apply_ms: u64,
    bootstrap: Bootstrap,
    ready_at: Option<u64>,
    /// From when it passes the state on.
    sends_from: Option<u64>,
    /// When its link is free for the next copy.
    link_free_at: u64,
    /// Whether the store has refused it.
    is_refused: bool,
    /// When the copies end that it sends or that wait for its link.
    sending: Vec<u64>,
    /// Number of nodes that wait for its state.
    waiting: usize,
    receivers: Receivers,
    /// Its request at another node.
    asked: Option<Asked>,
}

#[derive(Clone, Copy)]
struct Asked {
    target: usize,
    until: u64,
    /// Whether the other node has admitted it and it waits for the state.
    is_admitted: bool,
}

struct Fleet {
    nodes: Vec<Node>,
    records: Vec<Vec<Option<Provider>>>,
    entries: u64,
    events: BinaryHeap<Reverse<(u64, usize)>>,
    random: SmallRng,
    store_free_at: u64,
    store_calls: u64,
    store_reads: u64,
    /// Reads that may be old, which cost the store little.
    stale_reads: u64,
    revision: u64,
    /// Whether the store refuses a node.
    refuses: fn(usize) -> bool,
}

fn address(node: usize) -> SocketAddr {
    let [high, low] = u16::try_from(node).expect("few nodes").to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_340))
}

fn index(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        panic!("only IPv4 is used")
    };
    let [_, _, high, low] = address.ip().octets();
    usize::from(u16::from_be_bytes([high, low]))
}

fn millis(at: Instant) -> u64 {
    u64::try_from(at.since(Instant::ORIGIN).as_millis()).expect("a short play")
}

fn at(ms: u64) -> Instant {
    Instant::ORIGIN.plus_millis(ms)
}

impl Fleet {
    fn new(count: usize, servers: usize) -> Self {
        let entries = u64::try_from(count + servers).expect("few entries");
        let mut random = SmallRng::seed_from_u64(7);
        let mut events = BinaryHeap::new();
        let nodes = (0..count).map(|number| {
            let is_large = (number / ZONES).is_multiple_of(LARGE_EVERY);
            let link_mbps = if is_large {
                LARGE_LINK_MBPS
            } else {
                SMALL_LINK_MBPS
            };
            let cores_per_mille = if is_large { 500 } else { 120 };
            let started = random.random_range(0..START_SPREAD_MS);
            events.push(Reverse((started, number)));
            let link = u32::try_from(link_mbps).expect("small");
            Node {
                zone: number % ZONES,
                link_mbps,
                apply_ms: entries * 1_000 / ENTRIES_PER_CORE_MS / cores_per_mille,
                bootstrap: Bootstrap::new(at(started), address(number), link),
                ready_at: None,
                sends_from: None,
                link_free_at: 0,
                is_refused: false,
                sending: Vec::new(),
                waiting: 0,
                receivers: Receivers::default(),
                asked: None,
            }
        });
        Self {
            nodes: nodes.collect(),
            records: vec![vec![None; PROVIDERS_PER_ZONE]; ZONES],
            entries,
            events,
            random,
            store_free_at: 0,
            store_calls: 0,
            store_reads: 0,
            stale_reads: 0,
            revision: 1,
            refuses: |_| false,
        }
    }

    /// Names the nodes at `numbers` within each zone as its providers.
    fn with_records(mut self, numbers: [usize; PROVIDERS_PER_ZONE]) -> Self {
        for (zone, records) in self.records.iter_mut().enumerate() {
            for (slot, number) in numbers.iter().enumerate() {
                records[slot] = Some(Provider {
                    slot,
                    address: address(number * ZONES + zone),
                    revision: 1.into(),
                });
            }
        }
        self
    }

    /// Plays until all nodes have a state, and returns after how many milliseconds that was.
    fn play(&mut self) -> u64 {
        while let Some(Reverse((now, node))) = self.events.pop() {
            assert!(now < 60_000, "node {node} has no state after a minute");
            if let Some(next) = self.step(now, node) {
                self.events.push(Reverse((next, node)));
            }
        }
        let ready = self.nodes.iter().map(|node| node.ready_at);
        ready.max().flatten().expect("there are nodes")
    }

    fn step(&mut self, now: u64, node: usize) -> Option<u64> {
        let draw = self.random.random();
        if let Some(asked) = self.nodes[node].asked {
            return self.await_peer(now, node, asked, draw);
        }
        match self.nodes[node].bootstrap.next(at(now), draw) {
            Action::Wait(until) => Some(millis(until) + 1),
            Action::ReadRecords { is_fresh } => {
                self.stale_reads += u64::from(!is_fresh);
                self.store_calls += u64::from(is_fresh);
                if (self.refuses)(node) {
                    self.nodes[node].is_refused = true;
                    let peers = self.nodes[node].receivers.referrals(draw);
                    let bootstrap = &mut self.nodes[node].bootstrap;
                    bootstrap.record_store_failure(at(now), draw, peers);
                } else {
                    let zone = node % ZONES;
                    let records = self.records[zone].iter().flatten().copied();
                    let bootstrap = &mut self.nodes[node].bootstrap;
                    bootstrap.receive_providers(at(now), draw, records.collect());
                }
                Some(now + STORE_CALL_MS)
            }
            Action::Claim { slot, revision } => {
                self.store_calls += 1;
                let zone = self.nodes[node].zone;
                let record = &mut self.records[zone][slot];
                let is_won = record.map(|record| record.revision).unwrap_or_default() == revision;
                if is_won {
                    self.revision += 1;
                    *record = Some(Provider {
                        slot,
                        address: address(node),
                        revision: self.revision.into(),
                    });
                }
                self.nodes[node].bootstrap.receive_claim(is_won);
                Some(now + STORE_CALL_MS)
            }
            Action::ReadStore => self.read_store(now, node, draw),
            Action::Ask(target) => {
                self.nodes[node].asked = Some(Asked {
                    target: index(target),
                    until: now + WAIT_MS,
                    is_admitted: false,
                });
                Some(now + PEER_CALL_MS)
            }
        }
    }

    fn read_store(&mut self, now: u64, node: usize, draw: u64) -> Option<u64> {
        self.store_calls += self.entries.div_ceil(PAGE_ENTRIES);
        if (self.refuses)(node) {
            self.nodes[node].is_refused = true;
            let peers = self.nodes[node].receivers.referrals(draw);
            let bootstrap = &mut self.nodes[node].bootstrap;
            bootstrap.record_store_failure(at(now), draw, peers);
            return Some(now + STORE_CALL_MS);
        }
        self.store_reads += 1;
        let bits = self.entries * PAGE_ENTRY_BYTES * 8;
        let by_store = bits / STORE_LINK_MBPS / 1_000;
        self.store_free_at = self.store_free_at.max(now) + by_store;
        let pages_ms = self.entries.div_ceil(PAGE_ENTRIES) * STORE_CALL_MS;
        let by_link = bits / self.nodes[node].link_mbps / 1_000 + pages_ms;
        let received = self.store_free_at.max(now + by_link);
        let reader = &mut self.nodes[node];
        reader.ready_at = Some(received + reader.apply_ms);
        reader.sends_from = reader.ready_at;
        None
    }

    /// Asks a peer, and waits until it has a state.
    fn await_peer(&mut self, now: u64, node: usize, asked: Asked, draw: u64) -> Option<u64> {
        let from = address(asked.target);
        let Some(peer) = self.nodes.get_mut(asked.target) else {
            return Some(self.refuse(now + CONNECT_MS, node, from, Refusal::Silent, draw));
        };
        peer.sending.retain(|end| now < *end);
        if !asked.is_admitted {
            if peer.is_refused && peer.sends_from.is_none() {
                peer.receivers.record(address(node));
                return Some(self.refuse(now, node, from, Refusal::Failing, draw));
            }
            let link = u32::try_from(peer.link_mbps).expect("small");
            if peer.sending.len() + peer.waiting >= max_receivers(link) {
                let others = peer.receivers.referrals(draw);
                return Some(self.refuse(now, node, from, Refusal::Busy(others), draw));
            }
            peer.receivers.record(address(node));
            peer.waiting += 1;
        }
        if peer.sends_from.is_none_or(|from| now < from) {
            if now < asked.until {
                let is_admitted = true;
                self.nodes[node].asked = Some(Asked {
                    is_admitted,
                    ..asked
                });
                return Some(now + PEER_CALL_MS);
            }
            peer.waiting -= 1;
            return Some(self.refuse(now, node, from, Refusal::Starting, draw));
        }
        let bits = self.entries * SNAPSHOT_ENTRY_BYTES * 8;
        let end = peer.link_free_at.max(now) + bits / peer.link_mbps / 1_000;
        peer.link_free_at = end;
        peer.sending.push(end);
        peer.waiting -= 1;
        let receiver = &mut self.nodes[node];
        let arrived_at = end.max(now + bits / receiver.link_mbps / 1_000);
        receiver.sends_from = Some(arrived_at);
        receiver.ready_at = Some(arrived_at + receiver.apply_ms);
        None
    }

    fn refuse(
        &mut self,
        now: u64,
        node: usize,
        from: SocketAddr,
        refusal: Refusal,
        draw: u64,
    ) -> u64 {
        let node = &mut self.nodes[node];
        node.asked = None;
        node.bootstrap.receive_refusal(at(now), draw, from, refusal);
        now + 1
    }
}

/// Calls of the nodes that read the store, and one of each node when it waits to claim a record.
fn allowed_calls(fleet: &Fleet) -> u64 {
    let reads = u64::try_from(ZONES * PROVIDERS_PER_ZONE).expect("few");
    let nodes = u64::try_from(fleet.nodes.len()).expect("few");
    reads * fleet.entries.div_ceil(PAGE_ENTRIES) + nodes
}

/// Guards against a restart of the whole fleet in which each node reads the whole store: no request
/// is served for half a minute.
#[rstest]
#[case(120, 12, RESTART_GOAL_MS)]
#[case(120, 300, RESTART_GOAL_MS)]
#[case(985, 10_000, RESTART_GOAL_MS)]
#[case(1_970, 20_000, RECOVERY_MS / 2)]
fn restart_of_all_nodes_is_over_in_seconds(
    #[case] count: usize,
    #[case] servers: usize,
    #[case] within_ms: u64,
) {
    let mut fleet = Fleet::new(count, servers).with_records([0, LARGE_EVERY]);
    let ready_at = fleet.play();
    assert!(ready_at <= within_ms + START_SPREAD_MS, "{ready_at} ms");
    assert!(
        fleet.store_calls <= allowed_calls(&fleet),
        "{} calls",
        fleet.store_calls
    );
}

/// Guards against a first start in which every node claims a record, or reads the store.
#[rstest]
#[case(120, 300)]
#[case(985, 10_000)]
#[case(1_970, 20_000)]
fn start_without_records_is_read_by_few(#[case] count: usize, #[case] servers: usize) {
    let mut fleet = Fleet::new(count, servers);
    let ready_at = fleet.play();
    assert!(ready_at <= RECOVERY_MS / 2, "{ready_at} ms");
    assert!(fleet.store_reads <= (ZONES * PROVIDERS_PER_ZONE) as u64);
    for records in &fleet.records {
        let first = records[0].expect("each zone has a provider");
        let link_mbps = fleet.nodes[index(first.address)].link_mbps;
        assert_eq!(link_mbps, LARGE_LINK_MBPS);
    }
    assert!(
        fleet.store_calls <= allowed_calls(&fleet),
        "{} calls",
        fleet.store_calls
    );
}

/// Guards against records of machines that are gone: all nodes would wait for them, or all at once
/// read the store in their place.
#[rstest]
#[case(120, 300)]
#[case(985, 10_000)]
#[case(1_970, 20_000)]
fn restart_without_the_providers_names_others(#[case] count: usize, #[case] servers: usize) {
    let gone = count / ZONES + 1;
    let mut fleet = Fleet::new(count, servers).with_records([gone, gone + 1]);
    let ready_at = fleet.play();
    assert!(ready_at <= RECOVERY_MS, "{ready_at} ms");
    assert!(fleet.store_reads <= (ZONES * PROVIDERS_PER_ZONE) as u64);
}

/// Guards against a store that refuses the providers while it serves others: the nodes of their zone
/// would have no state for as long as that lasts.
#[rstest]
#[case(985, 10_000)]
#[case(1_970, 20_000)]
fn restart_with_refused_providers_names_others(#[case] count: usize, #[case] servers: usize) {
    let mut fleet = Fleet::new(count, servers).with_records([0, LARGE_EVERY]);
    fleet.refuses = |node| [0, LARGE_EVERY].contains(&(node / ZONES));
    let ready_at = fleet.play();
    assert!(ready_at <= RECOVERY_MS, "{ready_at} ms");
    assert!(fleet.store_reads <= 2 * (ZONES * PROVIDERS_PER_ZONE) as u64);
}
