//! Limits of an organisation that hold across all instances.
//!
//! The pattern: an organisation may send, say, 100 requests a second, through
//! whichever instances the balancer picks. Asking anyone per request would put
//! a message before every answer; a fixed part of `1/n` each would refuse
//! requests at one instance while others have room.
//!
//! Each instance owns a share of each limit and spends it from a token bucket
//! of its own. Shares start at `1/n`. An instance that needs less gives back
//! all but a floor; one that lacks some may take a part of what its peers'
//! digests leave unowned: the spare divided by the number of instances that
//! lack some.
//!
//! **By how much the limit can be exceeded.** With views no older than the
//! time between two raises ([`REBALANCE_INTERVAL_MS`]), every raise is seen before the next
//! and the shares sum to at most 1, but for the case that more instances begin
//! to lack at one moment than were known to: each raise hands out at most the
//! spare per instance that was not known. Each instance that sees a sum over 1
//! scales its own share down at once, so an excess lasts for one age of views.
//! Beside that a bucket holds at least one token, so `n` requests can pass at
//! one moment whatever the limit.
//!
//! An instance that hears no peer counts each as owning `1/n`, and keeps its
//! own share at most that: parted regions do not exceed the limit together.

use std::collections::BTreeMap;

use fescuerack_config::{Names, key};
use serde::{Deserialize, Serialize};
use slotmap::SecondaryMap;

use crate::clock::Instant;
use crate::num::{float, seconds};

/// Milliseconds between two changes of shares: twice the time in which a
/// digest reaches every peer at the planned period of a second.
pub const REBALANCE_INTERVAL_MS: u64 = 2_000;
/// Milliseconds after which a peer's word no longer counts.
const OLD_MS: u64 = 15_000;
/// Part of `1/n` that an instance keeps without need, so that its first
/// requests of the day are not refused.
const FLOOR: f64 = 0.5;
/// Share that is kept beyond the present need.
const HEADROOM: f64 = 1.25;
/// Weight of the last period in the measured need.
const GAIN: f64 = 0.5;
/// Organisations named in a digest at most.
const MOST: usize = 64;

/// What an instance tells its peers: organisations with a limit by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Milliseconds on the sender's clock; an older digest is not taken over.
    #[serde(default)]
    pub at: u64,
    /// What the sender owns.
    #[serde(default)]
    pub shares: BTreeMap<String, OwnedShare>,
}

/// What an instance owns of one limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct OwnedShare {
    /// Its share, 0 to 1.
    pub share: f64,
    /// Whether it lacks some.
    pub lacks: bool,
}

#[derive(Clone, Debug)]
struct Bucket {
    rate: f64,
    share: f64,
    need: f64,
    asked: u32,
    lacks: bool,
    tokens: f64,
    filled: Instant,
}

#[derive(Clone, Debug)]
struct Peer {
    at: u64,
    heard: Instant,
    shares: SecondaryMap<key::Organisation, OwnedShare>,
}

/// The limits of all organisations as one instance sees them.
#[derive(Clone, Debug, Default)]
pub struct RateLimits {
    buckets: SecondaryMap<key::Organisation, Bucket>,
    peers: BTreeMap<String, Peer>,
    changed: Instant,
}

impl RateLimits {
    /// Returns limits of which nothing is known yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Spends one request of an organisation that may send `rate` a second
    /// through `instances` instances together.
    ///
    /// # Errors
    ///
    /// When the next request may come, if this one may not.
    pub fn try_acquire(
        &mut self,
        now: Instant,
        organisation: key::Organisation,
        rate: f64,
        instances: usize,
    ) -> Result<(), Instant> {
        self.register(now, organisation, rate, instances);
        let bucket = &mut self.buckets[organisation];
        bucket.asked = bucket.asked.saturating_add(1);
        bucket.fill(now);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        bucket.lacks = true;
        let wait = (1.0 - bucket.tokens) / (bucket.rate * bucket.share).max(1e-6);
        Err(now + seconds(wait))
    }

    /// Makes a limit known before its first request, so that peers hear how
    /// little of it this instance needs.
    pub fn register(
        &mut self,
        now: Instant,
        organisation: key::Organisation,
        rate: f64,
        instances: usize,
    ) {
        if let Some(bucket) = self.buckets.get_mut(organisation) {
            bucket.rate = rate;
            return;
        }
        let share = 1.0 / float(instances.max(1));
        let bucket = Bucket::new(now, rate, share);
        self.buckets.insert(organisation, bucket);
    }

    /// Changes shares when it is time to; call it about once a second.
    pub fn refresh(&mut self, now: Instant, instances: usize) {
        let period = now.since(self.changed);
        if now < self.changed.plus_millis(REBALANCE_INTERVAL_MS) {
            return;
        }
        self.changed = now;
        self.peers
            .retain(|_, peer| now < peer.heard.plus_millis(OLD_MS));
        let peers = &self.peers;
        for (organisation, bucket) in &mut self.buckets {
            bucket.fill(now);
            let view = View::new(peers, organisation, instances);
            bucket.change(period.as_secs_f64(), &view);
        }
    }

    /// Returns what to tell peers, the most used limits first.
    #[must_use]
    pub fn digest(&self, names: &Names, now: Instant) -> Digest {
        let mut owned: Vec<_> = self.buckets.iter().collect();
        owned.sort_by(|a, b| b.1.need.total_cmp(&a.1.need));
        let shares = owned.into_iter().take(MOST).map(|(key, bucket)| {
            let name = names.organisations.name(key).to_string();
            let owned = OwnedShare {
                share: bucket.share,
                lacks: bucket.lacks,
            };
            (name, owned)
        });
        Digest {
            at: now.0 / 1000,
            shares: shares.collect(),
        }
    }

    /// Takes over a peer's digest; one that is not newer than the last is
    /// dropped, so repeated and reordered messages change nothing. After a
    /// restart the peer's clock starts again, which is taken as newer.
    pub fn merge(&mut self, names: &Names, now: Instant, from: &str, digest: &Digest) {
        if let Some(known) = self.peers.get(from) {
            let restarted = digest.at.saturating_add(OLD_MS) < known.at;
            if digest.at <= known.at && !restarted {
                return;
            }
        }
        let mut shares = SecondaryMap::new();
        for (name, owned) in digest.shares.iter().take(MOST) {
            let valid = owned.share.is_finite() && (0.0..=1.0).contains(&owned.share);
            if let Some(key) = names.organisations.get(name).filter(|_| valid) {
                shares.insert(key, *owned);
            }
        }
        let peer = Peer {
            at: digest.at,
            heard: now,
            shares,
        };
        self.peers.insert(from.to_owned(), peer);
    }

    /// Returns the share that is owned of an organisation's limit.
    #[must_use]
    pub fn share(&self, organisation: key::Organisation) -> Option<f64> {
        self.buckets.get(organisation).map(|bucket| bucket.share)
    }
}

/// What peers own of one limit.
struct View {
    fair: f64,
    owned: f64,
    lacking: usize,
}

impl View {
    fn new(
        peers: &BTreeMap<String, Peer>,
        organisation: key::Organisation,
        instances: usize,
    ) -> Self {
        let fair = 1.0 / float(instances.max(1));
        let mut view = Self {
            fair,
            owned: 0.0,
            lacking: 0,
        };
        let mut heard = 0;
        for owned in peers
            .values()
            .filter_map(|peer| peer.shares.get(organisation))
        {
            heard += 1;
            view.owned += owned.share;
            view.lacking += usize::from(owned.lacks);
        }
        // A peer that is not heard, or does not name this limit, may own `1/n`.
        let silent = instances.saturating_sub(1).saturating_sub(heard);
        view.owned += fair * float(silent);
        view
    }
}

impl Bucket {
    fn new(now: Instant, rate: f64, share: f64) -> Self {
        Self {
            rate,
            share,
            need: 0.0,
            asked: 0,
            lacks: false,
            tokens: 1.0,
            filled: now,
        }
    }

    fn fill(&mut self, now: Instant) {
        let passed = now.since(self.filled).as_secs_f64();
        let own = self.rate * self.share;
        self.tokens = (self.tokens + passed * own).min(own.max(1.0));
        // Callers on several threads may read the clock in one order and get
        // here in another; time that was paid out must not be paid out again.
        self.filled = self.filled.max(now);
    }

    fn change(&mut self, period_s: f64, view: &View) {
        let asked = f64::from(self.asked) / period_s.max(1e-3);
        self.need += GAIN * (asked - self.need);
        self.asked = 0;
        let need = self.need.max(asked) * HEADROOM / self.rate.max(1e-6);
        let floor = view.fair * FLOOR;
        let spare = (1.0 - self.share - view.owned).max(0.0);
        if std::mem::take(&mut self.lacks) || need > self.share {
            let lacking = float(view.lacking.max(1) + 1);
            let wanted = (need - self.share).max(0.0);
            self.share += (spare / lacking).min(wanted);
            self.lacks = need > self.share;
        } else {
            self.share = need.max(floor).min(self.share);
        }
        let sum = self.share + view.owned;
        if sum > 1.0 {
            self.share = (self.share / sum).max(floor.min(self.share));
        }
    }
}
