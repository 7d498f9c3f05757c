//! Ledger: each answered request is billed exactly once despite lost responses
//! of the store and of peers, kills, pauses, long outages and drains.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use fescuerack_core::clock::Instant;
use fescuerack_core::ledger::{
    Buffer, Entry, HoldRequest, Limits, PeerCopies, Segment, Ticket, Totals,
};
use fescuerack_core::store::{Call, Reply};
use fescuerack_standin::{FaultRates, FaultyStore};

use crate::run::{SeededRng, run_schedules};

const INSTANCES: usize = 3;
/// Bounds that are reached often, so that entries are folded and the bill is
/// exact in its sums only.
const SMALL_LIMITS: Limits = Limits {
    segment_bytes: 4_000,
    total_bytes: 8_000,
    offered_bytes: 2_000,
};
/// Bounds that are never reached, so that every request keeps its own entry.
const LARGE_LIMITS: Limits = Limits {
    segment_bytes: 4_000,
    total_bytes: usize::MAX,
    offered_bytes: 2_000,
};

struct Instance {
    name: String,
    buffer: Buffer,
    peer_copies: PeerCopies,
    /// Request of each ticket.
    tickets: BTreeMap<Ticket, String>,
    /// Peer that holds copies of this instance's entries.
    copy_holder: Option<String>,
}

struct World {
    rng: SeededRng,
    limits: Limits,
    store: FaultyStore,
    now: Instant,
    instances: Vec<Instance>,
    /// Delayed copy requests, delivered out of order, with their receivers.
    delayed_holds: Vec<(String, HoldRequest)>,
    answered: u64,
    /// Entries that may be unbilled because their instance was killed before
    /// they were durable, or was killed together with the holder of its copies;
    /// with the number of requests that each covers.
    may_be_unbilled: BTreeMap<String, u64>,
    started: u64,
    counts: BTreeMap<&'static str, u64>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut world = Self {
            rng: SeededRng::new(seed),
            limits: if seed.is_multiple_of(2) {
                SMALL_LIMITS
            } else {
                LARGE_LIMITS
            },
            store: FaultyStore::new(seed ^ 0x1ed_6e2, FaultRates::FREQUENT),
            now: Instant::from_millis(1),
            instances: Vec::new(),
            delayed_holds: Vec::new(),
            answered: 0,
            may_be_unbilled: BTreeMap::new(),
            started: 0,
            counts: BTreeMap::new(),
        };
        for _ in 0..INSTANCES {
            world.start();
        }
        world
    }

    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    fn start(&mut self) {
        self.started += 1;
        let name = format!("i{}", self.started);
        self.instances.push(Instance {
            buffer: Buffer::new(&name, self.limits),
            name,
            peer_copies: PeerCopies::new(),
            tickets: BTreeMap::new(),
            copy_holder: None,
        });
    }

    fn step(&mut self) {
        self.now = self.now.plus_millis(self.rng.below(40) as u64);
        if self.rng.chance(0.003) {
            self.store.down = !self.store.down;
            self.count("outages");
        }
        let index = self.rng.below(self.instances.len());
        match self.rng.below(200) {
            0..70 => self.answer(index),
            70..120 => self.write(index),
            120..165 => self.offer(index),
            165..190 => self.adopt_orphans(index),
            190..196 => self.deliver_delayed_hold(),
            196 | 197 => self.kill(index),
            198 => self.drain(index),
            _ => {
                self.now = self.now.plus_millis(15_000);
                self.count("long pauses");
            }
        }
    }

    fn answer(&mut self, index: usize) {
        self.answered += 1;
        let request = format!("r{}", self.answered);
        let entry = Entry {
            request: request.clone(),
            organisation: format!("o{}", self.answered % 3),
            version: format!("v{}", self.answered % 2),
            cost: 1,
            requests: 1,
            ..Entry::default()
        };
        let instance = &mut self.instances[index];
        let ticket = instance.buffer.add(entry);
        instance.tickets.insert(ticket, request);
    }

    /// Writes the next segment. The response may be lost or delayed.
    fn write(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        let Some(segment) = instance.buffer.segment() else {
            return;
        };
        let key = format!("ledger/{}/{:06}", instance.name, segment.sequence);
        let sequence = segment.sequence;
        let value = Bytes::from(serde_json::to_vec(segment).expect("plain fields"));
        let call = Call::Swap {
            key,
            expected: 0,
            value,
            lease: None,
        };
        let reply = self.store.call(call);
        if matches!(reply, Reply::Swapped(_) | Reply::Conflict(_)) {
            self.instances[index].buffer.mark_stored(sequence);
            self.count("segments");
        }
    }

    /// Copies entries to a peer. The message may be delayed, and the message or
    /// its response may be lost.
    fn offer(&mut self, index: usize) {
        let names: Vec<_> = self.instances.iter().map(|one| one.name.clone()).collect();
        let other = (index + 1 + self.rng.below(names.len() - 1)) % names.len();
        let instance = &mut self.instances[index];
        let copy_holder = instance.copy_holder.clone();
        let copy_holder = copy_holder.filter(|copy_holder| names.contains(copy_holder));
        if copy_holder.is_none() {
            instance.buffer.reset_copies();
        }
        let copies = instance.buffer.offer(1_000);
        if copies.is_empty() && copy_holder.is_none() {
            return;
        }
        let copy_holder = copy_holder.unwrap_or_else(|| names[other].clone());
        let until = copies.last().map(|(ticket, _)| Ticket(ticket.0 + 1));
        let hold = HoldRequest {
            owner: instance.name.clone(),
            stored_until: instance.buffer.stored_until(),
            copies,
        };
        instance.copy_holder = Some(copy_holder.clone());
        if self.rng.chance(0.1) {
            self.delayed_holds.push((copy_holder, hold));
            self.instances[index].copy_holder = None;
            return;
        }
        let now = self.now;
        let peer = self
            .instances
            .iter_mut()
            .find(|one| one.name == copy_holder);
        let is_held = peer
            .expect("the holder is live")
            .peer_copies
            .hold(now, hold);
        if is_held && !self.rng.chance(0.1) {
            if let Some(until) = until {
                self.instances[index].buffer.mark_copied(until);
                self.count("copies");
            }
        } else {
            self.instances[index].copy_holder = None;
        }
    }

    fn deliver_delayed_hold(&mut self) {
        if self.delayed_holds.is_empty() {
            return;
        }
        let index = self.rng.below(self.delayed_holds.len());
        let (to, hold) = self.delayed_holds.swap_remove(index);
        let now = self.now;
        if let Some(peer) = self.instances.iter_mut().find(|one| one.name == to) {
            peer.peer_copies.hold(now, hold);
            self.count("delayed holds");
        }
    }

    fn adopt_orphans(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        for entry in instance.peer_copies.take_orphans(self.now) {
            instance.buffer.add_shared(entry);
            self.counts
                .entry("orphans")
                .and_modify(|count| *count += 1)
                .or_insert(1);
        }
    }

    /// Kills an instance. Entries that were not durable may be unbilled, and so
    /// may those that only this instance and one killed earlier held.
    fn kill(&mut self, index: usize) {
        let killed = self.instances.swap_remove(index);
        let durable_until = killed.buffer.durable_until();
        let stored_until = killed.buffer.stored_until();
        let is_copied = killed.copy_holder.is_some();
        let mut durable = BTreeSet::new();
        for (ticket, request) in killed.tickets {
            if ticket < stored_until || (ticket < durable_until && is_copied) {
                durable.insert(request);
            } else {
                self.may_be_unbilled.insert(request, 1);
            }
        }
        // Copies that it held and entries that it had taken over are lost.
        self.forget_copy_holder(&killed.name);
        let mut copies = killed.peer_copies;
        for entry in copies.drain() {
            self.note_lost_entry(&entry);
        }
        for entry in killed.buffer.entries() {
            if !durable.contains(&entry.request) {
                self.note_lost_entry(&entry);
            }
        }
        self.count("kills");
        self.start();
    }

    /// Notes that an entry lost with an instance may be unbilled, unless the
    /// buffer of a live instance still contains it.
    fn note_lost_entry(&mut self, lost: &Entry) {
        let is_elsewhere = self.instances.iter().any(|one| {
            let mut entries = one.buffer.entries().into_iter();
            entries.any(|entry| entry.request == lost.request)
        });
        if !is_elsewhere {
            self.may_be_unbilled
                .insert(lost.request.clone(), lost.requests);
        }
    }

    /// Clears the copy holder of every instance whose copies `gone` held. Peers
    /// that hold copies for `gone` keep them.
    fn forget_copy_holder(&mut self, gone: &str) {
        for one in &mut self.instances {
            if one.copy_holder.as_deref() == Some(gone) {
                one.copy_holder = None;
            }
        }
    }

    /// Shuts an instance down gracefully: its entries go to the store, and the
    /// rest to a peer.
    fn drain(&mut self, index: usize) {
        for _ in 0..20 {
            self.write(index);
        }
        let mut leaving = self.instances.swap_remove(index);
        for entry in leaving.peer_copies.drain() {
            leaving.buffer.add_shared(entry);
        }
        let entries = leaving.buffer.entries();
        if !entries.is_empty() {
            // The first response may be lost; the entries are then handed off again.
            for _ in 0..=usize::from(self.rng.chance(0.3)) {
                let other = self.rng.below(self.instances.len());
                for entry in entries.clone() {
                    self.instances[other].buffer.add_shared(entry);
                }
            }
            leaving.buffer.hand_off();
            self.count("hand-offs");
        }
        self.forget_copy_holder(&leaving.name);
        self.count("drains");
        self.start();
    }

    fn finish(&mut self) {
        self.store.down = false;
        self.store.rates = FaultRates::default();
        self.now = self.now.plus_millis(60_000);
        while !self.delayed_holds.is_empty() {
            self.deliver_delayed_hold();
        }
        self.now = self.now.plus_millis(60_000);
        for _ in 0..64 {
            self.store.deliver_delayed_write();
        }
        for index in 0..self.instances.len() {
            self.adopt_orphans(index);
        }
        for index in 0..self.instances.len() {
            while self.instances[index].buffer.segment().is_some() {
                self.write(index);
            }
        }
        self.check();
    }

    fn check(&mut self) {
        let mut totals = Totals::new();
        let mut stored = BTreeSet::new();
        for item in self.store.store.keys("ledger/", 0).items {
            let value = self.store.store.get(&item.key).expect("listed");
            let segment: Segment = serde_json::from_slice(&value.bytes).expect("a segment");
            for entry in segment.entries {
                stored.insert(entry.request.clone());
                totals.add(&entry);
            }
        }
        let billed = totals.total().requests;
        assert_eq!(billed, totals.total().cost, "counts and costs differ");
        assert!(
            billed <= self.answered,
            "{billed} billed of {}",
            self.answered
        );
        if self.limits == LARGE_LIMITS {
            for number in 1..=self.answered {
                let request = format!("r{number}");
                let is_accounted_for =
                    stored.contains(&request) || self.may_be_unbilled.contains_key(&request);
                assert!(is_accounted_for, "{request} is unbilled");
            }
        }
        let may_be_unbilled = self.may_be_unbilled.iter();
        let may_be_unbilled = may_be_unbilled.filter(|(request, _)| !stored.contains(*request));
        let may_be_unbilled: u64 = may_be_unbilled.map(|(_, requests)| requests).sum();
        let lost = self.answered - billed;
        assert!(
            lost <= may_be_unbilled,
            "{lost} answers are unbilled, at most {may_be_unbilled} may be"
        );
        *self.counts.entry("answers").or_default() += self.answered;
        *self.counts.entry("unbilled after kills").or_default() += lost;
        *self.counts.entry("duplicates dropped").or_default() += totals.duplicates;
        let folds: u64 = self.instances.iter().map(|one| one.buffer.folds()).sum();
        *self.counts.entry("folds").or_default() += folds;
    }
}

fn entry(number: u64) -> Entry {
    Entry {
        request: format!("r{number}"),
        organisation: "o".to_owned(),
        version: "v".to_owned(),
        cost: 1,
        requests: 1,
        ..Entry::default()
    }
}

// A long store outage fills the buffer. Dropping entries would leave them
// unbilled, and keeping all of them would exhaust the memory of a small instance.
#[test]
fn buffer_add_at_bound_folds() {
    const ANSWERS: u64 = 1_000;
    let mut buffer = Buffer::new("i1", SMALL_LIMITS);
    for number in 0..ANSWERS {
        buffer.add(entry(number));
    }
    let bytes: usize = buffer.entries().iter().map(Entry::size).sum();
    assert!(
        bytes < SMALL_LIMITS.total_bytes + 1_000,
        "{bytes} bytes are held"
    );
    assert_eq!(buffer.pending(), ANSWERS);
    let cost: u64 = buffer.entries().iter().map(|entry| entry.cost).sum();
    assert_eq!(cost, ANSWERS);
}

// The oldest entries were folded into a sum that no peer holds. Copies of later
// entries must not make the earlier ones count as durable.
#[test]
fn offer_beside_sums_is_empty() {
    let mut buffer = Buffer::new("i1", SMALL_LIMITS);
    for number in 0..100 {
        buffer.add(entry(number));
    }
    assert!(buffer.folds() > 0);
    assert!(buffer.offer(1_000).is_empty());
}

// An instance is killed or drained during a store outage while peers hold copies
// of its entries, responses are lost and messages are delayed. A request could be
// billed twice, or not at all.
#[test]
fn ledger_faults_billed_once() {
    run_schedules("ledger", |seed, steps| {
        let mut world = World::new(seed);
        for _ in 0..steps {
            world.step();
        }
        world.finish();
        world.counts.into_iter().collect()
    });
}

/// Guards against a peer that counts as holding copies of an owner whose only copies it refused.
#[test]
fn is_empty_after_refused_copies() {
    let mut copies = PeerCopies::new();
    let entry = Entry {
        request: "r".repeat(PeerCopies::MAX_BYTES),
        ..Entry::default()
    };
    let is_held = copies.hold(
        Instant::ORIGIN,
        HoldRequest {
            owner: "n1".to_owned(),
            stored_until: Ticket(0),
            copies: vec![(Ticket(0), entry)],
        },
    );
    assert!(!is_held);
    assert!(copies.is_empty());
    assert_eq!(copies.len(), 0);
}
