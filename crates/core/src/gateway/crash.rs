//! Detection of poison requests: requests that crash the backend servers that run them.
//!
//! Such a request crashes its server, is retried on the next one and crashes that too; its caller
//! repeats it under a new identifier at another node. A request is identified by the digest of
//! organisation, path and body. Broken connections count as one crash for each start of a server:
//! a server that crashes, or whose link is reset, breaks every request that it runs, and many
//! callers may send the same request. From [`CRASH_LIMIT`] servers, on this node or on peers, the
//! request is refused for [`RETENTION_MS`].
//!
//! A caller's repeats may reach a new node each time, and each of hundreds of nodes would see one crash. A
//! node therefore tells each crash, and a success after crashes, to the [owners] of the request, which add up.
//!
//! Nodes pass on what they know, also what they have heard, with its age: the nodes that report to
//! one hub hear of each other through it, and a crash is not kept alive by passing it back and forth.
//!
//! A request that has succeeded within [`RETENTION_MS`] is not suspected; a request that crashes
//! servers never succeeds.

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use super::affinity;
use crate::clock::Instant;

/// Number of crashed servers from which a request is refused.
pub const CRASH_LIMIT: usize = 3;
/// Milliseconds for which a crash or a success is kept.
pub const RETENTION_MS: u64 = 60_000;
/// Maximum number of digests that are kept.
const MAX_DIGESTS: usize = 4096;
/// Maximum number of requests in a message to a peer, the newest ones.
pub const MAX_SHARED: usize = 4;

/// Number of nodes that are told of each crash of a request.
const OWNERS: usize = 2;

/// The end of a run, as it is told to the owners of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Digest of the request.
    pub request: u64,
    /// How the run ended.
    pub end: End,
}

/// How a run of a suspected request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// A server, by its short identifier, crashed.
    Crashed(u32),
    /// The request succeeded.
    Succeeded,
}

/// Returns the owners of a request among the nodes, by the hash of names: the same on all nodes that
/// have the same list, and others for another request.
#[must_use]
pub fn owners<'a>(request: u64, nodes: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> = nodes
        .map(|name| {
            (
                affinity::mix(affinity::hash(name.as_bytes()) ^ request),
                name,
            )
        })
        .collect();
    ranked.sort_unstable();
    ranked
        .into_iter()
        .map(|(_, name)| name)
        .take(OWNERS)
        .collect()
}

/// What a message to a peer says of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// Digest of the request.
    pub request: u64,
    /// Servers that crashed while they ran it.
    pub servers: Vec<u32>,
    /// Milliseconds since the last of these crashes.
    pub age_ms: u64,
}

/// The servers that crashed while they ran a request, by the [short
/// identifier](super::load::short_id) of their start; at most [`CRASH_LIMIT`] in each set.
#[derive(Clone, Debug)]
struct Crashed {
    /// As this node has observed.
    local: BTreeSet<u32>,
    /// As peers have reported.
    peers: BTreeSet<u32>,
    /// When the last of them crashed.
    last_at: Instant,
}

impl Crashed {
    fn servers(&self) -> Vec<u32> {
        let servers = self.local.union(&self.peers);
        servers.copied().take(CRASH_LIMIT).collect()
    }

    fn is_over(&self, now: Instant) -> bool {
        now >= self.last_at.plus_millis(RETENTION_MS)
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
    /// Records an observation of a peer.
    pub fn observe(&mut self, now: Instant, observation: Observation) {
        match observation.end {
            End::Crashed(server) => {
                self.record_crash(now, observation.request, server);
            }
            End::Succeeded => {
                self.record_success(now, observation.request);
            }
        }
    }

    /// Records that `server` crashed while it ran the request; returns whether it counts.
    pub fn record_crash(&mut self, now: Instant, digest: u64, server: u32) -> bool {
        if self.has_succeeded(now, digest) {
            return false;
        }
        insert(&mut self.entry(now, digest, now).local, server)
    }

    /// Records the crashes that a peer knows of.
    pub fn receive(&mut self, now: Instant, mark: &Mark) {
        if mark.age_ms >= RETENTION_MS || self.has_succeeded(now, mark.request) {
            return;
        }
        let last_at = now.minus_millis(mark.age_ms);
        let peers = &mut self.entry(now, mark.request, last_at).peers;
        for server in &mark.servers {
            insert(peers, *server);
        }
    }

    /// Clears a request that succeeded; it is not suspected for [`RETENTION_MS`]. Returns whether it
    /// was suspected.
    pub fn record_success(&mut self, now: Instant, digest: u64) -> bool {
        let was_suspected = self.counts.remove(&digest).is_some();
        if self.succeeded.len() >= MAX_DIGESTS {
            self.succeeded.retain(|_, until| now < *until);
        }
        if self.succeeded.len() >= MAX_DIGESTS {
            self.succeeded.clear();
        }
        self.succeeded.insert(digest, now.plus_millis(RETENTION_MS));
        was_suspected
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
            |crashed: &Crashed| !crashed.is_over(now) && crashed.servers().len() >= CRASH_LIMIT;
        !self.has_succeeded(now, digest) && self.counts.get(&digest).is_some_and(is_over_limit)
    }

    /// Returns the newest crashes that this node knows of, to be sent to peers.
    ///
    /// Digests with fewer than two servers are omitted, since most single crashes are caused by the
    /// server and not by the request.
    #[must_use]
    pub fn marks(&self, now: Instant) -> Vec<Mark> {
        let known = self.counts.iter();
        let known = known.filter(|(_, crashed)| !crashed.is_over(now));
        let mut marks: Vec<Mark> = known
            .map(|(&request, crashed)| Mark {
                request,
                servers: crashed.servers(),
                age_ms: u64::try_from(now.since(crashed.last_at).as_millis()).unwrap_or(u64::MAX),
            })
            .filter(|mark| mark.servers.len() >= CRASH_LIMIT - 1)
            .collect();
        marks.sort_unstable_by_key(|mark| (mark.age_ms, mark.request));
        marks.truncate(MAX_SHARED);
        marks
    }

    fn entry(&mut self, now: Instant, digest: u64, last_at: Instant) -> &mut Crashed {
        if !self.counts.contains_key(&digest) {
            self.make_room(now);
        }
        let crashed = self.counts.entry(digest).or_insert_with(|| Crashed {
            local: BTreeSet::new(),
            peers: BTreeSet::new(),
            last_at,
        });
        if crashed.is_over(now) {
            crashed.local.clear();
            crashed.peers.clear();
        }
        crashed.last_at = crashed.last_at.max(last_at);
        crashed
    }

    fn make_room(&mut self, now: Instant) {
        if self.counts.len() >= MAX_DIGESTS {
            self.counts.retain(|_, crashed| !crashed.is_over(now));
        }
        if self.counts.len() >= MAX_DIGESTS {
            self.counts.clear();
        }
    }
}

/// Inserts a server unless there are enough; returns whether it is new.
fn insert(servers: &mut BTreeSet<u32>, server: u32) -> bool {
    servers.len() < CRASH_LIMIT && servers.insert(server)
}
