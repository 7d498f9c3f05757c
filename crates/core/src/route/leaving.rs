//! Which servers leave, by their own word or a peer's.
//!
//! The instance list lags by seconds; work sent meanwhile to a server that
//! leaves is refused or cut. A server's own word (a refusal that says so, or
//! its load report) counts at once and is told to peers. A word carries its
//! age, so that instances that tell each other do not keep it alive: it lapses
//! after [`KEPT_MS`], by when the list has long caught up.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;

/// Milliseconds for which a word counts.
pub const KEPT_MS: u64 = 120_000;
/// Servers that are kept and told at most.
const MOST: usize = 128;

/// What an instance tells its peers: servers that leave.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Milliseconds since the server's own word, by its identifier.
    #[serde(default)]
    pub leaving: BTreeMap<String, u64>,
}

/// Servers that leave, with the time of their word.
#[derive(Clone, Debug, Default)]
pub struct LeavingServers {
    leaving: BTreeMap<String, Instant>,
}

impl LeavingServers {
    /// Returns no words.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a server's own word; returns whether it is new.
    pub fn tell(&mut self, now: Instant, id: &str) -> bool {
        if self.leaving.len() >= MOST && !self.leaving.contains_key(id) {
            return false;
        }
        self.leaving.insert(id.to_owned(), now).is_none()
    }

    /// Returns whether a server leaves.
    #[must_use]
    pub fn is_leaving(&self, id: &str) -> bool {
        self.leaving.contains_key(id)
    }

    /// Forgets old words; returns whether there were any.
    pub fn forget(&mut self, now: Instant) -> bool {
        let before = self.leaving.len();
        self.leaving
            .retain(|_, told| now < told.plus_millis(KEPT_MS));
        self.leaving.len() < before
    }

    /// Returns what to tell peers.
    #[must_use]
    pub fn digest(&self, now: Instant) -> Digest {
        let ages = self.leaving.iter().map(|(id, told)| {
            let age = u64::try_from(now.since(*told).as_millis()).unwrap_or(KEPT_MS);
            (id.clone(), age)
        });
        Digest {
            leaving: ages.collect(),
        }
    }

    /// Takes over a peer's words; returns whether any is new. The youngest age
    /// counts, so order and repetition do not matter.
    pub fn merge(&mut self, now: Instant, digest: &Digest) -> bool {
        let mut new = false;
        for (id, age) in digest.leaving.iter().take(MOST) {
            if *age >= KEPT_MS {
                continue;
            }
            let told = Instant(now.0.saturating_sub(age.saturating_mul(1000)));
            match self.leaving.get_mut(id) {
                Some(known) => *known = (*known).max(told),
                None => new |= self.tell(told, id),
            }
        }
        new
    }
}
