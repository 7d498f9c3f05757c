//! All roll-outs as one instance sees them.

mod configure;
mod exchange;

use std::collections::BTreeMap;

use fescuerack_config::key;
use serde::Serialize;
use slotmap::SecondaryMap;

use super::canary::{Canary, Hold, Verdict};
use super::counters::Counters;
use super::digest::Report;
use super::record::{Halt, Record, Step};
use crate::clock::Instant;

/// Milliseconds within which failures at one backend server count once: they
/// have one cause, and counting each would condemn a version for its server.
const CLUSTER_MS: u64 = 10_000;
/// Milliseconds without a rating from anywhere after which the candidate gets
/// no new session once this instance's part of the budget has passed unrated.
const STARVED_MS: u64 = 30_000;
/// Servers of which the last failure is remembered.
const MOST_SERVERS: usize = 4096;

/// What an instance saw of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// It came.
    Answered {
        /// Whether its first token came too late.
        late: bool,
    },
    /// The backend server answered with an error or broke off.
    Failed(key::Server),
    /// The backend server crashed, and not because of the request.
    Crashed(key::Server),
    /// It was rated.
    Rated {
        /// Rating in thousandths.
        quality_milli: u32,
        /// Whether it is a bad answer.
        bad: bool,
    },
}

/// Which version new sessions of a model start on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Version of today.
    pub current: key::Version,
    /// Candidate and its share of new sessions.
    pub candidate: Option<(key::Version, f64)>,
}

/// What is to be made durable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreWrite {
    /// Write the model's record, which holds a halt: the store lacks it.
    Halts(String),
    /// Swap this step into the model's record; it counts only once the store
    /// has taken it.
    Step(String, String, Step),
}

#[derive(Clone, Debug, Serialize)]
struct Entry {
    #[serde(skip)]
    share: Option<Share>,
    stages: Vec<f64>,
    trial: Option<Canary>,
    open: bool,
    steady: bool,
    unrated: u32,
}

/// The roll-outs.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Registry {
    source: String,
    informed: bool,
    records: BTreeMap<String, Record>,
    kept: BTreeMap<String, Record>,
    entries: SecondaryMap<key::Model, Entry>,
    #[serde(skip)]
    withdrawn: SecondaryMap<key::Version, ()>,
    #[serde(skip)]
    failures: BTreeMap<key::Server, Instant>,
    #[serde(skip)]
    relay: Vec<Report>,
    #[serde(skip)]
    turn: usize,
    peers: u32,
}

impl Registry {
    /// Creates a board of an incarnation that has heard of no record yet.
    #[must_use]
    pub fn new(source: &str) -> Self {
        Self {
            source: source.to_owned(),
            ..Self::default()
        }
    }

    /// Says among how many instances the exposure budget is divided.
    pub fn set_instances(&mut self, peers: u32) {
        self.peers = peers;
    }

    /// Returns whether a record has been heard from the store or from a peer.
    #[must_use]
    pub fn is_informed(&self) -> bool {
        self.informed
    }

    /// Notes that the store was read and holds no more than was adopted.
    pub fn mark_informed(&mut self) {
        self.informed = true;
    }

    /// Returns which version new sessions start on; `None` when the model has
    /// no roll-out.
    #[must_use]
    pub fn share(&self, now: Instant, model: key::Model) -> Option<Share> {
        let entry = self.entries.get(model)?;
        let mut share = entry.share?;
        if let Some((candidate, _)) = share.candidate
            && (!self.informed || self.is_withdrawn(candidate) || self.is_starved(now, entry))
        {
            share.candidate = Some((candidate, 0.0));
        }
        Some(share)
    }

    /// Returns whether a version takes no new work: withdrawn by operators or
    /// halted by evidence.
    #[must_use]
    pub fn is_withdrawn(&self, version: key::Version) -> bool {
        self.withdrawn.contains_key(version)
    }

    /// Returns whether answers to callers outrun the ratings by more than this
    /// instance's part of the exposure budget.
    fn is_starved(&self, now: Instant, entry: &Entry) -> bool {
        let Some(trial) = &entry.trial else {
            return false;
        };
        let part = (trial.exposure / self.peers.max(1)).max(1);
        entry.unrated >= part && !trial.is_rated_within(now, STARVED_MS)
    }

    /// Counts what this instance saw of an answer of `version`.
    pub fn observe(&mut self, now: Instant, version: key::Version, event: Event) {
        if let Event::Failed(server) | Event::Crashed(server) = event
            && !self.is_news(now, server)
        {
            return;
        }
        let source = self.source.clone();
        for entry in self.entries.values_mut() {
            let Some(trial) = entry.trial.as_mut() else {
                continue;
            };
            let mut pair = trial.source(&source);
            if version == trial.candidate {
                add(&mut pair.candidate, event);
                match event {
                    Event::Rated { .. } => entry.unrated = 0,
                    _ => entry.unrated = entry.unrated.saturating_add(1),
                }
            } else if version == trial.current {
                add(&mut pair.current, event);
            } else {
                continue;
            }
            trial.learn(now, &source, pair);
        }
        self.enforce(now);
    }

    fn is_news(&mut self, now: Instant, server: key::Server) -> bool {
        let recent = |at: &Instant| now < at.plus_millis(CLUSTER_MS);
        if self.failures.get(&server).is_some_and(recent) {
            return false;
        }
        if self.failures.len() >= MOST_SERVERS {
            self.failures.retain(|_, at| recent(at));
        }
        self.failures.insert(server, now);
        true
    }

    /// Takes over a model's record from the store or from a peer.
    /// Returns whether anything was news; then [`Registry::configure`] must follow.
    pub fn merge_stored_record(&mut self, now: Instant, model: &str, record: &Record) -> bool {
        self.informed = true;
        let known = self.records.entry(model.to_owned()).or_default();
        let news = known.merge(record);
        self.enforce(now);
        news
    }

    /// Notes what the store holds of a model, so that only what it lacks is
    /// written again.
    pub fn set_stored_record(&mut self, model: &str, record: &Record) {
        self.kept.insert(model.to_owned(), record.clone());
    }

    /// Returns what is known of a model's halts and steps.
    #[must_use]
    pub fn record(&self, model: &str) -> Record {
        self.records.get(model).cloned().unwrap_or_default()
    }

    /// Judges all roll-outs and returns what is to be made durable. A halt is
    /// in force here when this returns.
    ///
    /// # Panics
    ///
    /// When a halted candidate would get new sessions.
    pub fn decide(&mut self, now: Instant) -> Vec<StoreWrite> {
        self.enforce(now);
        let mut acts = Vec::new();
        for (model, record) in &self.records {
            let mut kept = self.kept.get(model).cloned().unwrap_or_default();
            let lacks = record
                .halts
                .iter()
                .any(|(candidate, halt)| kept.halt(candidate, halt.clone()));
            if lacks {
                acts.push(StoreWrite::Halts(model.clone()));
            }
        }
        for (model, entry) in &self.entries {
            let share = self.share(now, model).and_then(|share| share.candidate);
            if let Some((candidate, share)) = share {
                assert!(
                    share == 0.0 || !self.is_withdrawn(candidate),
                    "a halted candidate would get new sessions"
                );
            }
            if self.entry_verdict(now, entry) == Verdict::Step
                && let Some(trial) = &entry.trial
            {
                let step = Step {
                    word: trial.id.word,
                    stage: trial.stage + 1,
                };
                let candidate = trial.id.candidate.clone();
                acts.push(StoreWrite::Step(trial.id.model.clone(), candidate, step));
            }
        }
        acts
    }

    /// Returns what the evidence says of a model's roll-out, when it has one.
    #[must_use]
    pub fn verdict(&self, now: Instant, model: key::Model) -> Option<Verdict> {
        let entry = self.entries.get(model)?;
        entry.trial.as_ref()?;
        Some(self.entry_verdict(now, entry))
    }

    /// Returns the trial of a model, when there is one.
    #[must_use]
    pub fn canary(&self, model: key::Model) -> Option<&Canary> {
        self.entries.get(model)?.trial.as_ref()
    }

    fn entry_verdict(&self, now: Instant, entry: &Entry) -> Verdict {
        let Some(trial) = &entry.trial else {
            return Verdict::Hold(Hold::Operator);
        };
        let next = entry.stages.get(trial.stage + 1);
        let here = entry.stages.get(trial.stage).copied().unwrap_or(1.0);
        let growth = next.map_or(1.0, |next| next / here);
        match trial.verdict(now, growth) {
            Verdict::Halt(cause) => Verdict::Halt(cause),
            _ if entry.steady || next.is_none() => Verdict::Hold(Hold::Operator),
            _ if self.is_withdrawn(trial.candidate) => Verdict::Hold(Hold::Operator),
            _ if !self.informed => Verdict::Hold(Hold::Uninformed),
            verdict => verdict,
        }
    }

    /// Puts what is known of the running trials in force: halts, by own
    /// evidence or heard, and steps.
    fn enforce(&mut self, now: Instant) {
        for entry in self.entries.values_mut() {
            let Some(trial) = entry.trial.as_mut() else {
                continue;
            };
            let id = trial.id.clone();
            let record = self.records.entry(id.model).or_default();
            if let Verdict::Halt(cause) = trial.verdict(now, 1.0) {
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
                self.withdrawn.insert(trial.candidate, ());
            }
            let last = entry.stages.len().saturating_sub(1);
            let stage = record.stage(&id.candidate, id.word).unwrap_or(0);
            trial.enter(now, stage.max(trial.stage).min(last));
            if let Some(share) = entry.share.as_mut()
                && let Some((_, part)) = share.candidate.as_mut()
                && entry.open
            {
                *part = entry.stages.get(trial.stage).copied().unwrap_or(0.0);
            }
        }
    }
}

fn add(count: &mut Counters, event: Event) {
    match event {
        Event::Answered { late } => {
            count.answers = count.answers.saturating_add(1);
            count.late = count.late.saturating_add(u32::from(late));
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
