//! What this instance and its peers know of pools that fail.
//!
//! An instance that sends 15 requests a second sees a failing pool late: it
//! takes it some failures, each of which it may retry. Its peers have seen as
//! many. Each tells the others its recent counts of attempts that went well
//! and badly; together they stop retries everywhere within about a second.
//! The counts are soft: they halve every [`HALF_S`], so a pool that is well
//! again gets its retries back without any message that says so.

use std::collections::BTreeMap;

use fescuerack_config::{Names, key};
use serde::{Deserialize, Serialize};
use slotmap::SecondaryMap;

use super::budget::{Budget, Thresholds};
use crate::clock::Instant;

/// Seconds in which a count halves.
pub const HALF_S: f64 = 5.0;
/// Attempts that must be known before a pool counts as failing.
const LEAST: f64 = 10.0;
/// Part of the budget that hedges leave to retries: a hedge saves time, a
/// retry saves an answer.
const KEPT: f64 = 5.0;
/// Pools named in a digest at most.
const MOST: usize = 64;

/// Recent attempts at one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// That went well.
    pub well: f64,
    /// That went badly.
    pub badly: f64,
}

/// What an instance tells its peers: recent attempts by the name of the pool.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Milliseconds on the sender's clock; an older digest is not taken over.
    #[serde(default)]
    pub at: u64,
    /// Counts by pool.
    #[serde(default)]
    pub pools: BTreeMap<String, Counts>,
}

#[derive(Clone, Copy, Debug)]
struct Pool {
    counts: Counts,
    at: Instant,
    budget: Budget,
}

#[derive(Clone, Debug)]
struct Peer {
    at: u64,
    heard: Instant,
    counts: SecondaryMap<key::Fleet, Counts>,
}

/// The pools as one instance sees them.
#[derive(Clone, Debug, Default)]
pub struct Pools {
    thresholds: Thresholds,
    own: SecondaryMap<key::Fleet, Pool>,
    peers: BTreeMap<String, Peer>,
}

impl Counts {
    fn aged(self, now: Instant, since: Instant) -> Self {
        let factor = (-now.since(since).as_secs_f64() / HALF_S).exp2();
        Self {
            well: self.well * factor,
            badly: self.badly * factor,
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            well: self.well + other.well,
            badly: self.badly + other.badly,
        }
    }
}

impl Pools {
    /// Milliseconds after which a peer's counts are forgotten.
    const OLD_MS: u64 = 30_000;

    /// Returns pools of which nothing is known yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over thresholds that a new configuration brings.
    pub fn set_thresholds(&mut self, thresholds: Thresholds) {
        self.thresholds = thresholds;
    }

    /// Counts the first attempt of a request.
    pub fn record_first_attempt(&mut self, now: Instant, fleet: key::Fleet) {
        let thresholds = self.thresholds;
        self.pool(now, fleet).budget.deposit(&thresholds);
    }

    /// Counts how an attempt ended.
    pub fn record_result(&mut self, now: Instant, fleet: key::Fleet, well: bool) {
        let pool = self.pool(now, fleet);
        pool.counts = pool.counts.aged(now, pool.at);
        pool.at = now;
        if well {
            pool.counts.well += 1.0;
        } else {
            pool.counts.badly += 1.0;
        }
    }

    /// Takes a retry from the budget if the pool is worth one.
    pub fn try_take_retry(&mut self, now: Instant, fleet: key::Fleet) -> bool {
        !self.is_failing(now, fleet) && self.pool(now, fleet).budget.withdraw(0.0)
    }

    /// Takes a hedge from the budget if the pool is worth one.
    pub fn try_take_hedge(&mut self, now: Instant, fleet: key::Fleet) -> bool {
        !self.is_failing(now, fleet) && self.pool(now, fleet).budget.withdraw(KEPT)
    }

    /// Returns whether a pool fails, by own and peers' recent attempts.
    #[must_use]
    pub fn is_failing(&self, now: Instant, fleet: key::Fleet) -> bool {
        let own = self.own.get(fleet);
        let mut all = own.map_or_else(Counts::default, |pool| pool.counts.aged(now, pool.at));
        for peer in self.peers.values() {
            if now >= peer.heard.plus_millis(Self::OLD_MS) {
                continue;
            }
            if let Some(counts) = peer.counts.get(fleet) {
                all = all.plus(counts.aged(now, peer.heard));
            }
        }
        let total = all.well + all.badly;
        total >= LEAST && all.badly >= total * self.thresholds.failing_share
    }

    /// Returns how many further attempts the budget of a pool holds.
    #[must_use]
    pub fn remaining(&self, fleet: key::Fleet) -> f64 {
        let pool = self.own.get(fleet);
        pool.map_or(self.thresholds.max_saved, |pool| pool.budget.remaining())
    }

    /// Returns what to tell peers.
    #[must_use]
    pub fn digest(&self, names: &Names, now: Instant) -> Digest {
        let pools = self.own.iter().take(MOST).map(|(key, pool)| {
            let name = names.fleets.name(key).to_string();
            (name, pool.counts.aged(now, pool.at))
        });
        Digest {
            at: now.0 / 1000,
            pools: pools.collect(),
        }
    }

    /// Takes over a peer's digest; one that is not newer than the last changes
    /// nothing. After a restart the peer's clock starts again, which is taken
    /// as newer.
    pub fn merge(&mut self, names: &Names, now: Instant, from: &str, digest: &Digest) {
        if let Some(known) = self.peers.get(from) {
            let restarted = digest.at.saturating_add(Self::OLD_MS) < known.at;
            if digest.at <= known.at && !restarted {
                return;
            }
        }
        self.peers
            .retain(|_, peer| now < peer.heard.plus_millis(Self::OLD_MS));
        let mut counts = SecondaryMap::new();
        for (name, told) in digest.pools.iter().take(MOST) {
            let valid = told.well >= 0.0 && told.badly >= 0.0;
            let finite = told.well.is_finite() && told.badly.is_finite();
            if let Some(key) = names.fleets.get(name).filter(|_| valid && finite) {
                counts.insert(key, *told);
            }
        }
        let peer = Peer {
            at: digest.at,
            heard: now,
            counts,
        };
        self.peers.insert(from.to_owned(), peer);
    }

    fn pool(&mut self, now: Instant, fleet: key::Fleet) -> &mut Pool {
        if !self.own.contains_key(fleet) {
            let pool = Pool {
                counts: Counts::default(),
                at: now,
                budget: Budget::new(&self.thresholds),
            };
            self.own.insert(fleet, pool);
        }
        &mut self.own[fleet]
    }
}
