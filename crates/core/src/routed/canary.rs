//! A new version of a service on trial.
//!
//! The pattern: a version is brought in beside the old one and must have proved
//! itself by a given time, with nobody watching. It may be bad at once, later,
//! under load or on one route only, by failing or by being slow. Too much traffic
//! exposes callers to it; too little proves nothing in time.
//!
//! - Up to [`LOADED`] of its time the new version gets [`SAMPLE`] of the allowed exposure, on
//!   so few of its servers ([`Trial::servers`]) that each is somewhat busier than the old
//!   ones. Which sessions go there follows from a hash, so nodes agree without a message
//!   and a session stays.
//! - Then it gets most of the rest of the exposure, on servers that are `PRESSED` times
//!   as busy as they will be. Sessions that go on keep the first half's share to about
//!   half of what was meant, so a version that fails on busy servers only may show none of
//!   its failures there.
//! - It is not completed while its loaded servers owe most of their answers: the first
//!   failures of such a version come with them.
//! - Its answers are compared **by route** with those of the old version over the
//!   same time, on counts summed over nodes. A route on which it is worse by
//!   several standard errors and by a least difference rejects it.
//! - From [`PROVED`] of its time on it may be completed if it has answered
//!   [`ENOUGH`] requests well; by [`LAST`] it is decided either way. Missing
//!   evidence never completes it.
//! - A server that crashes breaks off all that it runs. That is one failure of the version
//!   ([`Evidence::crashed`]), not as many as there were requests: else the crash of the one
//!   server on trial rolls a good version back.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;

/// Part of the allowed exposure, as a share of the sessions, that the new version gets at
/// first. The rest covers that sessions are not all alike, so that a share of them is not
/// quite that share of requests.
pub const SAMPLE: f64 = 0.8;
/// Part of the given time after which the new version's servers are loaded. Before its half
/// no session may change to the new version; the rest covers that nodes hear of an
/// order at different times.
pub const LOADED: f64 = 0.55;
/// Part of the given time after which a version may be completed: a fifth of its time
/// under load, in which requests of several seconds pile up on its servers.
pub const PROVED: f64 = 0.75;
/// Part of the allowed exposure that has been used by [`PROVED`]; the rest is for the moment
/// until all nodes know how it was decided.
const USED: f64 = 0.9;
/// How many times as busy as all servers will be those are that get the load: a version may fail
/// only where half of the places are taken, as at a peak.
const PRESSED: f64 = 3.0;
/// Part of the given time by which the trial is decided. Until then a version waits to be completed
/// whose servers owe more than `OWED` answers for each that they gave under load: one that fails on
/// busy servers would be completed before the first of its failures is there.
pub const LAST: f64 = 0.85;
/// Requests under load that a version may owe for each that it has answered.
const OWED: u32 = 2;
/// Answers of the new version without which it is not completed.
pub const ENOUGH: u32 = 30;
/// Milliseconds from the order to the first request on the new version: two tellings
/// of sessions, a second apart.
const BEGIN_MS: u64 = 2_500;
/// Standard errors by which the new version must be worse to be rejected, with a look each
/// second for half a minute on three routes.
const SURE: f64 = 3.3;
/// Difference of the share of bad answers below which a version is not rejected.
const WORSE: f64 = 0.03;
/// Bad answers without which a version is not rejected.
const FEWEST_BAD: u32 = 4;
/// Difference of the share of slow answers below which a version is not rejected. Its
/// servers on trial are busier than the old ones and their caches are cold, so up to a
/// third of a good version's answers on a route are slow.
const SLOWER: f64 = 0.38;
/// Slow answers without which a version is not rejected.
const FEWEST_SLOW: u32 = 6;

/// Answers of one version on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Answers, bad ones included.
    pub all: u32,
    /// Answers that failed.
    pub bad: u32,
    /// Answers that took many times as long as usual.
    #[serde(default)]
    pub slow: u32,
    /// Answers of the stage under load.
    #[serde(default)]
    pub loaded: u32,
    /// Requests of that stage that wait for an answer.
    #[serde(default)]
    pub waiting: u32,
}

impl Count {
    /// Adds `other`.
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
    /// Of the version that is in use.
    pub old: Count,
    /// Of the version on trial.
    pub new: Count,
}

/// Answers by route; what nodes tell each other.
pub type Counts = BTreeMap<String, Pair>;

/// Adds `other` to `sum`, route by route.
pub fn add(sum: &mut Counts, other: &Counts) {
    for (route, pair) in other {
        let total = sum.entry(route.clone()).or_default();
        total.old = total.old.plus(pair.old);
        total.new = total.new.plus(pair.new);
    }
}

/// What all nodes have seen of a version on trial.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Answers by route.
    pub counts: Counts,
    /// Servers of the new version that broke off what they ran.
    pub crashed: u32,
}

/// How far a trial is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Nodes tell each other which sessions go on.
    Waiting,
    /// A few sessions go to the new version.
    Sampled,
    /// Its servers get more than they will bear later.
    Loaded,
}

/// What the evidence says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Go on.
    Hold,
    /// The new version is worse, or has proved nothing in its time.
    Reject,
    /// The new version has proved itself.
    Complete,
}

/// One roll-out as a node sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trial {
    /// When it was ordered.
    pub ordered: Instant,
    /// When it must be decided.
    pub due: Instant,
    /// Part of the service's requests that the new version may get, over the
    /// whole time, if it turns out to be bad.
    pub exposure: f64,
}

impl Trial {
    /// Stage at `now`.
    #[must_use]
    pub fn stage(&self, now: Instant) -> Stage {
        if now < self.ordered.plus_millis(BEGIN_MS) {
            Stage::Waiting
        } else if self.passed(now) < LOADED {
            Stage::Sampled
        } else {
            Stage::Loaded
        }
    }

    /// Share of the sessions that go to the new version from `stage` on.
    #[must_use]
    pub fn share(&self, stage: Stage) -> f64 {
        match stage {
            Stage::Waiting => 0.0,
            Stage::Sampled => SAMPLE * self.exposure,
            Stage::Loaded => {
                let rest = USED - LOADED * SAMPLE;
                (rest / (PROVED - LOADED) * self.exposure).min(1.0)
            }
        }
    }

    /// Number of its `count` servers that the new version's share goes to.
    #[must_use]
    pub fn servers(&self, stage: Stage, count: usize) -> usize {
        let busier = match stage {
            Stage::Waiting | Stage::Sampled => 1.0,
            Stage::Loaded => PRESSED,
        };
        (1..=count)
            .rev()
            .find(|&busy| ratio(busy) * busier <= ratio(count) * self.share(stage))
            .unwrap_or(1)
    }

    /// Whether the session with this hash goes to the new version from `stage` on. One that
    /// does at a stage does at all later ones.
    #[must_use]
    pub fn includes(&self, stage: Stage, session: u64) -> bool {
        let scale = 2f64.powi(32);
        let draw = f64::from(u32::try_from(session >> 32).unwrap_or(u32::MAX)) / scale;
        draw < self.share(stage)
    }

    /// Judges what all nodes have seen.
    #[must_use]
    pub fn judge(&self, now: Instant, evidence: &Evidence) -> Verdict {
        let mut total = sum(&evidence.counts);
        if evidence.counts.values().any(is_worse) || is_worse(&total) {
            return Verdict::Reject;
        }
        total.new.all += evidence.crashed;
        total.new.bad += evidence.crashed;
        if is_worse(&total) {
            return Verdict::Reject;
        }
        let is_owing = total.new.waiting > OWED * total.new.loaded;
        let has_answered = total.new.all >= ENOUGH && !is_owing;
        if self.is_proved(now) && has_answered {
            return Verdict::Complete;
        }
        if self.passed(now) >= LAST {
            return Verdict::Reject;
        }
        Verdict::Hold
    }

    /// Whether enough of the time has passed for a version to be completed.
    #[must_use]
    pub fn is_proved(&self, now: Instant) -> bool {
        self.passed(now) >= PROVED
    }

    /// Part of the given time that has passed.
    fn passed(&self, now: Instant) -> f64 {
        let given = self.due.since(self.ordered).as_secs_f64().max(0.001);
        now.since(self.ordered).as_secs_f64() / given
    }
}

fn ratio(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn sum(counts: &Counts) -> Pair {
    counts.values().fold(Pair::default(), |total, pair| Pair {
        old: total.old.plus(pair.old),
        new: total.new.plus(pair.new),
    })
}

/// Whether the new version surely fails, or drags, more than the old one.
fn is_worse(pair: &Pair) -> bool {
    let (old, new) = (pair.old, pair.new);
    let fails = new.bad >= FEWEST_BAD && exceeds((new.bad, new.all), (old.bad, old.all), WORSE);
    let drags =
        new.slow >= FEWEST_SLOW && exceeds((new.slow, new.all), (old.slow, old.all), SLOWER);
    fails || drags
}

/// Whether the share `new` (some of all) is surely above `old`, by `least` at least.
fn exceeds(new: (u32, u32), old: (u32, u32), least: f64) -> bool {
    // One imagined bad answer in ten for an old version without answers keeps
    // a route without traffic from rejecting on its own failures alone.
    let old_all = f64::from(old.1) + 10.0;
    let old_share = (f64::from(old.0) + 1.0) / old_all;
    let new_all = f64::from(new.1);
    let new_share = f64::from(new.0) / new_all;
    let error = (old_share * (1.0 - old_share) * (1.0 / new_all + 1.0 / old_all)).sqrt();
    new_share - old_share > least.max(SURE * error)
}
