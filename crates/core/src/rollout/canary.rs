//! One trial: a candidate under one word of the operators, and the evidence
//! for and against it.

use std::collections::BTreeMap;

use fescuerack_config::key;
use serde::{Deserialize, Serialize};

use super::counters::{Counters, PairedCounters};
use super::record::Cause;
use super::sequential_test::{Base, Detector, passes};
use crate::clock::Instant;

/// What a trial is known by; counts of another trial are never mixed in.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Id {
    /// Model.
    pub model: String,
    /// Version of today, which takes the work after a halt.
    pub current: String,
    /// Version that is being rolled out.
    pub candidate: String,
    /// Number of the operator's word.
    pub word: u64,
}

/// Why a roll-out does not advance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Hold {
    /// An operator paused it, closed or withdrew the candidate, or it is at
    /// its last stage.
    Operator,
    /// Neither the store nor a peer has told this instance of halts yet.
    Uninformed,
    /// Too few answers in this stage.
    Evidence,
    /// No rating came lately.
    Stale,
    /// The ratings of the candidate are lower.
    Quality,
    /// Too few answers are rated to stop in time at the next stage.
    Exposure,
    /// The stage has lasted too short a time.
    Dwell,
}

/// What the evidence says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Stay at this stage.
    Hold(Hold),
    /// Go to the next stage.
    Step,
    /// Stop and fall back.
    Halt(Cause),
}

/// Milliseconds after which ratings count as stale.
pub const STALE_RATINGS_MS: u64 = 600_000;
/// Milliseconds that a stage lasts at least: some failures show only when
/// caches and sessions have grown.
pub const MIN_DWELL_MS: u64 = 600_000;
/// Ratings that a wholly bad version needs to be rejected, with one to spare.
pub const RATINGS_TO_REJECT: f64 = 4.0;
/// Mean rating by which the candidate may fall short of the current version.
const SHORTFALL: f64 = 0.02;
/// Incarnations of instances whose counts are kept; a trial that outlasts
/// more of them holds.
const MOST_SOURCES: usize = 2048;

/// Least rates of bad outcomes that are tested against, by channel. A
/// version that never fails must not be rejected for a single failure.
const FLOORS: [(Cause, f64); 4] = [
    (Cause::Errors, 0.01),
    (Cause::Crashes, 0.005),
    (Cause::Latency, 0.05),
    (Cause::Ratings, 0.02),
];

#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
struct Channel {
    cause: Cause,
    base: Base,
    detector: Detector,
}

impl Channel {
    fn add(&mut self, delta: PairedCounters) {
        let (outcomes, bad) = outcomes(self.cause, delta.current);
        self.base.add(outcomes, bad);
        let (outcomes, bad) = outcomes_of(self.cause, delta);
        self.detector.add(self.base.rate(), outcomes - bad, bad);
    }
}

fn outcomes_of(cause: Cause, delta: PairedCounters) -> (u32, u32) {
    outcomes(cause, delta.candidate)
}

/// Returns the number of outcomes and of bad ones on a channel.
fn outcomes(cause: Cause, count: Counters) -> (u32, u32) {
    let (outcomes, bad) = match cause {
        Cause::Errors => (count.answers, count.errors),
        Cause::Crashes => (count.answers, count.crashes),
        Cause::Latency => (count.answers, count.late),
        Cause::Ratings | Cause::Exposure => (count.rated, count.bad),
    };
    (outcomes, bad.min(outcomes))
}

/// The evidence of one trial.
#[derive(Clone, Debug, Serialize)]
pub struct Canary {
    /// What it is known by.
    pub id: Id,
    /// Version of today.
    #[serde(skip)]
    pub current: key::Version,
    /// Version that is being rolled out.
    #[serde(skip)]
    pub candidate: key::Version,
    /// Bad answers that may reach callers.
    pub exposure: u32,
    /// Stage in force.
    pub stage: usize,
    sources: BTreeMap<String, PairedCounters>,
    total: PairedCounters,
    at_stage: PairedCounters,
    stage_since: Instant,
    rated_at: Option<Instant>,
    channels: [Channel; 4],
    halted: Option<Cause>,
}

impl Canary {
    /// Creates a trial with no evidence.
    #[must_use]
    pub fn new(id: Id, current: key::Version, candidate: key::Version, now: Instant) -> Self {
        Self {
            id,
            current,
            candidate,
            exposure: u32::MAX,
            stage: 0,
            sources: BTreeMap::new(),
            total: PairedCounters::default(),
            at_stage: PairedCounters::default(),
            stage_since: now,
            rated_at: None,
            channels: FLOORS.map(|(cause, floor)| Channel {
                cause,
                base: Base::new(floor),
                detector: Detector::default(),
            }),
            halted: None,
        }
    }

    /// Goes to another stage; evidence for the next step starts afresh.
    pub fn enter(&mut self, now: Instant, stage: usize) {
        if stage != self.stage {
            self.stage = stage;
            self.at_stage = self.total;
            self.stage_since = now;
        }
    }

    /// Takes over the counters of one incarnation; counters only rise, so a
    /// repeated or an old message changes nothing.
    pub fn learn(&mut self, now: Instant, source: &str, pair: PairedCounters) {
        let known = self.sources.get(source).copied();
        if known.is_none() && self.sources.len() >= MOST_SOURCES {
            return;
        }
        let joined = known.unwrap_or_default().join(pair);
        let delta = joined.since(known.unwrap_or_default());
        if delta == PairedCounters::default() {
            return;
        }
        self.sources.insert(source.to_owned(), joined);
        self.total = self.total.plus(delta);
        if delta.candidate.rated > 0 {
            self.rated_at = Some(now);
        }
        for channel in &mut self.channels {
            channel.add(delta);
        }
        self.judge();
    }

    /// Once rejected, a trial stays rejected: later good answers must not
    /// bring a version back that nobody has looked at.
    fn judge(&mut self) {
        if self.halted.is_some() {
            return;
        }
        let rejected = self
            .channels
            .iter()
            .find(|channel| channel.detector.rejects());
        self.halted = rejected.map(|channel| channel.cause);
        if self.halted.is_none() && self.exposed() >= f64::from(self.exposure) {
            self.halted = Some(Cause::Exposure);
        }
    }

    /// Returns the estimated number of bad answers that reached callers and
    /// would not have with the current version.
    #[must_use]
    pub fn exposed(&self) -> f64 {
        let count = self.total.candidate;
        if count.rated == 0 {
            return 0.0;
        }
        let rated = f64::from(count.rated);
        let excess = f64::from(count.bad) - rated * self.channels[3].base.rate();
        excess.max(0.0) * (f64::from(count.answers) / rated).max(1.0)
    }

    /// Returns the share of the candidate's answers of this stage that were
    /// rated.
    #[must_use]
    pub fn rated_share(&self) -> f64 {
        let count = self.total.since(self.at_stage).candidate;
        f64::from(count.rated) / f64::from(count.answers.max(1))
    }

    /// Returns the counters of one source.
    #[must_use]
    pub fn source(&self, source: &str) -> PairedCounters {
        self.sources.get(source).copied().unwrap_or_default()
    }

    /// Iterates over all sources.
    pub fn sources(&self) -> impl Iterator<Item = (&String, PairedCounters)> {
        self.sources.iter().map(|(source, pair)| (source, *pair))
    }

    /// Returns the sum of all counters.
    #[must_use]
    pub fn total(&self) -> PairedCounters {
        self.total
    }

    /// Returns whether a rating of the candidate came within the last `millis`.
    #[must_use]
    pub fn is_rated_within(&self, now: Instant, millis: u64) -> bool {
        self.rated_at.is_some_and(|at| now < at.plus_millis(millis))
    }

    /// Says what the evidence allows; `growth` is by how much the next stage's
    /// share is larger than this one's.
    #[must_use]
    pub fn verdict(&self, now: Instant, growth: f64) -> Verdict {
        if let Some(cause) = self.halted {
            return Verdict::Halt(cause);
        }
        let stage = self.total.since(self.at_stage);
        let hold = if now < self.stage_since.plus_millis(MIN_DWELL_MS) {
            Hold::Dwell
        } else if !self.is_rated_within(now, STALE_RATINGS_MS) {
            Hold::Stale
        } else if !self.passes(stage) {
            Hold::Evidence
        } else if !is_as_good(stage) {
            Hold::Quality
        } else if !self.stops_in_time(growth) {
            Hold::Exposure
        } else {
            return Verdict::Step;
        };
        Verdict::Hold(hold)
    }

    fn passes(&self, stage: PairedCounters) -> bool {
        self.channels.iter().all(|channel| {
            let (all, bad) = outcomes_of(channel.cause, stage);
            passes(channel.base.rate(), all - bad, bad)
        })
    }

    /// A version that turns wholly bad right after the step is rejected after
    /// a few ratings; the answers that pass between them must fit the budget.
    fn stops_in_time(&self, growth: f64) -> bool {
        let rated_after = (self.rated_share() / growth.max(1.0)).max(f64::MIN_POSITIVE);
        RATINGS_TO_REJECT / rated_after.min(1.0) <= f64::from(self.exposure)
    }
}

fn is_as_good(stage: PairedCounters) -> bool {
    match (stage.candidate.quality(), stage.current.quality()) {
        (Some(candidate), Some(current)) => candidate + SHORTFALL >= current,
        (Some(_), None) => true,
        (None, _) => false,
    }
}
