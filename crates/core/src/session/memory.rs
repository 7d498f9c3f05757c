//! What an instance remembers of sessions whose callers hand back no token.

use std::collections::{BTreeMap, VecDeque};

use fescuerack_config::{Names, key};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Sessions that are told to a peer at a time.
const TOLD: usize = 12;

/// Returns the identifier of a session in memory and messages: callers' own
/// identifiers stay out of both.
#[must_use]
pub fn id(organisation: &str, scope: &str, session: &str) -> u64 {
    let mut hash = Sha256::new();
    for part in [organisation, scope, session] {
        hash.update(part.as_bytes());
        hash.update([0]);
    }
    let mut first = [0; 8];
    first.copy_from_slice(&hash.finalize()[..8]);
    u64::from_be_bytes(first)
}

/// One session as peers are told of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Identifier.
    pub id: u64,
    /// Version that it keeps.
    pub version: String,
}

/// What one instance tells a peer of sessions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Digest {
    /// Sessions that the hash alone would put on another version.
    pub sessions: Vec<Entry>,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    version: key::Version,
    used: bool,
}

/// The sessions that an instance remembers, a bounded number.
#[derive(Clone, Debug)]
pub struct Memory {
    most: usize,
    slots: BTreeMap<u64, Slot>,
    order: VecDeque<u64>,
    tell: VecDeque<u64>,
}

impl Memory {
    /// Creates a memory of at most `most` sessions.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self {
            most: most.max(1),
            slots: BTreeMap::new(),
            order: VecDeque::new(),
            tell: VecDeque::new(),
        }
    }

    /// Returns the version that a session keeps.
    pub fn get(&mut self, id: u64) -> Option<key::Version> {
        let slot = self.slots.get_mut(&id)?;
        slot.used = true;
        Some(slot.version)
    }

    /// Remembers a session; `tell` says that the hash alone would move it, so
    /// that peers have to know.
    pub fn keep(&mut self, id: u64, version: key::Version, tell: bool) {
        let slot = Slot {
            version,
            used: false,
        };
        let known = self.slots.insert(id, slot);
        if known.is_none() {
            self.order.push_back(id);
        }
        let news = known.is_none_or(|known| known.version != version);
        if tell && news {
            self.tell.push_back(id);
        }
        self.evict();
    }

    /// Forgets the sessions that have been idle for longest.
    fn evict(&mut self) {
        while self.slots.len() > self.most {
            let Some(id) = self.order.pop_front() else {
                return;
            };
            match self.slots.get_mut(&id) {
                Some(slot) if slot.used => {
                    slot.used = false;
                    self.order.push_back(id);
                }
                _ => {
                    self.slots.remove(&id);
                }
            }
        }
    }

    /// Returns how many sessions are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether none is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Returns what peers are told: some sessions each time, in turn.
    pub fn digest(&mut self, names: &Names) -> Digest {
        let mut sessions = Vec::new();
        for _ in 0..self.tell.len().min(TOLD) {
            let Some(id) = self.tell.pop_front() else {
                break;
            };
            if let Some(slot) = self.slots.get(&id) {
                self.tell.push_back(id);
                sessions.push(Entry {
                    id,
                    version: names.versions.name(slot.version).to_string(),
                });
            }
        }
        Digest { sessions }
    }

    /// Takes over what a peer tells. What is known already stays: a session
    /// keeps the version that this instance has served it on.
    pub fn merge(&mut self, names: &Names, digest: &Digest) {
        for entry in &digest.sessions {
            if let Some(version) = names.versions.get(&entry.version)
                && !self.slots.contains_key(&entry.id)
            {
                self.keep(entry.id, version, true);
            }
        }
    }
}
