//! The canary analysis of one candidate in one generation of its roll-out: the evidence for and
//! against it.

use std::collections::BTreeMap;

use fescuerack_config::key;
use serde::{Deserialize, Serialize};

use super::counters::{Counters, PairedCounters};
use super::record::Cause;
use super::sequential_test::{Base, Detector, passes};
use crate::clock::Instant;

/// Identity of a canary; counters of different canaries are never mixed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Id {
    /// Name of the model.
    pub model: String,
    /// Current version, which takes over the requests after a halt.
    pub current: String,
    /// Candidate.
    pub candidate: String,
    /// Generation of the roll-out, as the operators set it.
    pub word: u64,
}

/// The reason why a roll-out does not advance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HoldReason {
    /// An operator paused it, closed or withdrew the candidate, or it is at its last stage.
    Operator,
    /// This instance has not received the halts from the store or from a peer yet.
    Uninformed,
    /// Too few answers in this stage.
    Evidence,
    /// No rating of the candidate arrived within [`STALE_RATINGS_MS`].
    Stale,
    /// The mean rating of the candidate is lower than that of the current version.
    Quality,
    /// Too few answers are rated to halt within the exposure budget at the next stage.
    Exposure,
    /// The stage has not lasted [`MIN_DWELL_MS`] yet.
    Dwell,
}

/// The result of the evaluation of the evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Stay at this stage.
    Hold(HoldReason),
    /// Advance to the next stage.
    Step,
    /// Stop and fall back to the current version.
    Halt(Cause),
}

/// Time after the latest rating of the candidate at which its ratings count as stale.
pub const STALE_RATINGS_MS: u64 = 600_000;
/// Minimum duration of a stage: some failures appear only after caches and sessions have grown.
pub const MIN_DWELL_MS: u64 = 600_000;
/// Number of ratings after which a version with only bad answers is rejected, plus one in reserve.
pub const RATINGS_TO_REJECT: f64 = 4.0;
/// Maximum shortfall of the candidate's mean rating against that of the current version.
const MAX_QUALITY_SHORTFALL: f64 = 0.02;
/// Maximum number of incarnations of instances whose counters are kept. The counters of further
/// incarnations are dropped, so a canary that outlasts more of them holds.
const MAX_SOURCES: usize = 2048;

/// Lowest base rate of bad outcomes to test against, by channel: when the current version never
/// fails, a single failure must not reject the candidate.
const MIN_BASE_RATES: [(Cause, f64); 4] = [
    (Cause::Errors, 0.01),
    (Cause::Crashes, 0.005),
    (Cause::Latency, 0.05),
    (Cause::Ratings, 0.02),
];

/// The evidence on one kind of bad outcome.
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
        let (outcomes, bad) = candidate_outcomes(self.cause, delta);
        self.detector.add(self.base.rate(), outcomes - bad, bad);
    }
}

/// Returns the number of outcomes of the candidate and of bad ones among them.
fn candidate_outcomes(cause: Cause, delta: PairedCounters) -> (u32, u32) {
    outcomes(cause, delta.candidate)
}

/// Returns the number of outcomes on a channel and of bad ones among them.
fn outcomes(cause: Cause, count: Counters) -> (u32, u32) {
    let (outcomes, bad) = match cause {
        Cause::Errors => (count.answers, count.errors),
        Cause::Crashes => (count.answers, count.crashes),
        Cause::Latency => (count.answers, count.missed_targets),
        Cause::Ratings | Cause::Exposure => (count.rated, count.bad),
    };
    (outcomes, bad.min(outcomes))
}

/// The evidence of one canary.
#[derive(Clone, Debug, Serialize)]
pub struct Canary {
    /// Identity.
    pub id: Id,
    /// Current version.
    #[serde(skip)]
    pub current: key::Version,
    /// Candidate.
    #[serde(skip)]
    pub candidate: key::Version,
    /// Exposure budget: number of bad answers that may reach callers.
    pub exposure: u32,
    /// Active stage.
    pub stage: usize,
    /// Counters by incarnation.
    sources: BTreeMap<String, PairedCounters>,
    total: PairedCounters,
    /// Total at the start of the stage.
    at_stage: PairedCounters,
    stage_since: Instant,
    rated_at: Option<Instant>,
    channels: [Channel; 4],
    halted: Option<Cause>,
}

impl Canary {
    /// Creates a canary with no evidence.
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
            channels: MIN_BASE_RATES.map(|(cause, floor)| Channel {
                cause,
                base: Base::new(floor),
                detector: Detector::default(),
            }),
            halted: None,
        }
    }

    /// Enters another stage; the evidence for the next step starts afresh.
    pub fn enter_stage(&mut self, now: Instant, stage: usize) {
        if stage != self.stage {
            self.stage = stage;
            self.at_stage = self.total;
            self.stage_since = now;
        }
    }

    /// Merges the counters of one incarnation; counters only increase, so a repeated or an old
    /// message changes nothing.
    pub fn merge_counters(&mut self, now: Instant, source: &str, pair: PairedCounters) {
        let known = self.sources.get(source).copied();
        if known.is_none() && self.sources.len() >= MAX_SOURCES {
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
        self.update_halt();
    }

    /// Halts the canary if a channel rejects the candidate or the exposure budget is used up.
    ///
    /// The halt is permanent: later good answers must not reinstate a version that no operator has
    /// inspected.
    fn update_halt(&mut self) {
        if self.halted.is_some() {
            return;
        }
        let rejected = self
            .channels
            .iter()
            .find(|channel| channel.detector.rejects());
        self.halted = rejected.map(|channel| channel.cause);
        if self.halted.is_none() && self.excess_bad_answers() >= f64::from(self.exposure) {
            self.halted = Some(Cause::Exposure);
        }
    }

    /// Returns the estimated number of bad answers that reached callers beyond those expected from
    /// the current version.
    #[must_use]
    pub fn excess_bad_answers(&self) -> f64 {
        let count = self.total.candidate;
        if count.rated == 0 {
            return 0.0;
        }
        let rated = f64::from(count.rated);
        let excess = f64::from(count.bad) - rated * self.channels[3].base.rate();
        excess.max(0.0) * (f64::from(count.answers) / rated).max(1.0)
    }

    /// Returns the share of the candidate's answers in this stage that were rated.
    #[must_use]
    pub fn rated_share(&self) -> f64 {
        let count = self.total.since(self.at_stage).candidate;
        f64::from(count.rated) / f64::from(count.answers.max(1))
    }

    /// Returns the counters of one incarnation.
    #[must_use]
    pub fn counters_of(&self, source: &str) -> PairedCounters {
        self.sources.get(source).copied().unwrap_or_default()
    }

    /// Iterates over the counters of all incarnations.
    pub fn sources(&self) -> impl Iterator<Item = (&String, PairedCounters)> {
        self.sources.iter().map(|(source, pair)| (source, *pair))
    }

    /// Returns the sum of all counters.
    #[must_use]
    pub fn total(&self) -> PairedCounters {
        self.total
    }

    /// Returns whether a rating of the candidate arrived within the last `millis` milliseconds.
    #[must_use]
    pub fn is_rated_within(&self, now: Instant, millis: u64) -> bool {
        self.rated_at.is_some_and(|at| now < at.plus_millis(millis))
    }

    /// Returns the verdict that the evidence supports; `growth` is the ratio of the next stage's
    /// share of new sessions to that of this stage.
    #[must_use]
    pub fn verdict(&self, now: Instant, growth: f64) -> Verdict {
        if let Some(cause) = self.halted {
            return Verdict::Halt(cause);
        }
        let stage = self.total.since(self.at_stage);
        let hold = if now < self.stage_since.plus_millis(MIN_DWELL_MS) {
            HoldReason::Dwell
        } else if !self.is_rated_within(now, STALE_RATINGS_MS) {
            HoldReason::Stale
        } else if !self.passes(stage) {
            HoldReason::Evidence
        } else if !is_quality_sufficient(stage) {
            HoldReason::Quality
        } else if !self.halts_within_budget(growth) {
            HoldReason::Exposure
        } else {
            return Verdict::Step;
        };
        Verdict::Hold(hold)
    }

    /// Returns whether the outcomes of the stage pass the test on every channel.
    fn passes(&self, stage: PairedCounters) -> bool {
        self.channels.iter().all(|channel| {
            let (all, bad) = candidate_outcomes(channel.cause, stage);
            passes(channel.base.rate(), all - bad, bad)
        })
    }

    /// Returns whether a candidate that fails completely right after the step is halted within the
    /// exposure budget: it is rejected after a few ratings, and the answers that reach callers
    /// between those ratings must fit the budget.
    fn halts_within_budget(&self, growth: f64) -> bool {
        let rated_after = (self.rated_share() / growth.max(1.0)).max(f64::MIN_POSITIVE);
        RATINGS_TO_REJECT / rated_after.min(1.0) <= f64::from(self.exposure)
    }
}

/// Returns whether the mean rating of the candidate is close enough to that of the current version.
fn is_quality_sufficient(stage: PairedCounters) -> bool {
    match (stage.candidate.quality(), stage.current.quality()) {
        (Some(candidate), Some(current)) => candidate + MAX_QUALITY_SHORTFALL >= current,
        (Some(_), None) => true,
        (None, _) => false,
    }
}
