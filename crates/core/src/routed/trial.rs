//! A new version of a service on trial.
//!
//! The pattern: a version is brought in beside the old one and must have proved
//! itself by a given time, with nobody watching. It may be bad at once, later,
//! under load or on one route only, by failing or by being slow. Too much traffic
//! exposes callers to it; too little proves nothing in time.
//!
//! - The new version gets [`PART`] of the allowed exposure, on so few of its servers
//!   ([`Trial::servers`]) that each is somewhat busier than the old ones: spread over all,
//!   a version that fails under load would prove itself without any. Which sessions go
//!   there follows from a hash, so nodes agree without a message and a session stays.
//! - Its answers are compared **by route** with those of the old version over the
//!   same time, on counts summed over nodes. A route on which it is worse by
//!   several standard errors and by a least difference rejects it.
//! - From [`PROVED`] of its time on it may be completed if it has answered
//!   [`ENOUGH`] requests well; by [`LAST`] it is decided either way. Missing
//!   evidence never completes it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;

/// Part of the allowed exposure that the trial uses. The rest covers that sessions are
/// not all alike, so that a share of them is not quite that share of requests.
pub const PART: f64 = 0.8;
/// Part of the given time after which a version may be completed. Versions that
/// turn bad late do so in the first half.
pub const PROVED: f64 = 0.7;
/// Part of the given time by which the trial is decided.
pub const LAST: f64 = 0.85;
/// Answers of the new version without which it is not completed.
pub const ENOUGH: u32 = 30;
/// Milliseconds from the order to the first request on the new version: two tellings
/// of sessions, a second apart.
const BEGIN_MS: u64 = 2_500;
/// Standard errors by which the new version must be worse to be rejected. With
/// a look each second for half a minute on three routes, 3.3 rejects at most three
/// of 100 good versions in the model of the tests.
const SURE: f64 = 3.3;
/// Difference of the share of bad answers below which a version is not rejected.
const WORSE: f64 = 0.08;
/// Bad answers without which a version is not rejected.
const FEWEST_BAD: u32 = 4;
/// Difference of the share of slow answers below which a version is not rejected. Its
/// servers on trial are busier than the old ones and their caches are cold: up to a
/// quarter of a good version's answers on a route were slow, half of a slow one's.
const SLOWER: f64 = 0.3;
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
}

impl Count {
    /// Adds `other`.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            all: self.all + other.all,
            bad: self.bad + other.bad,
            slow: self.slow + other.slow,
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
    /// Share of the sessions that go to the new version.
    #[must_use]
    pub fn share(&self) -> f64 {
        PART * self.exposure
    }

    /// Number of its `count` servers that the new version's share goes to.
    #[must_use]
    pub fn servers(&self, count: usize) -> usize {
        (1..=count)
            .rev()
            .find(|&busy| ratio(busy) <= ratio(count) * self.share())
            .unwrap_or(1)
    }

    /// Whether the trial has begun: nodes have had time to tell each other which
    /// sessions go on.
    #[must_use]
    pub fn has_begun(&self, now: Instant) -> bool {
        now >= self.ordered.plus_millis(BEGIN_MS)
    }

    /// Whether the session with this hash goes to the new version.
    #[must_use]
    pub fn includes(&self, session: u64) -> bool {
        let scale = 2f64.powi(32);
        let draw = f64::from(u32::try_from(session >> 32).unwrap_or(u32::MAX)) / scale;
        draw < self.share()
    }

    /// Judges the counts of all nodes.
    #[must_use]
    pub fn judge(&self, now: Instant, counts: &Counts) -> Verdict {
        if counts.values().any(is_worse) || is_worse(&sum(counts)) {
            return Verdict::Reject;
        }
        let given = self.due.since(self.ordered).as_secs_f64().max(0.001);
        let passed = now.since(self.ordered).as_secs_f64() / given;
        if passed >= PROVED && sum(counts).new.all >= ENOUGH {
            return Verdict::Complete;
        }
        if passed >= LAST {
            return Verdict::Reject;
        }
        Verdict::Hold
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
