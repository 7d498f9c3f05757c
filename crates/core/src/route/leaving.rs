//! Servers that are leaving, as reported by themselves or by a peer.
//!
//! The list of servers lags by seconds, in an outage of its store by more; work that is sent in the meantime to a leaving server is
//! refused or cut off. A server's own notice (an answer that says so, or its load report) counts at
//! once and is sent to peers. A notice carries its age, so that instances that gossip with each
//! other do not keep it alive: it expires after [`NOTICE_EXPIRY_MS`], by which time the list is
//! long up to date.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;
use crate::gateway::affinity;
use crate::turns::Turns;

/// Milliseconds for which a notice counts.
pub const NOTICE_EXPIRY_MS: u64 = 120_000;
/// Maximum number of notices that are stored: a fleet of ten thousand servers that are all replaced.
const MAX_NOTICES: usize = 16_384;
/// Maximum number of notices in a message to a peer, the newest ones.
const MAX_SHARED: usize = 128;

/// The message to peers: servers that are leaving.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Milliseconds since the notice, by the identifier of the server.
    #[serde(default)]
    pub leaving: BTreeMap<String, u64>,
}

/// Servers that are leaving, with the time of their notice.
#[derive(Clone, Debug, Default)]
pub struct LeavingServers {
    leaving: BTreeMap<String, Instant>,
    turns: Turns,
}

impl LeavingServers {
    /// Creates an empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a server's notice; returns whether the server is newly leaving.
    pub fn record(&mut self, now: Instant, id: &str) -> bool {
        if self.leaving.len() >= MAX_NOTICES && !self.leaving.contains_key(id) {
            return false;
        }
        self.leaving.insert(id.to_owned(), now).is_none()
    }

    /// Returns whether a server is leaving.
    #[must_use]
    pub fn is_leaving(&self, id: &str) -> bool {
        self.leaving.contains_key(id)
    }

    /// Removes expired notices; returns whether there were any.
    pub fn remove_expired(&mut self, now: Instant) -> bool {
        self.remove_expired_unless(now, |_| false)
    }

    /// Removes expired notices, except those of servers that are still listed; returns whether there
    /// were any. For servers whose identifier is that of one start, which never stay after a notice.
    pub fn remove_expired_unless(
        &mut self,
        now: Instant,
        is_listed: impl Fn(&str) -> bool,
    ) -> bool {
        let before = self.leaving.len();
        self.leaving.retain(|id, noticed_at| {
            now < noticed_at.plus_millis(NOTICE_EXPIRY_MS) || is_listed(id)
        });
        self.leaving.len() < before
    }

    /// Returns the digest for peers.
    #[must_use]
    pub fn digest(&self, now: Instant) -> Digest {
        self.newest(now, NOTICE_EXPIRY_MS, MAX_SHARED)
    }

    /// Returns the digest of the newest notices, at most `max` and none older than `max_age_ms`.
    #[must_use]
    pub fn newest(&self, now: Instant, max_age_ms: u64, max: usize) -> Digest {
        let ages = self.leaving.iter().map(|(id, noticed_at)| {
            let age = u64::try_from(now.since(*noticed_at).as_millis()).unwrap_or(u64::MAX);
            (age, id)
        });
        let mut ages: Vec<(u64, &String)> = ages.filter(|(age, _)| *age < max_age_ms).collect();
        if ages.len() > max {
            ages.select_nth_unstable(max);
            ages.truncate(max);
        }
        Digest {
            leaving: ages
                .into_iter()
                .map(|(age, id)| (id.clone(), age))
                .collect(),
        }
    }

    /// Returns at most `max` notices for `peer`, none older than `max_age_ms`; others each time, if there
    /// are more.
    pub fn in_turn(&mut self, now: Instant, max_age_ms: u64, max: usize, peer: &str) -> Digest {
        let notices = self.leaving.iter().map(|(id, noticed_at)| {
            let key = affinity::hash(id.as_bytes());
            (key, id, now.millis_since(*noticed_at))
        });
        let mut notices: Vec<_> = notices.filter(|(.., age)| *age < max_age_ms).collect();
        self.turns.sort(peer, &mut notices, |&(key, ..)| key);
        notices.truncate(max);
        if let Some(&(key, ..)) = notices.last() {
            self.turns.record(peer, key);
        }
        let notices = notices.into_iter();
        Digest {
            leaving: notices.map(|(_, id, age)| (id.clone(), age)).collect(),
        }
    }

    /// Merges a digest from a peer; returns whether any server is newly leaving. The latest notice
    /// counts, so order and repetition of digests do not matter.
    pub fn merge(&mut self, now: Instant, digest: &Digest) -> bool {
        !self.merge_new(now, digest).is_empty()
    }

    /// Merges a digest from a peer like [`merge`](Self::merge); returns the servers that are newly
    /// leaving, each with the milliseconds since its notice.
    pub fn merge_new(&mut self, now: Instant, digest: &Digest) -> Vec<(String, u64)> {
        let mut added = Vec::new();
        for (id, age) in digest.leaving.iter().take(MAX_SHARED) {
            if *age >= NOTICE_EXPIRY_MS {
                continue;
            }
            let noticed_at = now.minus_millis(*age);
            if let Some(known) = self.leaving.get_mut(id) {
                *known = (*known).max(noticed_at);
            } else if self.record(noticed_at, id) {
                added.push((id.clone(), *age));
            }
        }
        added
    }
}
