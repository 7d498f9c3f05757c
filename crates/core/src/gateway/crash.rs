//! Detection of poison requests: requests that crash the backend servers that run them.
//!
//! Such a request crashes its server, is retried on the next one and crashes that too; its caller
//! repeats it under a new identifier at another node. A request is identified by the digest of
//! organisation, path and body. Each broken connection of a request counts as a crash; from
//! [`CRASH_LIMIT`] crashes, on this node or on peers, the request is refused for [`RETENTION_MS`].
//!
//! Many callers may send the same request, for example with an empty body, and a server that
//! crashes breaks every request that it runs: with three of the same digest among them, it would
//! be refused to all these callers for a minute. A request that has succeeded within
//! [`RETENTION_MS`] is therefore not suspected; a request that crashes servers never succeeds.

use std::collections::HashMap;

use crate::clock::Instant;

/// Number of crashes from which a request is refused.
pub const CRASH_LIMIT: u32 = 3;
/// Milliseconds for which a crash or a success is kept.
pub const RETENTION_MS: u64 = 60_000;
/// Maximum number of digests that are kept.
const MAX_DIGESTS: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct Count {
    local: u32,
    peers: u32,
    until: Instant,
}

/// Crashes by the digest of the request.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    counts: HashMap<u64, Count>,
    /// Until when requests that succeeded are not suspected.
    succeeded: HashMap<u64, Instant>,
}

impl Suspects {
    /// Counts a crash that this node observed.
    pub fn record_crash(&mut self, now: Instant, digest: u64) {
        if self.has_succeeded(now, digest) {
            return;
        }
        self.expire(now);
        self.entry(now, digest).local += 1;
    }

    /// Records the crashes that a peer has observed itself.
    pub fn receive(&mut self, now: Instant, digest: u64, crashes: u32) {
        let count = self.entry(now, digest);
        count.peers = count.peers.max(crashes);
    }

    /// Clears a request that succeeded; it is not suspected for [`RETENTION_MS`].
    pub fn record_success(&mut self, now: Instant, digest: u64) {
        self.counts.remove(&digest);
        if self.succeeded.len() >= MAX_DIGESTS {
            self.succeeded.retain(|_, until| now < *until);
        }
        if self.succeeded.len() >= MAX_DIGESTS {
            self.succeeded.clear();
        }
        self.succeeded.insert(digest, now.plus_millis(RETENTION_MS));
    }

    fn has_succeeded(&self, now: Instant, digest: u64) -> bool {
        self.succeeded
            .get(&digest)
            .is_some_and(|until| now < *until)
    }

    /// Whether the request is refused.
    #[must_use]
    pub fn is_refused(&self, now: Instant, digest: u64) -> bool {
        let is_over_limit =
            |count: &Count| now < count.until && count.local + count.peers >= CRASH_LIMIT;
        !self.has_succeeded(now, digest) && self.counts.get(&digest).is_some_and(is_over_limit)
    }

    /// Returns the crashes that this node observed, to be sent to peers.
    ///
    /// Digests with fewer than two crashes are omitted, since most single crashes are caused by the
    /// server and not by the request.
    pub fn local_crashes(&self) -> impl Iterator<Item = (u64, u32)> + '_ {
        let reported = self
            .counts
            .iter()
            .filter(|(_, count)| count.local >= CRASH_LIMIT - 1);
        reported.map(|(&digest, count)| (digest, count.local))
    }

    fn entry(&mut self, now: Instant, digest: u64) -> &mut Count {
        let until = now.plus_millis(RETENTION_MS);
        let new = Count {
            local: 0,
            peers: 0,
            until,
        };
        let count = self.counts.entry(digest).or_insert(new);
        count.until = until;
        count
    }

    fn expire(&mut self, now: Instant) {
        if self.counts.len() >= MAX_DIGESTS {
            self.counts.retain(|_, count| now < count.until);
        }
        if self.counts.len() >= MAX_DIGESTS {
            self.counts.clear();
        }
    }
}
