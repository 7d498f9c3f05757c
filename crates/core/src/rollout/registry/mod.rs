//! The state of all roll-outs as one instance has recorded it.

mod configure;
mod exchange;

use std::collections::BTreeMap;

use fescuerack_config::key;
use serde::Serialize;
use slotmap::SecondaryMap;

use super::canary::{Canary, HoldReason, Verdict};
use super::counters::Counters;
use super::digest::Report;
use super::record::{Halt, Record, Step};
use crate::clock::Instant;

/// Window in which failures at one backend server count once: they have one cause, and counting
/// each would reject a version because of its server.
const FAILURE_DEDUP_MS: u64 = 10_000;
/// The candidate gets no new session when no instance has received a rating of it for this time and
/// its unrated answers here have used up this instance's part of the exposure budget.
const RATING_STARVATION_MS: u64 = 30_000;
/// Number of backend servers with a recorded failure from which each new one first evicts expired
/// entries. Unexpired entries are kept, so it does not bound their number.
const EVICTION_THRESHOLD_SERVERS: usize = 4096;

/// An event that an instance observes about an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The answer arrived.
    Answered {
        /// Whether the time to first token exceeded the target.
        missed_target: bool,
    },
    /// The backend server answered with an error or broke off the answer.
    Failed(key::Server),
    /// The backend server crashed, for a reason other than the request.
    Crashed(key::Server),
    /// The answer was rated.
    Rated {
        /// Rating in thousandths.
        quality_milli: u32,
        /// Whether the rating counts as a bad answer.
        bad: bool,
    },
}

/// The split of new sessions of a model between its versions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VersionSplit {
    /// Current version.
    pub current: key::Version,
    /// Candidate and its share of new sessions, from 0 to 1.
    pub candidate: Option<(key::Version, f64)>,
}

/// A change that has to be written to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreWrite {
    /// Write the record of this model: the local one holds a halt that is not in the store.
    Halts(String),
    /// Swap a step into the record of a model. The step takes effect only after the store has
    /// accepted it.
    Step {
        /// Name of the model.
        model: String,
        /// Name of the candidate.
        candidate: String,
        /// The step.
        step: Step,
    },
}

/// The roll-out of one model.
#[derive(Clone, Debug, Serialize)]
struct Entry {
    #[serde(skip)]
    split: Option<VersionSplit>,
    stages: Vec<f64>,
    #[serde(rename = "trial")]
    canary: Option<Canary>,
    /// Whether the candidate accepts new sessions.
    #[serde(rename = "open")]
    accepts_sessions: bool,
    /// Whether operators hold the roll-out: they paused it, or the candidate is not open.
    #[serde(rename = "steady")]
    is_held_by_operator: bool,
    /// Answers of the candidate on this instance since its last rating here.
    unrated: u32,
}

/// The roll-outs of all models on one instance.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Registry {
    /// Incarnation of this instance.
    source: String,
    /// Whether the records have been received from the store or from a peer.
    #[serde(rename = "informed")]
    has_records: bool,
    records: BTreeMap<String, Record>,
    /// Records as the store holds them.
    #[serde(rename = "kept")]
    stored: BTreeMap<String, Record>,
    entries: SecondaryMap<key::Model, Entry>,
    #[serde(skip)]
    withdrawn: SecondaryMap<key::Version, ()>,
    /// Time of the last failure that counted, by backend server.
    #[serde(skip)]
    failures: BTreeMap<key::Server, Instant>,
    /// Reports received from peers, to be relayed.
    #[serde(skip)]
    reports_to_relay: Vec<Report>,
    /// Position from which the next digest takes its reports.
    #[serde(skip)]
    next_report: usize,
    #[serde(rename = "peers")]
    instances: u32,
}

impl Registry {
    /// Creates the registry of an incarnation that has not received any record yet.
    #[must_use]
    pub fn new(source: &str) -> Self {
        Self {
            source: source.to_owned(),
            ..Self::default()
        }
    }

    /// Sets the number of instances among which the exposure budget is divided.
    pub fn set_instances(&mut self, instances: u32) {
        self.instances = instances;
    }

    /// Returns whether the records have been received from the store or from a peer.
    #[must_use]
    pub fn is_informed(&self) -> bool {
        self.has_records
    }

    /// Records that the whole store was read and that all its records have been merged.
    pub fn mark_informed(&mut self) {
        self.has_records = true;
    }

    /// Returns the version split of new sessions; `None` when the model has no roll-out.
    ///
    /// The candidate's share is 0 until the records have been received, after it has been
    /// withdrawn, and while too many of its answers are unrated.
    #[must_use]
    pub fn version_split(&self, now: Instant, model: key::Model) -> Option<VersionSplit> {
        let entry = self.entries.get(model)?;
        let mut split = entry.split?;
        if let Some((candidate, _)) = split.candidate
            && (!self.has_records
                || self.is_withdrawn(candidate)
                || self.is_rating_starved(now, entry))
        {
            split.candidate = Some((candidate, 0.0));
        }
        Some(split)
    }

    /// Returns whether a version takes no new work, because operators withdrew it or the evidence
    /// halted it.
    #[must_use]
    pub fn is_withdrawn(&self, version: key::Version) -> bool {
        self.withdrawn.contains_key(version)
    }

    /// Returns whether the unrated answers of the candidate have reached this instance's part of
    /// the exposure budget while ratings have stopped arriving.
    fn is_rating_starved(&self, now: Instant, entry: &Entry) -> bool {
        let Some(canary) = &entry.canary else {
            return false;
        };
        let part = (canary.exposure / self.instances.max(1)).max(1);
        entry.unrated >= part && !canary.is_rated_within(now, RATING_STARVATION_MS)
    }

    /// Counts an event that this instance observed about an answer of `version`.
    pub fn observe(&mut self, now: Instant, version: key::Version, event: Event) {
        if let Event::Failed(server) | Event::Crashed(server) = event
            && !self.is_new_failure(now, server)
        {
            return;
        }
        let source = self.source.clone();
        for entry in self.entries.values_mut() {
            let Some(canary) = entry.canary.as_mut() else {
                continue;
            };
            let mut pair = canary.counters_of(&source);
            if version == canary.candidate {
                add(&mut pair.candidate, event);
                match event {
                    Event::Rated { .. } => entry.unrated = 0,
                    _ => entry.unrated = entry.unrated.saturating_add(1),
                }
            } else if version == canary.current {
                add(&mut pair.current, event);
            } else {
                continue;
            }
            canary.merge_counters(now, &source, pair);
        }
        self.enforce(now);
    }

    /// Returns whether a failure at `server` counts, and records its time if so.
    fn is_new_failure(&mut self, now: Instant, server: key::Server) -> bool {
        let recent = |at: &Instant| now < at.plus_millis(FAILURE_DEDUP_MS);
        if self.failures.get(&server).is_some_and(recent) {
            return false;
        }
        if self.failures.len() >= EVICTION_THRESHOLD_SERVERS {
            self.failures.retain(|_, at| recent(at));
        }
        self.failures.insert(server, now);
        true
    }

    /// Merges the record of a model that was read from or written to the store.
    ///
    /// Returns whether it changed anything; if so, the caller must call [`Registry::configure`].
    pub fn merge_stored_record(&mut self, now: Instant, model: &str, record: &Record) -> bool {
        self.has_records = true;
        let known = self.records.entry(model.to_owned()).or_default();
        let changed = known.merge(record);
        self.enforce(now);
        changed
    }

    /// Sets the record that the store holds of a model, so that only what it lacks is written.
    pub fn set_stored_record(&mut self, model: &str, record: &Record) {
        self.stored.insert(model.to_owned(), record.clone());
    }

    /// Returns the known halts and steps of a model.
    #[must_use]
    pub fn record(&self, model: &str) -> Record {
        self.records.get(model).cloned().unwrap_or_default()
    }

    /// Evaluates all roll-outs and returns the writes that the store needs.
    ///
    /// Halts are already active on this instance when this returns.
    ///
    /// # Panics
    ///
    /// Panics if a withdrawn candidate would get new sessions.
    pub fn decide(&mut self, now: Instant) -> Vec<StoreWrite> {
        self.enforce(now);
        let mut writes = Vec::new();
        for (model, record) in &self.records {
            let mut stored = self.stored.get(model).cloned().unwrap_or_default();
            let is_missing = record
                .halts
                .iter()
                .any(|(candidate, halt)| stored.halt(candidate, halt.clone()));
            if is_missing {
                writes.push(StoreWrite::Halts(model.clone()));
            }
        }
        for (model, entry) in &self.entries {
            let split = self.version_split(now, model);
            if let Some((candidate, share)) = split.and_then(|split| split.candidate) {
                assert!(
                    share == 0.0 || !self.is_withdrawn(candidate),
                    "a withdrawn candidate would get new sessions"
                );
            }
            if self.entry_verdict(now, entry) == Verdict::Step
                && let Some(canary) = &entry.canary
            {
                let step = Step {
                    word: canary.id.word,
                    stage: canary.stage + 1,
                };
                let (model, candidate) = (canary.id.model.clone(), canary.id.candidate.clone());
                writes.push(StoreWrite::Step {
                    model,
                    candidate,
                    step,
                });
            }
        }
        writes
    }

    /// Returns the verdict on a model's roll-out, if it has one.
    #[must_use]
    pub fn verdict(&self, now: Instant, model: key::Model) -> Option<Verdict> {
        let entry = self.entries.get(model)?;
        entry.canary.as_ref()?;
        Some(self.entry_verdict(now, entry))
    }

    /// Returns the canary of a model, if there is one.
    #[must_use]
    pub fn canary(&self, model: key::Model) -> Option<&Canary> {
        self.entries.get(model)?.canary.as_ref()
    }

    fn entry_verdict(&self, now: Instant, entry: &Entry) -> Verdict {
        let Some(canary) = &entry.canary else {
            return Verdict::Hold(HoldReason::Operator);
        };
        // `growth` is the factor by which the next stage multiplies the candidate's share of new
        // sessions.
        let next = entry.stages.get(canary.stage + 1);
        let share = entry.stages.get(canary.stage).copied().unwrap_or(1.0);
        let growth = next.map_or(1.0, |next| next / share);
        match canary.verdict(now, growth) {
            Verdict::Halt(cause) => Verdict::Halt(cause),
            _ if entry.is_held_by_operator || next.is_none() => Verdict::Hold(HoldReason::Operator),
            _ if self.is_withdrawn(canary.candidate) => Verdict::Hold(HoldReason::Operator),
            _ if !self.has_records => Verdict::Hold(HoldReason::Uninformed),
            verdict => verdict,
        }
    }

    /// Applies halts, from local evidence or received, and steps to the running canaries.
    fn enforce(&mut self, now: Instant) {
        for entry in self.entries.values_mut() {
            let Some(canary) = entry.canary.as_mut() else {
                continue;
            };
            let id = canary.id.clone();
            let record = self.records.entry(id.model).or_default();
            if let Verdict::Halt(cause) = canary.verdict(now, 1.0) {
                let halt = Halt {
                    word: id.word,
                    fallback: id.current,
                    cause,
                };
                if record.halted(&id.candidate, id.word).is_none() {
                    record.halt(&id.candidate, halt);
                }
            }
            if record.halted(&id.candidate, id.word).is_some() {
                self.withdrawn.insert(canary.candidate, ());
            }
            let last = entry.stages.len().saturating_sub(1);
            let stage = record.stage(&id.candidate, id.word).unwrap_or(0);
            canary.enter_stage(now, stage.max(canary.stage).min(last));
            if let Some(split) = entry.split.as_mut()
                && let Some((_, share)) = split.candidate.as_mut()
                && entry.accepts_sessions
            {
                *share = entry.stages.get(canary.stage).copied().unwrap_or(0.0);
            }
        }
    }
}

fn add(count: &mut Counters, event: Event) {
    match event {
        Event::Answered { missed_target } => {
            count.answers = count.answers.saturating_add(1);
            count.missed_targets = count
                .missed_targets
                .saturating_add(u32::from(missed_target));
        }
        Event::Failed(_) => {
            count.answers = count.answers.saturating_add(1);
            count.errors = count.errors.saturating_add(1);
        }
        Event::Crashed(_) => {
            count.answers = count.answers.saturating_add(1);
            count.crashes = count.crashes.saturating_add(1);
        }
        Event::Rated { quality_milli, bad } => {
            count.rated = count.rated.saturating_add(1);
            count.bad = count.bad.saturating_add(u32::from(bad));
            count.quality_milli = count.quality_milli.saturating_add(quality_milli);
        }
    }
}
