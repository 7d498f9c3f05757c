//! The records of all keys, and the decision whether a request may be sent to a server.

use std::collections::HashMap;

use super::blame::{Hazard, REFUSAL_WEIGHT, Run, Weight};
use super::key::Key;
use super::permit::{Answer, Holder, PERMIT_ENDS, Permits, TrialEnd};
use super::record::{self, Crash, Record, Standing, TRIAL_STEP_MS};
use super::report::{End, Mark, Observation};
use super::{CRASH_LIMIT, RETENTION_MS, SAME_EVENT_MS};
use crate::clock::Instant;
use crate::gateway::affinity;
use crate::turns::Turns;

/// Maximum number of records that are kept.
const MAX_RECORDS: usize = 4096;
/// Maximum number of keys of which it is kept when they were proved sound here.
const MAX_PROOFS: usize = 8192;
/// Maximum number of servers of which it is kept when they answered.
const MAX_SERVERS: usize = 16_384;
/// Milliseconds by which the times of two observations of different nodes may be off.
const JITTER_MS: u64 = 20;
/// Milliseconds that a proof of this node must be newer than the one a peer knows, to be told.
const PROOF_STEP_MS: u64 = 500;

/// A crash of a server under a run.
#[derive(Clone, Copy, Debug)]
pub struct Crashed {
    /// Short identifier of the server's start.
    pub server: u32,
    /// When it was noticed.
    pub at: Instant,
    /// When the request was sent to the server.
    pub began: Instant,
    /// What it says against the keys of the request.
    pub weight: Weight,
}

/// What a node knows of keys under which servers crash.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    pub(super) records: HashMap<Key, Record>,
    /// When the latest run began here that proves a key sound.
    proofs: HashMap<Key, Instant>,
    /// When the last request that a server has answered was sent to it, by the short identifier of
    /// its start.
    answered: HashMap<u32, Instant>,
    /// How often servers of this node's runs end.
    hazard: Hazard,
    /// Hash of this node's name.
    node: u64,
    pub(super) turns: Turns,
    /// When servers ended, by the short identifier of their start.
    ended: HashMap<u32, Instant>,
    /// Permits that this node grants as an owner.
    permits: Permits,
    /// Number of ends that have put a key in doubt.
    alarms: u64,
}

/// Milliseconds for which the end of a server is recent: as long as its entry may outlast it.
const RECENT_END_MS: u64 = 5_000;

impl Suspects {
    /// Creates the empty state of the node with the given name.
    #[must_use]
    pub fn new(node: &str) -> Self {
        Self {
            node: affinity::hash(node.as_bytes()),
            ..Self::default()
        }
    }

    /// Records how long a run took, and whether it ended with its server.
    pub fn record_run(&mut self, now: Instant, ran_ms: u64, is_broken: bool) {
        self.hazard.record(now, ran_ms, is_broken);
    }

    /// Weighs what the end of its server says against the keys of a run; `None` if nothing.
    #[must_use]
    pub fn weigh(&self, now: Instant, run: &Run) -> Option<Weight> {
        self.hazard.weigh(now, run)
    }

    /// Records an observation as an owner of its key, of this node or of a peer.
    pub fn observe(&mut self, now: Instant, observation: Observation) {
        let key = observation.key;
        self.entry(now, key).is_shared = true;
        match observation.end {
            End::Crashed {
                server,
                age_ms,
                ran_ms,
                weight,
                proved_ms,
            } => {
                let at = now.minus_millis(age_ms);
                if let Some(proved_ms) = proved_ms {
                    self.entry(now, key).prove(now.minus_millis(proved_ms));
                }
                let crashed = Crashed {
                    server,
                    at,
                    began: at.minus_millis(ran_ms),
                    weight,
                };
                self.record_crash(now, key, crashed);
            }
            End::Proved { age_ms } => {
                self.entry(now, key).prove(now.minus_millis(age_ms));
            }
        }
    }

    fn record_end(&mut self, now: Instant, server: u32, at: Instant) {
        self.ended
            .retain(|_, ended_at| now < ended_at.plus_millis(RECENT_END_MS));
        if now < at.plus_millis(RECENT_END_MS) {
            self.ended.insert(server, at);
        }
    }

    /// Returns how many servers have ended lately under requests, as far as nodes have told.
    #[must_use]
    pub fn recent_ends(&self, now: Instant) -> usize {
        let is_recent = |at: &&Instant| now < at.plus_millis(RECENT_END_MS);
        self.ended.values().filter(is_recent).count()
    }

    /// Records that a server crashed under a key; returns whether it counts.
    pub fn record_crash(&mut self, now: Instant, key: Key, crashed: Crashed) -> bool {
        let Crashed {
            server,
            at,
            began,
            weight,
        } = crashed;
        let record = self.entry(now, key);
        let last_at = record.last_at();
        let is_beside = began.plus_millis(JITTER_MS) < last_at;
        let is_same_event =
            is_beside && at < last_at.plus_millis(SAME_EVENT_MS) && record.known(server).is_none();
        // What broke together says little, but runs take permits until one proves the key sound.
        let weight = if is_same_event {
            Weight::default()
        } else {
            weight
        };
        if !record.insert(now, Crash { server, at, weight }) {
            return false;
        }
        if is_same_event {
            self.judge(key, at);
            return true;
        }
        self.record_end(now, server, at);
        self.judge(key, at);
        true
    }

    /// Records what a peer knows of a key; returns whether this node has a newer proof, to be told to
    /// the owners.
    pub fn receive(&mut self, now: Instant, mark: &Mark) -> bool {
        let proved_at = mark.proved_ms.map(|age_ms| now.minus_millis(age_ms));
        let record = self.entry(now, mark.key);
        record.is_shared = true;
        if let Some(proved_at) = proved_at {
            record.prove(proved_at);
        }
        let mut newest = None;
        for crash in mark.crashes.iter().filter(|one| one.age_ms < RETENTION_MS) {
            let crash = Crash {
                server: crash.server,
                at: now.minus_millis(crash.age_ms),
                weight: crash.weight,
            };
            if record.insert(now, crash) {
                newest = newest.max(Some(crash.at));
            }
        }
        for crash in &mark.crashes {
            self.record_end(now, crash.server, now.minus_millis(crash.age_ms));
        }
        if let Some(newest) = newest {
            self.judge(mark.key, newest);
        }
        let told = proved_at.map_or(Instant::ORIGIN, |at| at.plus_millis(PROOF_STEP_MS));
        let is_newer = |own: &Instant| *own > told && now < own.plus_millis(RETENTION_MS);
        !mark.crashes.is_empty() && self.proofs.get(&mark.key).is_some_and(is_newer)
    }

    /// Records that `server` has answered a request that was sent to it at `sent_at`.
    pub fn record_answer(&mut self, now: Instant, server: u32, sent_at: Instant) {
        make_room(&mut self.answered, MAX_SERVERS, now);
        let answered = self.answered.entry(server).or_default();
        *answered = sent_at.max(*answered);
    }

    /// Records that a run of this node which began at `began` proves a key sound; returns whether
    /// there was anything against it, so that its owners are to be told.
    pub fn record_proof(&mut self, now: Instant, key: Key, began: Instant) -> bool {
        make_room(&mut self.proofs, MAX_PROOFS, now);
        let proved_at = self.proofs.entry(key).or_default();
        *proved_at = began.max(*proved_at);
        let Some(record) = self.records.get_mut(&key) else {
            return false;
        };
        let crashes = record.crashes.len();
        let was_refused = record.was_refused();
        record.prove(began);
        record.crashes.len() < crashes || (was_refused && !record.was_refused())
    }

    /// Returns the milliseconds since the latest proof that is known here.
    #[must_use]
    pub fn proved_ms(&self, now: Instant, key: Key) -> Option<u64> {
        let heard = self.records.get(&key).and_then(|record| record.proved_at);
        let own = self.proofs.get(&key).copied();
        let age_ms = now.millis_since(heard.max(own)?);
        (age_ms < RETENTION_MS).then_some(age_ms)
    }

    /// Returns when a request with these keys may be sent to a server again, if it may not now.
    #[must_use]
    pub fn refused_until(&self, now: Instant, keys: &[Key]) -> Option<Instant> {
        let untils = keys
            .iter()
            .filter_map(|key| self.key_refused_until(now, *key));
        untils.max()
    }

    fn standing(&self, now: Instant, key: Key) -> Option<Standing> {
        let record = self.records.get(&key)?;
        let are_enough = record::are_enough(&self.unrefuted(record));
        Some(record.standing(now, are_enough))
    }

    fn key_refused_until(&self, now: Instant, key: Key) -> Option<Instant> {
        match self.standing(now, key)? {
            Standing::Served => None,
            Standing::Refused(until) => Some(until),
            Standing::OnTrial { nodes, next_at } => {
                let may_try = record::may_try(self.node, key.0, nodes);
                let until = if may_try {
                    next_at
                } else {
                    now.plus_millis(TRIAL_STEP_MS)
                };
                (now < until).then_some(until)
            }
        }
    }

    /// Whether a request with these keys is refused.
    #[must_use]
    pub fn is_refused(&self, now: Instant, keys: &[Key]) -> bool {
        self.refused_until(now, keys).is_some()
    }

    /// Whether a refusal of one of these keys goes on, so that not even a trial is made.
    fn is_convicted(&self, now: Instant, keys: &[Key]) -> bool {
        let is_refused = |key: &Key| matches!(self.standing(now, *key), Some(Standing::Refused(_)));
        keys.iter().any(is_refused)
    }

    /// Records that a request with these keys, which is not refused, is sent to a server.
    pub fn begin(&mut self, now: Instant, keys: &[Key]) {
        for key in keys {
            if let Some(record) = self.records.get_mut(key)
                && record.was_refused()
            {
                record.try_again(now);
            }
        }
    }

    /// Whether a request with these keys, under which a server has crashed, is not sent to another
    /// one: another server has crashed under one of the keys, and chance is unlikely.
    #[must_use]
    pub fn is_suspected(&self, now: Instant, keys: &[Key]) -> bool {
        let is_suspected = |key: &Key| {
            self.records.get(key).is_some_and(|record| {
                let crashes = self.unrefuted(record);
                let weights = crashes.iter().map(|crash| crash.weight);
                crashes.len() >= CRASH_LIMIT - 1
                    && Weight::sum(weights).0 >= REFUSAL_WEIGHT.0 / 2
                    && !record.is_just_proved(now)
            })
        };
        keys.iter().any(is_suspected)
    }

    /// Whether a server has crashed under one of these keys, and nothing has proved it sound since. To
    /// find out, such requests go to servers of their own, not where others like them go.
    #[must_use]
    pub fn is_in_doubt(&self, now: Instant, keys: &[Key]) -> bool {
        let is_in_doubt = |key: &Key| {
            self.records.get(key).is_some_and(|record| {
                !record.is_just_proved(now) && !self.unrefuted(record).is_empty()
            })
        };
        keys.iter().any(is_in_doubt)
    }

    /// Whether a server has ended, or broken its link, under one of these keys since they were proved sound.
    #[must_use]
    pub fn has_ended(&self, keys: &[Key], server: u32) -> bool {
        let records = keys.iter().filter_map(|key| self.records.get(key));
        let mut crashes = records.flat_map(|record| &record.crashes);
        crashes.any(|crash| crash.server == server)
    }

    /// Returns the crashes that no later answer of the server refutes.
    pub(super) fn unrefuted(&self, record: &Record) -> Vec<Crash> {
        let is_refuted = |crash: &Crash| {
            let answered = self.answered.get(&crash.server);
            answered.is_some_and(|sent_at| *sent_at > crash.at)
        };
        let all = record.crashes.iter().copied();
        all.filter(|crash| !is_refuted(crash)).collect()
    }

    /// Begins or prolongs a refusal if the crash `at` calls for it.
    fn judge(&mut self, key: Key, at: Instant) {
        let Some(record) = self.records.get(&key) else {
            return;
        };
        let are_enough = record::are_enough(&self.unrefuted(record));
        if let Some(record) = self.records.get_mut(&key) {
            record.refuse(at, are_enough);
            self.alarms += u64::from(record.crashes.len() >= PERMIT_ENDS);
        }
    }

    /// Returns the number of ends that have put a key in doubt, so that a new one is noticed.
    #[must_use]
    pub const fn alarms(&self) -> u64 {
        self.alarms
    }

    /// Whether a run that waits at its server is to be called back: one of its keys is refused, or it
    /// has no permits, and a key needs one that nothing has proved sound lately.
    #[must_use]
    pub fn is_called_back(&self, now: Instant, keys: &[Key], has_permits: bool) -> bool {
        let is_doubted = |key: &Key| {
            let Some(record) = self.records.get(key) else {
                return false;
            };
            self.proved_ms(now, *key).is_none() && self.unrefuted(record).len() >= PERMIT_ENDS
        };
        self.is_convicted(now, keys) || (!has_permits && keys.iter().any(is_doubted))
    }

    /// Returns what this node knows of the keys under which at least `min_ends` servers have ended, and
    /// nothing has proved them sound since.
    #[must_use]
    pub fn doubts(&self, now: Instant, keys: &[Key], min_ends: usize) -> Vec<Mark> {
        let doubt = |&key: &Key| {
            let crashes = self.unrefuted(self.records.get(&key)?);
            (crashes.len() >= min_ends).then(|| Mark {
                key,
                crashes: record::newest(&crashes, now),
                proved_ms: self.proved_ms(now, key),
            })
        };
        keys.iter().filter_map(doubt).collect()
    }

    /// Takes, as an owner, permits for a run of the keys of which a node tells what it knows: all or
    /// none. Returns an answer for each.
    pub fn take_permits(&mut self, now: Instant, holder: Holder, marks: &[Mark]) -> Vec<Answer> {
        for mark in marks {
            self.receive(now, mark);
        }
        let answers: Vec<Answer> = marks
            .iter()
            .map(|mark| self.permit(now, holder, mark.key))
            .collect();
        let is_allowed = |answer: &Answer| matches!(answer, Answer::Free { .. } | Answer::Granted);
        if answers.iter().all(is_allowed) {
            for (mark, answer) in marks.iter().zip(&answers) {
                if *answer == Answer::Granted {
                    self.permits.grant(now, mark.key, holder);
                }
            }
        }
        answers
    }

    fn permit(&mut self, now: Instant, holder: Holder, key: Key) -> Answer {
        let ends = self.records.get(&key).map(|record| self.unrefuted(record));
        if ends.is_none_or(|ends| ends.len() < PERMIT_ENDS) {
            self.permits.forget(key);
            return Answer::Free {
                proved_ms: self.proved_ms(now, key),
            };
        }
        if let Some(Standing::Refused(until)) = self.standing(now, key) {
            return Answer::Refused {
                ms: until.millis_since(now),
            };
        }
        let free_at = self.permits.free_at(now, key, holder);
        if free_at > now {
            return Answer::Busy {
                ms: free_at.millis_since(now),
            };
        }
        Answer::Granted
    }

    /// Prolongs permits that this node has granted.
    pub fn keep_permits(&mut self, now: Instant, holder: Holder, keys: &[Key]) {
        for &key in keys {
            self.permits.keep(now, key, holder);
        }
    }

    /// Ends permits that this node has granted.
    pub fn end_permits(&mut self, now: Instant, holder: Holder, keys: &[Key], end: TrialEnd) {
        for &key in keys {
            let record = self.entry(now, key);
            if let TrialEnd::Proved { age_ms } = end {
                record.prove(now.minus_millis(age_ms));
            }
            // What was sound a moment ago was probably met by the end of another.
            let is_excused = end == TrialEnd::Crashed && record.is_just_proved(now);
            let end = if is_excused { TrialEnd::Void } else { end };
            self.permits.end(now, key, holder, end);
        }
    }

    /// Returns the record of a key, with the proof that this node has.
    fn entry(&mut self, now: Instant, key: Key) -> &mut Record {
        let proved_at = self.proofs.get(&key).copied();
        if !self.records.contains_key(&key) {
            self.make_room(now);
        }
        self.records
            .entry(key)
            .or_insert_with(|| Record::new(proved_at))
    }

    /// Makes room for another record. Those of keys that are refused are dropped last, and before
    /// them those of keys that were.
    fn make_room(&mut self, now: Instant) {
        let is_unneeded: [fn(&Record, Instant) -> bool; 4] = [
            |record, now| !record.was_refused() && record.is_over(now),
            |record, _| !record.was_refused(),
            Record::is_over,
            |_, _| true,
        ];
        for is_unneeded in is_unneeded {
            if self.records.len() >= MAX_RECORDS {
                self.records.retain(|_, record| !is_unneeded(record, now));
            }
        }
    }
}

/// Drops the oldest entries of a map that is full, but keeps those that are renewed all the time.
fn make_room<K>(times: &mut HashMap<K, Instant>, max: usize, now: Instant) {
    let mut kept_ms = RETENTION_MS;
    while times.len() >= max {
        times.retain(|_, at| now < at.plus_millis(kept_ms));
        if kept_ms == 0 {
            times.clear();
        }
        kept_ms /= 2;
    }
}
