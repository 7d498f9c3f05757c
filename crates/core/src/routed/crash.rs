//! Requests that crash the backend servers that run them.
//!
//! The pattern: one request ends its server, is sent again to the next and ends
//! that too; its caller repeats it under a new identifier at another node. A
//! request is known by the digest of caller, path and body. Each time a
//! connection breaks under it, a crash is counted; from [`CRASH_LIMIT`] crashes, here or
//! at peers, it is refused for [`MEMORY_MS`].
//!
//! Many callers ask the same with an empty body, and one server that crashes breaks all that
//! it runs: three of them would make the question look guilty, and it would be refused to
//! all for a minute. So a request that has ended well within [`MEMORY_MS`] is not suspected;
//! one that crashes servers never does.

use std::collections::HashMap;

use crate::clock::Instant;

/// Crashes from which a request is refused.
pub const CRASH_LIMIT: u32 = 3;
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
    /// Until when requests that ended well are above suspicion.
    well: HashMap<u64, Instant>,
}

impl Suspects {
    /// Counts a crash that was seen here.
    pub fn record_crash(&mut self, now: Instant, digest: u64) {
        if self.is_sound(now, digest) {
            return;
        }
        self.forget(now);
        self.entry(now, digest).own += 1;
    }

    /// Takes in what a peer has counted itself.
    pub fn receive(&mut self, now: Instant, digest: u64, crashes: u32) {
        let count = self.entry(now, digest);
        count.peers = count.peers.max(crashes);
    }

    /// Clears a request that ended well.
    pub fn record_success(&mut self, now: Instant, digest: u64) {
        self.counts.remove(&digest);
        if self.well.len() >= REMEMBERED {
            self.well.retain(|_, until| now < *until);
        }
        if self.well.len() >= REMEMBERED {
            self.well.clear();
        }
        self.well.insert(digest, now.plus_millis(MEMORY_MS));
    }

    fn is_sound(&self, now: Instant, digest: u64) -> bool {
        self.well.get(&digest).is_some_and(|until| now < *until)
    }

    /// Whether the request must not run.
    #[must_use]
    pub fn is_refused(&self, now: Instant, digest: u64) -> bool {
        let is_guilty = |count: &Count| now < count.until && count.own + count.peers >= CRASH_LIMIT;
        !self.is_sound(now, digest) && self.counts.get(&digest).is_some_and(is_guilty)
    }

    /// What was counted here, for peers: digests that crashed a server twice or
    /// more, since single crashes are the servers' own doing most of the time.
    pub fn local_crashes(&self) -> impl Iterator<Item = (u64, u32)> + '_ {
        let told = self
            .counts
            .iter()
            .filter(|(_, count)| count.own >= CRASH_LIMIT - 1);
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
