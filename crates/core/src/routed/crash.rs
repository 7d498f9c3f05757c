//! Requests that crash the backend servers that run them.
//!
//! The pattern: one request ends its server, is sent again to the next and ends
//! that too; its caller repeats it under a new identifier at another node. A
//! request is known by the digest of caller, path and body. Each time a
//! connection breaks under it, a crash is counted; from [`MOST`] crashes, here or
//! at peers, it is refused for [`MEMORY_MS`]. A request that merely met servers
//! which crash for other reasons has to meet [`MOST`] of them to be refused.

use std::collections::HashMap;

use crate::clock::Instant;

/// Crashes from which a request is refused.
pub const MOST: u32 = 3;
/// Milliseconds for which a crash is remembered.
pub const MEMORY_MS: u64 = 60_000;
/// Digests that are remembered at most.
const REMEMBERED: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct Count {
    own: u32,
    peers: u32,
    until: Instant,
}

/// Crashes by the digest of the request.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    counts: HashMap<u64, Count>,
}

impl Suspects {
    /// Counts a crash that was seen here.
    pub fn crashed(&mut self, now: Instant, digest: u64) {
        self.forget(now);
        self.entry(now, digest).own += 1;
    }

    /// Takes in what a peer has counted itself.
    pub fn hear(&mut self, now: Instant, digest: u64, crashes: u32) {
        let count = self.entry(now, digest);
        count.peers = count.peers.max(crashes);
    }

    /// Forgets a request that ended well.
    pub fn ended_well(&mut self, digest: u64) {
        self.counts.remove(&digest);
    }

    /// Whether the request must not run.
    #[must_use]
    pub fn is_refused(&self, now: Instant, digest: u64) -> bool {
        self.counts
            .get(&digest)
            .is_some_and(|count| now < count.until && count.own + count.peers >= MOST)
    }

    /// What was counted here, for peers: digests that crashed a server twice or
    /// more, since single crashes are the servers' own doing most of the time.
    pub fn own(&self) -> impl Iterator<Item = (u64, u32)> + '_ {
        let told = self
            .counts
            .iter()
            .filter(|(_, count)| count.own >= MOST - 1);
        told.map(|(&digest, count)| (digest, count.own))
    }

    fn entry(&mut self, now: Instant, digest: u64) -> &mut Count {
        let until = now.plus_millis(MEMORY_MS);
        let fresh = Count {
            own: 0,
            peers: 0,
            until,
        };
        let count = self.counts.entry(digest).or_insert(fresh);
        count.until = until;
        count
    }

    fn forget(&mut self, now: Instant) {
        if self.counts.len() >= REMEMBERED {
            self.counts.retain(|_, count| now < count.until);
        }
        if self.counts.len() >= REMEMBERED {
            self.counts.clear();
        }
    }
}
