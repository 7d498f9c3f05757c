//! Backend servers that end when they turn too many requests away for want of room.
//!
//! Such a server says so in its answers, and may let fewer requests wait from then on. Nodes that
//! each keep to a share of its room still overfill it together, since none knows what the others
//! have sent in the last milliseconds; its load then fells the next server. So while the servers of
//! a service are brittle, each of them has an [`owner`]: one node, chosen by rendezvous
//! hashing, through which all requests for it go. The owner knows exactly what runs there, sends no
//! more than the server can run at once, and lets a few requests wait itself.
//!
//! - **Word.** It holds for a service. Nodes pass it on to each other, the latest counts. An answer
//!   without it ends it if its request was sent after it was last heard.
//! - **Refusals.** A server may run more than its owner counts: requests whose callers have left, which
//!   some servers finish. After a refusal the owner [waits](pause_ms) so long that it meets half as many
//!   as the server can turn away.
//! - **Owners.** Nodes that know the same [members](crate::membership) agree without messages, and a new
//!   owner waits as for any other [duty](super::duty).

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::affinity;
use crate::clock::Instant;

/// Milliseconds for which the word of a service holds without being heard again.
const KEPT_MS: u64 = 30_000;
/// Maximum number of services in a message to a peer.
const MAX_SHARED: usize = 32;
/// Milliseconds for which a node caches who owns a server.
pub const OWNER_TTL_MS: u64 = 500;

/// The word of a service in a message to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shared {
    service: String,
    is_brittle: bool,
    /// Milliseconds since it was heard.
    age_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Word {
    is_brittle: bool,
    heard_at: Instant,
}

/// The services whose servers have said whether they are brittle.
#[derive(Clone, Debug, Default)]
pub struct Services {
    words: HashMap<Arc<str>, Word>,
}

impl Services {
    /// Records what an answer of a server of `service` says to a request that was sent at `sent_at`.
    /// Returns whether that changes the word of the service.
    pub fn record(
        &mut self,
        now: Instant,
        sent_at: Instant,
        service: &Arc<str>,
        is_brittle: bool,
    ) -> bool {
        let was_brittle = self.is_brittle(now, service);
        let known = self.words.get(service);
        if !is_brittle && (!was_brittle || known.is_some_and(|known| sent_at < known.heard_at)) {
            return false;
        }
        let word = Word {
            is_brittle,
            heard_at: now,
        };
        self.words.insert(service.clone(), word);
        is_brittle != was_brittle
    }

    /// Returns whether the servers of `service` are brittle.
    #[must_use]
    pub fn is_brittle(&self, now: Instant, service: &str) -> bool {
        let word = self.words.get(service);
        word.is_some_and(|word| word.is_brittle && now < word.heard_at.plus_millis(KEPT_MS))
    }

    /// Returns the words for a peer, as many as a message may have, the latest first.
    #[must_use]
    pub fn digest(&self, now: Instant) -> Vec<Shared> {
        let words = self.words.iter().map(|(service, word)| Shared {
            service: service.to_string(),
            is_brittle: word.is_brittle,
            age_ms: now.millis_since(word.heard_at),
        });
        let mut words: Vec<Shared> = words.filter(|word| word.age_ms < KEPT_MS).collect();
        words.sort_by_key(|word| word.age_ms);
        words.truncate(MAX_SHARED);
        words
    }

    /// Merges the words of a peer; returns the services whose word has changed.
    pub fn merge(&mut self, now: Instant, digest: &[Shared]) -> Vec<(Arc<str>, bool)> {
        let mut changed = Vec::new();
        for shared in digest.iter().filter(|shared| shared.age_ms < KEPT_MS) {
            let heard_at = now.minus_millis(shared.age_ms);
            let service: Arc<str> = Arc::from(&*shared.service);
            let known = self.words.get(&service);
            if known.is_some_and(|known| heard_at <= known.heard_at) {
                continue;
            }
            if self.is_brittle(now, &service) != shared.is_brittle {
                changed.push((service.clone(), shared.is_brittle));
            }
            let word = Word {
                is_brittle: shared.is_brittle,
                heard_at,
            };
            self.words.insert(service, word);
        }
        changed
    }

    /// Drops words that do not hold any more, and returns how many services are brittle.
    pub fn sweep(&mut self, now: Instant) -> usize {
        self.words
            .retain(|_, word| now < word.heard_at.plus_millis(KEPT_MS));
        self.words.values().filter(|word| word.is_brittle).count()
    }
}

/// Part of the refusals of a second that a server can bear which its owner may meet.
const REFUSAL_SHARE: f64 = 0.5;
/// Longest wait after a refusal, in milliseconds.
const MAX_PAUSE_MS: f64 = 4_000.0;

/// Returns for how many milliseconds a server that can turn `max_refusals` requests away in a second
/// gets none after a refusal.
#[must_use]
pub fn pause_ms(max_refusals: f64) -> u64 {
    let pause_ms = 1_000.0 / (max_refusals * REFUSAL_SHARE);
    // Not a number if it can turn none away.
    let pause_ms = if pause_ms < MAX_PAUSE_MS {
        pause_ms
    } else {
        MAX_PAUSE_MS
    };
    u64::try_from(crate::num::whole(pause_ms)).unwrap_or_default()
}

/// Returns the owner of the server with the given identity among nodes, by name.
#[must_use]
pub fn owner<'a>(names: impl Iterator<Item = &'a str>, server: u64) -> Option<&'a str> {
    names.max_by_key(|name| affinity::mix(affinity::hash(name.as_bytes()) ^ affinity::mix(server)))
}
