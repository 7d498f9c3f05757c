//! Rate limits of organisations that hold across all instances.
//!
//! An organisation may send, for example, 100 requests per second, through whichever instances the
//! load balancer picks. Asking another process per request would add a message before every answer.
//! A fixed part of `1/n` per instance would refuse requests at one instance while others have room.
//!
//! Each instance owns a share of each limit and spends it from a local token bucket. Shares start
//! at `1/n`. An instance that needs less returns all but a floor. An instance that needs more may
//! take a part of what is unowned according to its peers' digests: the unowned share divided by the
//! number of instances that need more.
//!
//! **By how much the limit can be exceeded.** If the digests are no older than the time between two
//! raises ([`REBALANCE_INTERVAL_MS`]), every raise is visible before the next one and the shares
//! sum to at most 1. The exception is that more instances begin to need more at one moment than
//! were known to: then each raise hands out at most the unowned share per instance that was not
//! known. Each instance that sees a sum above 1 scales its local share down at once, so an excess
//! lasts for the age of one digest. In addition, a bucket holds at least one token, so `n` requests
//! can pass at one moment whatever the limit.
//!
//! An instance that receives no digest from its peers assumes that each owns `1/n` and keeps its
//! local share at or below `1/n`, so that regions that are partitioned from each other do not
//! exceed the limit together.

use std::collections::BTreeMap;

use fescuerack_config::{Names, key};
use serde::{Deserialize, Serialize};
use slotmap::SecondaryMap;

use crate::clock::Instant;
use crate::num::{float, seconds};

/// Milliseconds between two changes of shares: twice the time in which a digest reaches every peer
/// at the planned gossip period of one second.
pub const REBALANCE_INTERVAL_MS: u64 = 2_000;
/// Milliseconds after which a peer's digest no longer counts.
const PEER_EXPIRY_MS: u64 = 15_000;
/// Part of `1/n` that an instance keeps without need, so that its first requests of the day are
/// not refused.
const IDLE_SHARE: f64 = 0.5;
/// Factor over the current need up to which a share is kept.
const HEADROOM_FACTOR: f64 = 1.25;
/// Weight of the last period in the measured need, an exponentially weighted moving average.
const NEED_WEIGHT: f64 = 0.5;
/// Maximum number of organisations in a digest.
const MAX_DIGEST_ORGANISATIONS: usize = 64;

/// The message to peers: shares of limits by the name of the organisation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Milliseconds on the sender's clock; receivers ignore a digest that is not newer.
    #[serde(default)]
    pub at: u64,
    /// Shares that the sender owns.
    #[serde(default)]
    pub shares: BTreeMap<String, OwnedShare>,
}

/// The share of one limit that an instance owns.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct OwnedShare {
    /// Share of the limit, 0 to 1.
    pub share: f64,
    /// Whether the instance needs more.
    #[serde(rename = "lacks")]
    pub needs_more: bool,
}

#[derive(Clone, Debug)]
struct Bucket {
    rate: f64,
    share: f64,
    need_per_s: f64,
    requests: u32,
    needs_more: bool,
    tokens: f64,
    filled_at: Instant,
}

#[derive(Clone, Debug)]
struct Peer {
    at: u64,
    received_at: Instant,
    shares: SecondaryMap<key::Organisation, OwnedShare>,
}

/// The rate limits of all organisations at one instance.
#[derive(Clone, Debug, Default)]
pub struct RateLimits {
    buckets: SecondaryMap<key::Organisation, Bucket>,
    peers: BTreeMap<String, Peer>,
    changed_at: Instant,
}

impl RateLimits {
    /// Creates an empty set of limits.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes one request from the limit of an organisation, which may send `rate` requests per
    /// second through all `instances` instances together.
    ///
    /// # Errors
    ///
    /// Returns the time at which the next request may come if this one is over the limit.
    pub fn try_acquire(
        &mut self,
        now: Instant,
        organisation: key::Organisation,
        rate: f64,
        instances: usize,
    ) -> Result<(), Instant> {
        self.register(now, organisation, rate, instances);
        let bucket = &mut self.buckets[organisation];
        bucket.requests = bucket.requests.saturating_add(1);
        bucket.fill(now);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        bucket.needs_more = true;
        let wait = (1.0 - bucket.tokens) / (bucket.rate * bucket.share).max(1e-6);
        Err(now + seconds(wait))
    }

    /// Registers a limit before its first request, so that the digests show peers how little of it
    /// this instance needs.
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

    /// Adjusts the shares if an interval has passed; must be called about once a second.
    pub fn refresh(&mut self, now: Instant, instances: usize) {
        let period = now.since(self.changed_at);
        if now < self.changed_at.plus_millis(REBALANCE_INTERVAL_MS) {
            return;
        }
        self.changed_at = now;
        self.peers
            .retain(|_, peer| now < peer.received_at.plus_millis(PEER_EXPIRY_MS));
        let peers = &self.peers;
        for (organisation, bucket) in &mut self.buckets {
            bucket.fill(now);
            let view = View::new(peers, organisation, instances);
            bucket.adjust(period.as_secs_f64(), &view);
        }
    }

    /// Returns the digest for peers; when truncated, it keeps the limits with the greatest need.
    #[must_use]
    pub fn digest(&self, names: &Names, now: Instant) -> Digest {
        let mut owned: Vec<_> = self.buckets.iter().collect();
        owned.sort_by(|a, b| b.1.need_per_s.total_cmp(&a.1.need_per_s));
        let shares = owned
            .into_iter()
            .take(MAX_DIGEST_ORGANISATIONS)
            .map(|(key, bucket)| {
                let name = names.organisations.name(key).to_string();
                let owned = OwnedShare {
                    share: bucket.share,
                    needs_more: bucket.needs_more,
                };
                (name, owned)
            });
        Digest {
            at: now.0 / 1000,
            shares: shares.collect(),
        }
    }

    /// Merges a digest from a peer. A digest that is not newer than the last one is ignored, so
    /// repeated and reordered messages change nothing. After a restart the peer's clock starts
    /// again; a digest that is older by more than `PEER_EXPIRY_MS` therefore counts as newer.
    pub fn merge(&mut self, names: &Names, now: Instant, from: &str, digest: &Digest) {
        if let Some(known) = self.peers.get(from) {
            let restarted = digest.at.saturating_add(PEER_EXPIRY_MS) < known.at;
            if digest.at <= known.at && !restarted {
                return;
            }
        }
        let mut shares = SecondaryMap::new();
        for (name, owned) in digest.shares.iter().take(MAX_DIGEST_ORGANISATIONS) {
            let valid = owned.share.is_finite() && (0.0..=1.0).contains(&owned.share);
            if let Some(key) = names.organisations.get(name).filter(|_| valid) {
                shares.insert(key, *owned);
            }
        }
        let peer = Peer {
            at: digest.at,
            received_at: now,
            shares,
        };
        self.peers.insert(from.to_owned(), peer);
    }

    /// Returns the share of an organisation's limit that this instance owns.
    #[must_use]
    pub fn share(&self, organisation: key::Organisation) -> Option<f64> {
        self.buckets.get(organisation).map(|bucket| bucket.share)
    }
}

/// What the peers own of one limit.
struct View {
    equal_share: f64,
    owned: f64,
    needing_more: usize,
}

impl View {
    fn new(
        peers: &BTreeMap<String, Peer>,
        organisation: key::Organisation,
        instances: usize,
    ) -> Self {
        let equal_share = 1.0 / float(instances.max(1));
        let mut view = Self {
            equal_share,
            owned: 0.0,
            needing_more: 0,
        };
        let mut known_peers = 0;
        for owned in peers
            .values()
            .filter_map(|peer| peer.shares.get(organisation))
        {
            known_peers += 1;
            view.owned += owned.share;
            view.needing_more += usize::from(owned.needs_more);
        }
        // A peer without a current digest, or whose digest lacks this limit, may own `1/n`.
        let unknown_peers = instances.saturating_sub(1).saturating_sub(known_peers);
        view.owned += equal_share * float(unknown_peers);
        view
    }
}

impl Bucket {
    fn new(now: Instant, rate: f64, share: f64) -> Self {
        Self {
            rate,
            share,
            need_per_s: 0.0,
            requests: 0,
            needs_more: false,
            tokens: 1.0,
            filled_at: now,
        }
    }

    fn fill(&mut self, now: Instant) {
        let elapsed_s = now.since(self.filled_at).as_secs_f64();
        let local_rate = self.rate * self.share;
        self.tokens = (self.tokens + elapsed_s * local_rate).min(local_rate.max(1.0));
        // Callers on several threads can read the clock in one order and arrive here in another;
        // tokens for the same time must not be added twice.
        self.filled_at = self.filled_at.max(now);
    }

    fn adjust(&mut self, period_s: f64, view: &View) {
        let requests_per_s = f64::from(self.requests) / period_s.max(1e-3);
        self.need_per_s += NEED_WEIGHT * (requests_per_s - self.need_per_s);
        self.requests = 0;
        let needed_share =
            self.need_per_s.max(requests_per_s) * HEADROOM_FACTOR / self.rate.max(1e-6);
        let floor = view.equal_share * IDLE_SHARE;
        let spare = (1.0 - self.share - view.owned).max(0.0);
        if std::mem::take(&mut self.needs_more) || needed_share > self.share {
            let needing_more = float(view.needing_more.max(1) + 1);
            let wanted = (needed_share - self.share).max(0.0);
            self.share += (spare / needing_more).min(wanted);
            self.needs_more = needed_share > self.share;
        } else {
            self.share = needed_share.max(floor).min(self.share);
        }
        let sum = self.share + view.owned;
        if sum > 1.0 {
            self.share = (self.share / sum).max(floor.min(self.share));
        }
    }
}
