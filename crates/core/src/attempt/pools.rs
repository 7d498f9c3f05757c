//! Detection of failing pools from the attempts of this instance and its peers.
//!
//! An instance that sends 15 requests per second detects a failing pool late: it needs some
//! failures first, each of which it may retry. Its peers have each seen as many. So the instances
//! exchange their recent counts of successful and failed attempts, which together stop retries
//! everywhere within about a second. The counts decay, halving every [`HALF_LIFE_S`] seconds, so a
//! pool that has recovered gets its retries back without an explicit message.

use std::collections::BTreeMap;

use fescuerack_config::{Names, key};
use serde::{Deserialize, Serialize};
use slotmap::SecondaryMap;

use super::budget::{Budget, Thresholds};
use crate::clock::Instant;

/// Half-life of the counts, in seconds.
pub const HALF_LIFE_S: f64 = 5.0;
/// Minimum number of recent attempts before a pool counts as failing.
const MIN_ATTEMPTS: f64 = 10.0;
/// Further attempts in the budget that hedges leave to retries: a hedge saves time, but a retry
/// saves an answer.
const RETRY_RESERVE: f64 = 5.0;
/// Maximum number of pools in a digest.
const MAX_DIGEST_POOLS: usize = 64;

/// Recent attempts at one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Successful attempts.
    #[serde(rename = "well")]
    pub succeeded: f64,
    /// Failed attempts.
    #[serde(rename = "badly")]
    pub failed: f64,
}

/// The message to peers: recent attempts by the name of the pool.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Milliseconds on the sender's clock; receivers ignore a digest that is not newer.
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
    received_at: Instant,
    counts: SecondaryMap<key::Fleet, Counts>,
}

/// The pools, with their retry budgets, at one instance.
#[derive(Clone, Debug, Default)]
pub struct Pools {
    thresholds: Thresholds,
    local: SecondaryMap<key::Fleet, Pool>,
    peers: BTreeMap<String, Peer>,
}

impl Counts {
    fn decayed(self, now: Instant, since: Instant) -> Self {
        let factor = (-now.since(since).as_secs_f64() / HALF_LIFE_S).exp2();
        Self {
            succeeded: self.succeeded * factor,
            failed: self.failed * factor,
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            succeeded: self.succeeded + other.succeeded,
            failed: self.failed + other.failed,
        }
    }
}

impl Pools {
    /// Milliseconds after which a peer's counts are dropped.
    const PEER_EXPIRY_MS: u64 = 30_000;

    /// Creates an empty set of pools.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the thresholds of a new configuration.
    pub fn set_thresholds(&mut self, thresholds: Thresholds) {
        self.thresholds = thresholds;
    }

    /// Records the first attempt of a request.
    pub fn record_first_attempt(&mut self, now: Instant, fleet: key::Fleet) {
        let thresholds = self.thresholds;
        self.pool_mut(now, fleet).budget.deposit(&thresholds);
    }

    /// Records whether an attempt succeeded.
    pub fn record_result(&mut self, now: Instant, fleet: key::Fleet, success: bool) {
        let pool = self.pool_mut(now, fleet);
        pool.counts = pool.counts.decayed(now, pool.at);
        pool.at = now;
        if success {
            pool.counts.succeeded += 1.0;
        } else {
            pool.counts.failed += 1.0;
        }
    }

    /// Takes a retry from the budget of a pool; returns `false` if the pool fails or the budget is
    /// used up.
    pub fn try_take_retry(&mut self, now: Instant, fleet: key::Fleet) -> bool {
        !self.is_failing(now, fleet) && self.pool_mut(now, fleet).budget.withdraw(0.0)
    }

    /// Takes a hedge from the budget of a pool; returns `false` if the pool fails or the budget has
    /// no more than its reserve for retries.
    pub fn try_take_hedge(&mut self, now: Instant, fleet: key::Fleet) -> bool {
        !self.is_failing(now, fleet) && self.pool_mut(now, fleet).budget.withdraw(RETRY_RESERVE)
    }

    /// Returns whether a pool fails, according to the recent attempts of this instance and its
    /// peers.
    #[must_use]
    pub fn is_failing(&self, now: Instant, fleet: key::Fleet) -> bool {
        let local = self.local.get(fleet);
        let mut sum = local.map_or_else(Counts::default, |pool| pool.counts.decayed(now, pool.at));
        for peer in self.peers.values() {
            if now >= peer.received_at.plus_millis(Self::PEER_EXPIRY_MS) {
                continue;
            }
            if let Some(counts) = peer.counts.get(fleet) {
                sum = sum.plus(counts.decayed(now, peer.received_at));
            }
        }
        let total = sum.succeeded + sum.failed;
        total >= MIN_ATTEMPTS && sum.failed >= total * self.thresholds.failing_share
    }

    /// Returns the number of further attempts in the budget of a pool.
    #[must_use]
    pub fn remaining(&self, fleet: key::Fleet) -> f64 {
        let pool = self.local.get(fleet);
        pool.map_or(self.thresholds.max_saved, |pool| pool.budget.remaining())
    }

    /// Returns the digest for peers.
    #[must_use]
    pub fn digest(&self, names: &Names, now: Instant) -> Digest {
        let pools = self.local.iter().take(MAX_DIGEST_POOLS).map(|(key, pool)| {
            let name = names.fleets.name(key).to_string();
            (name, pool.counts.decayed(now, pool.at))
        });
        Digest {
            at: now.0 / 1000,
            pools: pools.collect(),
        }
    }

    /// Merges a digest from a peer. A digest that is not newer than the last one is ignored. After
    /// a restart the peer's clock starts again; a digest that is older by more than
    /// `PEER_EXPIRY_MS` therefore counts as newer.
    pub fn merge(&mut self, names: &Names, now: Instant, from: &str, digest: &Digest) {
        if let Some(known) = self.peers.get(from) {
            let restarted = digest.at.saturating_add(Self::PEER_EXPIRY_MS) < known.at;
            if digest.at <= known.at && !restarted {
                return;
            }
        }
        self.peers
            .retain(|_, peer| now < peer.received_at.plus_millis(Self::PEER_EXPIRY_MS));
        let mut counts = SecondaryMap::new();
        for (name, reported) in digest.pools.iter().take(MAX_DIGEST_POOLS) {
            let valid = reported.succeeded >= 0.0 && reported.failed >= 0.0;
            let finite = reported.succeeded.is_finite() && reported.failed.is_finite();
            if let Some(key) = names.fleets.get(name).filter(|_| valid && finite) {
                counts.insert(key, *reported);
            }
        }
        let peer = Peer {
            at: digest.at,
            received_at: now,
            counts,
        };
        self.peers.insert(from.to_owned(), peer);
    }

    fn pool_mut(&mut self, now: Instant, fleet: key::Fleet) -> &mut Pool {
        if !self.local.contains_key(fleet) {
            let pool = Pool {
                counts: Counts::default(),
                at: now,
                budget: Budget::new(&self.thresholds),
            };
            self.local.insert(fleet, pool);
        }
        &mut self.local[fleet]
    }
}
