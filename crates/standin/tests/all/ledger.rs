//! The ledger: each answered request is billed once, through lost answers of
//! the store and of peers, kills, pauses, long outages and drains.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use fescuerack_core::clock::Instant;
use fescuerack_core::ledger::{Buffer, Entry, Hold, Limits, PeerCopies, Segment, Ticket, Totals};
use fescuerack_core::store::{Call, Reply};
use fescuerack_standin::{Chaos, Odds};

use crate::run::{Dice, schedules};

const INSTANCES: usize = 3;
/// Bounds that are met often; the bill is then exact in its sums.
const SMALL: Limits = Limits {
    segment_bytes: 4_000,
    total_bytes: 8_000,
    offered_bytes: 2_000,
};
/// Bounds that are never met; every request then has its own line.
const LARGE: Limits = Limits {
    segment_bytes: 4_000,
    total_bytes: usize::MAX,
    offered_bytes: 2_000,
};

struct Instance {
    name: String,
    buffer: Buffer,
    peer_copies: PeerCopies,
    /// Which requests stand behind the tickets.
    tickets: BTreeMap<Ticket, String>,
    /// Instance that holds copies.
    keeper: Option<String>,
}

struct World {
    dice: Dice,
    limits: Limits,
    store: Chaos,
    now: Instant,
    instances: Vec<Instance>,
    /// Holds that arrive late and out of order, for the named instance.
    late: Vec<(String, Hold)>,
    answered: u64,
    /// Requests that may be unbilled: killed before the entry was safe, or
    /// owner and keeper killed together; with the requests that each stands for.
    excused: BTreeMap<String, u64>,
    started: u64,
    counts: BTreeMap<&'static str, u64>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut world = Self {
            dice: Dice::new(seed),
            limits: if seed.is_multiple_of(2) { SMALL } else { LARGE },
            store: Chaos::new(seed ^ 0x1ed_6e2, Odds::HARD),
            now: Instant::from_millis(1),
            instances: Vec::new(),
            late: Vec::new(),
            answered: 0,
            excused: BTreeMap::new(),
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
            keeper: None,
        });
    }

    fn step(&mut self) {
        self.now = self.now.plus_millis(self.dice.below(40) as u64);
        if self.dice.chance(0.003) {
            self.store.down = !self.store.down;
            self.count("outages");
        }
        let index = self.dice.below(self.instances.len());
        match self.dice.below(200) {
            0..70 => self.answer(index),
            70..120 => self.write(index),
            120..165 => self.offer(index),
            165..190 => self.adopt_orphans(index),
            190..196 => self.deliver_late(),
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

    /// Writes the next segment, whose answer may be lost or come late.
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

    /// Offers copies to a peer; the message or its answer may be lost, or the
    /// message may come again later.
    fn offer(&mut self, index: usize) {
        let names: Vec<_> = self.instances.iter().map(|one| one.name.clone()).collect();
        let other = (index + 1 + self.dice.below(names.len() - 1)) % names.len();
        let instance = &mut self.instances[index];
        let keeper = instance.keeper.clone();
        let keeper = keeper.filter(|keeper| names.contains(keeper));
        if keeper.is_none() {
            instance.buffer.reset_copies();
        }
        let copies = instance.buffer.offer(1_000);
        if copies.is_empty() && keeper.is_none() {
            return;
        }
        let keeper = keeper.unwrap_or_else(|| names[other].clone());
        let until = copies.last().map(|(ticket, _)| Ticket(ticket.0 + 1));
        let hold = Hold {
            owner: instance.name.clone(),
            kept_until: instance.buffer.stored_until(),
            copies,
        };
        instance.keeper = Some(keeper.clone());
        if self.dice.chance(0.1) {
            self.late.push((keeper, hold));
            self.instances[index].keeper = None;
            return;
        }
        let now = self.now;
        let peer = self.instances.iter_mut().find(|one| one.name == keeper);
        let is_held = peer.expect("it is there").peer_copies.hold(now, hold);
        if is_held && !self.dice.chance(0.1) {
            if let Some(until) = until {
                self.instances[index].buffer.mark_copied(until);
                self.count("copies");
            }
        } else {
            self.instances[index].keeper = None;
        }
    }

    fn deliver_late(&mut self) {
        if self.late.is_empty() {
            return;
        }
        let index = self.dice.below(self.late.len());
        let (to, hold) = self.late.swap_remove(index);
        let now = self.now;
        if let Some(peer) = self.instances.iter_mut().find(|one| one.name == to) {
            peer.peer_copies.hold(now, hold);
            self.count("late holds");
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

    /// Kills an instance. What was not safe is excused; so is what only it and
    /// an instance killed earlier knew.
    fn kill(&mut self, index: usize) {
        let killed = self.instances.swap_remove(index);
        let safe = killed.buffer.durable_until();
        let kept = killed.buffer.stored_until();
        let held = killed.keeper.is_some();
        let mut promised = BTreeSet::new();
        for (ticket, request) in killed.tickets {
            if ticket < kept || (ticket < safe && held) {
                promised.insert(request);
            } else {
                self.excused.insert(request, 1);
            }
        }
        // What it held or had taken over from others dies with it.
        self.lost_twice(&killed.name);
        let mut copies = killed.peer_copies;
        for entry in copies.drain() {
            self.unless_elsewhere(&entry);
        }
        for entry in killed.buffer.entries() {
            if !promised.contains(&entry.request) {
                self.unless_elsewhere(&entry);
            }
        }
        self.count("kills");
        self.start();
    }

    /// An entry that died with an instance is excused unless a live instance
    /// still has it as its own.
    fn unless_elsewhere(&mut self, lost: &Entry) {
        let elsewhere = self.instances.iter().any(|one| {
            let mut entries = one.buffer.entries().into_iter();
            entries.any(|entry| entry.request == lost.request)
        });
        if !elsewhere {
            self.excused.insert(lost.request.clone(), lost.requests);
        }
    }

    /// Holders of copies for the killed one keep them; owners whose keeper was
    /// killed are on their own again.
    fn lost_twice(&mut self, killed: &str) {
        for one in &mut self.instances {
            if one.keeper.as_deref() == Some(killed) {
                one.keeper = None;
            }
        }
    }

    /// Ends an instance gracefully: to the store, or to a peer.
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
            // The first answer may be lost: it is then handed on once more.
            for _ in 0..=usize::from(self.dice.chance(0.3)) {
                let other = self.dice.below(self.instances.len());
                for entry in entries.clone() {
                    self.instances[other].buffer.add_shared(entry);
                }
            }
            leaving.buffer.hand_off();
            self.count("hand-offs");
        }
        self.lost_twice(&leaving.name);
        self.count("drains");
        self.start();
    }

    fn finish(&mut self) {
        self.store.down = false;
        self.store.odds = Odds::default();
        self.now = self.now.plus_millis(60_000);
        while !self.late.is_empty() {
            self.deliver_late();
        }
        self.now = self.now.plus_millis(60_000);
        for _ in 0..64 {
            self.store.arrive();
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
        let mut single = BTreeSet::new();
        for item in self.store.store.keys("ledger/", 0).items {
            let value = self.store.store.get(&item.key).expect("listed");
            let segment: Segment = serde_json::from_slice(&value.bytes).expect("a segment");
            for entry in segment.entries {
                single.insert(entry.request.clone());
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
        if self.limits == LARGE {
            for number in 1..=self.answered {
                let request = format!("r{number}");
                let is_there = single.contains(&request) || self.excused.contains_key(&request);
                assert!(is_there, "{request} is unbilled");
            }
        }
        let excused = self.excused.iter();
        let excused = excused.filter(|(request, _)| !single.contains(*request));
        let excused: u64 = excused.map(|(_, requests)| requests).sum();
        let lost = self.answered - billed;
        assert!(
            lost <= excused,
            "{lost} answers are unbilled, {excused} excused"
        );
        *self.counts.entry("answers").or_default() += self.answered;
        *self.counts.entry("excused by kills").or_default() += lost;
        *self.counts.entry("doubles dropped").or_default() += totals.duplicates;
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

// An outage lasts so long that the entries no longer fit. Dropping them would
// leave them unbilled, keeping them would fill the small instance's memory.
#[test]
fn book_at_its_bound_folds() {
    const ANSWERS: u64 = 1_000;
    let mut buffer = Buffer::new("i1", SMALL);
    for number in 0..ANSWERS {
        buffer.add(entry(number));
    }
    let bytes: usize = buffer.entries().iter().map(Entry::size).sum();
    assert!(bytes < SMALL.total_bytes + 1_000, "{bytes} bytes are held");
    assert_eq!(buffer.pending(), ANSWERS);
    let cost: u64 = buffer.entries().iter().map(|entry| entry.cost).sum();
    assert_eq!(cost, ANSWERS);
}

// Entries were folded, so the oldest tickets stand in a sum that no peer has.
// Copies of later ones must not make their answers look safe.
#[test]
fn offer_beside_sums_is_empty() {
    let mut buffer = Buffer::new("i1", SMALL);
    for number in 0..100 {
        buffer.add(entry(number));
    }
    assert!(buffer.folds() > 0);
    assert!(buffer.offer(1_000).is_empty());
}

// An instance is killed or drained in an outage of the store, peers hold its
// entries, answers are lost and messages come late. A month later a bill shows
// a request twice, or not at all.
#[test]
fn ledger_faults_billed_once() {
    schedules("ledger", |seed, steps| {
        let mut world = World::new(seed);
        for _ in 0..steps {
            world.step();
        }
        world.finish();
        world.counts.into_iter().collect()
    });
}
