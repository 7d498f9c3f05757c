//! Detection of poison requests: requests that crash the backend servers that run them.
//!
//! Such a request crashes its server, is retried on the next one and crashes that too; its caller
//! repeats it under a new identifier at another node. A request is identified by the digest of
//! organisation, path and body. Broken connections count as one crash for each start of a server:
//! a server that crashes, or whose link is reset, breaks every request that it runs, and many
//! callers may send the same request. From [`CRASH_LIMIT`] servers, on this node or on peers, the
//! request is refused for [`RETENTION_MS`].
//!
//! A request that has succeeded within [`RETENTION_MS`] is not suspected; a request that crashes
//! servers never succeeds.

use std::collections::{BTreeSet, HashMap};

use crate::clock::Instant;

/// Number of crashed servers from which a request is refused.
pub const CRASH_LIMIT: usize = 3;
/// Milliseconds for which a crash or a success is kept.
pub const RETENTION_MS: u64 = 60_000;
/// Maximum number of digests that are kept.
const MAX_DIGESTS: usize = 4096;

/// The servers that crashed while they ran a request, by the [short
/// identifier](super::load::short_id) of their start; at most [`CRASH_LIMIT`] in each set.
#[derive(Clone, Debug)]
struct Crashed {
    /// As this node has observed.
    local: BTreeSet<u32>,
    /// As peers have reported.
    peers: BTreeSet<u32>,
    until: Instant,
}

impl Crashed {
    fn count(&self) -> usize {
        self.local.union(&self.peers).count()
    }
}

/// Crashes by the digest of the request.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    counts: HashMap<u64, Crashed>,
    /// Until when requests that succeeded are not suspected.
    succeeded: HashMap<u64, Instant>,
}

impl Suspects {
    /// Records that `server` crashed while it ran the request.
    pub fn record_crash(&mut self, now: Instant, digest: u64, server: u32) {
        if self.has_succeeded(now, digest) {
            return;
        }
        self.expire(now);
        insert(&mut self.entry(now, digest).local, server);
    }

    /// Records the crashes that a peer has observed itself.
    pub fn receive(&mut self, now: Instant, digest: u64, servers: &[u32]) {
        let peers = &mut self.entry(now, digest).peers;
        for server in servers {
            insert(peers, *server);
        }
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
            |crashed: &Crashed| now < crashed.until && crashed.count() >= CRASH_LIMIT;
        !self.has_succeeded(now, digest) && self.counts.get(&digest).is_some_and(is_over_limit)
    }

    /// Returns the servers that this node has seen crash, by the digest of the request, to be sent to
    /// peers.
    ///
    /// Digests with fewer than two servers are omitted, since most single crashes are caused by the
    /// server and not by the request.
    pub fn local_crashes(&self) -> impl Iterator<Item = (u64, Vec<u32>)> + '_ {
        let reported = self
            .counts
            .iter()
            .filter(|(_, crashed)| crashed.local.len() >= CRASH_LIMIT - 1);
        reported.map(|(&digest, crashed)| (digest, crashed.local.iter().copied().collect()))
    }

    fn entry(&mut self, now: Instant, digest: u64) -> &mut Crashed {
        let until = now.plus_millis(RETENTION_MS);
        let crashed = self.counts.entry(digest).or_insert_with(|| Crashed {
            local: BTreeSet::new(),
            peers: BTreeSet::new(),
            until,
        });
        crashed.until = until;
        crashed
    }

    fn expire(&mut self, now: Instant) {
        if self.counts.len() >= MAX_DIGESTS {
            self.counts.retain(|_, crashed| now < crashed.until);
        }
        if self.counts.len() >= MAX_DIGESTS {
            self.counts.clear();
        }
    }
}

fn insert(servers: &mut BTreeSet<u32>, server: u32) {
    if servers.len() < CRASH_LIMIT {
        servers.insert(server);
    }
}
