//! Canary of a new version of a service.
//!
//! A new version, the candidate, runs beside the old one and must be completed or rejected by a
//! given time, without an operator. It may be bad from the start, later, under load or on one route
//! only, and either fail or be slow. Too much traffic exposes callers to a bad version; too little
//! gives no evidence in time.
//!
//! - Until [`LOADED_FROM`] of its time the new version gets [`SAMPLE_SHARE`] of the allowed
//!   exposure, on so few of its servers ([`CanaryPlan::server_count`]) that each is somewhat busier
//!   than the old ones. A hash decides which sessions go there, so nodes agree without messages
//!   and a session stays on its version.
//! - Then it gets most of the remaining exposure, on servers that are `LOAD_FACTOR` times as busy
//!   as after the roll-out. Ongoing sessions limit the share of the first half to about half of the
//!   intended one, so a version that fails only on busy servers may not fail at all in that half.
//! - It is not completed while most requests to its loaded servers are unanswered: the first
//!   failures of a version that fails on busy servers come with these answers.
//! - Its answers are compared **by route** with those of the old version over the same time, on
//!   counts summed over all nodes. The version is rejected if on one route it is worse by several
//!   standard errors and by a minimum difference.
//! - From [`COMPLETION_FROM`] of its time it may be completed if it has answered [`MIN_ANSWERS`]
//!   requests; by [`DECIDED_BY`] it is completed or rejected. Missing evidence never completes it.
//! - A server that crashes breaks all requests that it runs. They count as one failure of the
//!   version ([`Evidence::crashed`]), not as one for each request: otherwise the crash of the only
//!   canary server would roll back a good version.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;

/// Share of the allowed exposure, as a share of the sessions, that the new version gets at first.
/// The rest is a margin: sessions are not all alike, so a share of the sessions is not exactly that
/// share of the requests.
pub const SAMPLE_SHARE: f64 = 0.8;
/// Fraction of the given time after which the new version's servers are loaded. Before half of the
/// time no session may change to the new version; the rest is a margin, as nodes receive an order
/// at different times.
pub const LOADED_FROM: f64 = 0.55;
/// Fraction of the given time from which a version may be completed. It leaves a fifth of the time
/// for the stage under load, in which requests of several seconds accumulate on its servers.
pub const COMPLETION_FROM: f64 = 0.75;
/// Share of the allowed exposure that is used by [`COMPLETION_FROM`]. The rest is for the time
/// until all nodes have received the decision.
const USED_SHARE: f64 = 0.9;
/// Load of the servers in the stage under load, as a multiple of the load of all servers after the
/// roll-out: a version may fail only where half of the slots are in use, as at a peak.
const LOAD_FACTOR: f64 = 3.0;
/// Fraction of the given time by which the version is completed or rejected. Until then, completion
/// waits while the version has more than `MAX_WAITING_RATIO` unanswered requests for each answer
/// under load: otherwise a version that fails on busy servers would be completed before the first
/// of its failures is counted.
pub const DECIDED_BY: f64 = 0.85;
/// Maximum number of unanswered requests under load for each answered one.
const MAX_WAITING_RATIO: u32 = 2;
/// Minimum number of answers of the new version for its completion.
pub const MIN_ANSWERS: u32 = 30;
/// Milliseconds from the order to the first request on the new version: two exchanges of sessions,
/// a second apart.
const START_DELAY_MS: u64 = 2_500;
/// Standard errors by which the new version must be worse to be rejected, at one evaluation a
/// second for half a minute on three routes.
const MIN_STANDARD_ERRORS: f64 = 3.3;
/// Difference of the share of bad answers below which a version is not rejected.
const MIN_BAD_DIFFERENCE: f64 = 0.03;
/// Minimum number of bad answers for a rejection.
const MIN_BAD_ANSWERS: u32 = 4;
/// Difference of the share of slow answers below which a version is not rejected. The canary
/// servers are busier than the old ones and their caches are cold, so up to a third of a good
/// version's answers on a route are slow; the rest is a margin.
const MIN_SLOW_DIFFERENCE: f64 = 0.38;
/// Minimum number of slow answers for a rejection.
const MIN_SLOW_ANSWERS: u32 = 6;

/// Answers of one version on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Answers, including bad ones.
    pub all: u32,
    /// Answers that failed.
    pub bad: u32,
    /// Answers that took many times as long as usual.
    #[serde(default)]
    pub slow: u32,
    /// Answers in the stage under load.
    #[serde(default)]
    pub loaded: u32,
    /// Requests of that stage that are not yet answered.
    #[serde(default)]
    pub waiting: u32,
}

impl Count {
    /// Returns the sum of both counts.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            all: self.all + other.all,
            bad: self.bad + other.bad,
            slow: self.slow + other.slow,
            loaded: self.loaded + other.loaded,
            waiting: self.waiting + other.waiting,
        }
    }
}

/// Answers of both versions on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pair {
    /// Answers of the current version.
    pub old: Count,
    /// Answers of the new version.
    pub new: Count,
}

/// Answers by route, as nodes exchange them.
pub type Counts = BTreeMap<String, Pair>;

/// Adds `other` to `sum`, route by route.
pub fn add(sum: &mut Counts, other: &Counts) {
    for (route, pair) in other {
        let total = sum.entry(route.clone()).or_default();
        total.old = total.old.plus(pair.old);
        total.new = total.new.plus(pair.new);
    }
}

/// Evidence on a new version, summed over all nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Answers by route.
    pub counts: Counts,
    /// Servers of the new version that crashed and broke the requests that they ran.
    pub crashed: u32,
}

/// Stage of a canary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Nodes exchange the ongoing sessions; the new version gets no requests yet.
    Waiting,
    /// A few sessions go to the new version.
    Sampled,
    /// The servers in use get more load than after the roll-out.
    Loaded,
}

/// Verdict on the evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Continue the canary.
    Hold,
    /// The new version is worse, or gave too little evidence in its time.
    Reject,
    /// The new version has given enough evidence that it is not worse.
    Complete,
}

/// Plan of one canary: its time and its maximum exposure. The evidence is passed to
/// [`CanaryPlan::evaluate`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CanaryPlan {
    /// When the roll-out was ordered.
    pub ordered_at: Instant,
    /// When it must be completed or rejected.
    pub deadline: Instant,
    /// Exposure: share of the service's requests, from 0 to 1, that the new version may get over the
    /// whole time if it turns out to be bad.
    pub max_request_share: f64,
}

impl CanaryPlan {
    /// Returns the stage at `now`.
    #[must_use]
    pub fn stage(&self, now: Instant) -> Stage {
        if now < self.ordered_at.plus_millis(START_DELAY_MS) {
            Stage::Waiting
        } else if self.passed(now) < LOADED_FROM {
            Stage::Sampled
        } else {
            Stage::Loaded
        }
    }

    /// Returns the share of the sessions that go to the new version from `stage` on.
    #[must_use]
    pub fn share(&self, stage: Stage) -> f64 {
        match stage {
            Stage::Waiting => 0.0,
            Stage::Sampled => SAMPLE_SHARE * self.max_request_share,
            Stage::Loaded => {
                let rest = USED_SHARE - LOADED_FROM * SAMPLE_SHARE;
                (rest / (COMPLETION_FROM - LOADED_FROM) * self.max_request_share).min(1.0)
            }
        }
    }

    /// Returns how many of the `count` servers of the new version get its share.
    #[must_use]
    pub fn server_count(&self, stage: Stage, count: usize) -> usize {
        let load_factor = match stage {
            Stage::Waiting | Stage::Sampled => 1.0,
            Stage::Loaded => LOAD_FACTOR,
        };
        (1..=count)
            .rev()
            .find(|&busy| to_f64(busy) * load_factor <= to_f64(count) * self.share(stage))
            .unwrap_or(1)
    }

    /// Whether the session with this hash goes to the new version from `stage` on. A session that
    /// does so at one stage does so at all later ones.
    #[must_use]
    pub fn includes(&self, stage: Stage, session: u64) -> bool {
        let scale = 2f64.powi(32);
        let draw = f64::from(u32::try_from(session >> 32).unwrap_or(u32::MAX)) / scale;
        draw < self.share(stage)
    }

    /// Evaluates the evidence of all nodes.
    #[must_use]
    pub fn evaluate(&self, now: Instant, evidence: &Evidence) -> Verdict {
        let mut total = sum(&evidence.counts);
        if evidence.counts.values().any(is_worse) || is_worse(&total) {
            return Verdict::Reject;
        }
        total.new.all += evidence.crashed;
        total.new.bad += evidence.crashed;
        if is_worse(&total) {
            return Verdict::Reject;
        }
        let is_mostly_waiting = total.new.waiting > MAX_WAITING_RATIO * total.new.loaded;
        let has_answered = total.new.all >= MIN_ANSWERS && !is_mostly_waiting;
        if self.is_completion_allowed(now) && has_answered {
            return Verdict::Complete;
        }
        if self.passed(now) >= DECIDED_BY {
            return Verdict::Reject;
        }
        Verdict::Hold
    }

    /// Whether enough of the time has passed for a version to be completed.
    #[must_use]
    pub fn is_completion_allowed(&self, now: Instant) -> bool {
        self.passed(now) >= COMPLETION_FROM
    }

    /// Returns the fraction of the given time that has passed.
    fn passed(&self, now: Instant) -> f64 {
        let given = self
            .deadline
            .since(self.ordered_at)
            .as_secs_f64()
            .max(0.001);
        now.since(self.ordered_at).as_secs_f64() / given
    }
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn sum(counts: &Counts) -> Pair {
    counts.values().fold(Pair::default(), |total, pair| Pair {
        old: total.old.plus(pair.old),
        new: total.new.plus(pair.new),
    })
}

/// Whether the new version fails, or is slow, significantly more often than the old one.
fn is_worse(pair: &Pair) -> bool {
    let (old, new) = (pair.old, pair.new);
    let fails = new.bad >= MIN_BAD_ANSWERS
        && exceeds((new.bad, new.all), (old.bad, old.all), MIN_BAD_DIFFERENCE);
    let is_slow = new.slow >= MIN_SLOW_ANSWERS
        && exceeds(
            (new.slow, new.all),
            (old.slow, old.all),
            MIN_SLOW_DIFFERENCE,
        );
    fails || is_slow
}

/// Whether the share `new` exceeds `old` significantly and by at least `min_difference`. A share is
/// a pair of the counted answers and all answers.
fn exceeds(new: (u32, u32), old: (u32, u32), min_difference: f64) -> bool {
    // One bad answer in ten is added to those of the old version. Otherwise a route on which the
    // old version has no traffic would reject on the failures of the new version alone.
    let old_all = f64::from(old.1) + 10.0;
    let old_share = (f64::from(old.0) + 1.0) / old_all;
    let new_all = f64::from(new.1);
    let new_share = f64::from(new.0) / new_all;
    let error = (old_share * (1.0 - old_share) * (1.0 / new_all + 1.0 / old_all)).sqrt();
    new_share - old_share > min_difference.max(MIN_STANDARD_ERRORS * error)
}
