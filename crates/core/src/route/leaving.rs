//! Servers that are leaving, as reported by themselves or by a peer.
//!
//! The instance list lags by seconds; work that is sent in the meantime to a leaving server is
//! refused or cut off. A server's own notice (a refusal that says so, or its load report) counts at
//! once and is sent to peers. A notice carries its age, so that instances that gossip with each
//! other do not keep it alive: it expires after [`NOTICE_EXPIRY_MS`], by which time the list is
//! long up to date.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;

/// Milliseconds for which a notice counts.
pub const NOTICE_EXPIRY_MS: u64 = 120_000;
/// Maximum number of notices that are stored and sent.
const MAX_NOTICES: usize = 128;

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
        let before = self.leaving.len();
        self.leaving
            .retain(|_, noticed_at| now < noticed_at.plus_millis(NOTICE_EXPIRY_MS));
        self.leaving.len() < before
    }

    /// Returns the digest for peers.
    #[must_use]
    pub fn digest(&self, now: Instant) -> Digest {
        let ages = self.leaving.iter().map(|(id, noticed_at)| {
            let age = u64::try_from(now.since(*noticed_at).as_millis()).unwrap_or(NOTICE_EXPIRY_MS);
            (id.clone(), age)
        });
        Digest {
            leaving: ages.collect(),
        }
    }

    /// Merges a digest from a peer; returns whether any server is newly leaving. The latest notice
    /// counts, so order and repetition of digests do not matter.
    pub fn merge(&mut self, now: Instant, digest: &Digest) -> bool {
        let mut changed = false;
        for (id, age) in digest.leaving.iter().take(MAX_NOTICES) {
            if *age >= NOTICE_EXPIRY_MS {
                continue;
            }
            let noticed_at = Instant(now.0.saturating_sub(age.saturating_mul(1000)));
            match self.leaving.get_mut(id) {
                Some(known) => *known = (*known).max(noticed_at),
                None => changed |= self.record(noticed_at, id),
            }
        }
        changed
    }
}
