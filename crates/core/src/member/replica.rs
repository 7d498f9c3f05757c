//! Soft state that all instances should hold alike.
//!
//! Each slice offers its state as a value that can be merged with another in
//! any order and any number of times, and that is written the same way by all
//! instances that hold the same. A message names a hash of each slice; where
//! hashes differ, the state itself is sent and merged, and from then on both
//! hold the same. So a repeated, reordered or lost message does no harm.
//!
//! A change is changes for a few messages: it is sent along without waiting to be
//! asked, which is what makes a halt cross a fleet of 340 instances in a few
//! exchanges. Since a random spread can miss an instance, the comparison of
//! hashes goes on for ever.

use std::collections::BTreeMap;

use serde_json::Value;
use sha2::{Digest as _, Sha256};

#[derive(Clone, Debug)]
struct Entry {
    state: Value,
    hash: u64,
    sends: u32,
    urgent: bool,
}

/// The shared soft state that this process holds, by slice.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    entries: BTreeMap<String, Entry>,
}

impl Replica {
    /// Messages that carry a change beyond the logarithm of the fleet's size.
    pub const EXTRA_SENDS: u32 = 2;
    /// Largest state of one slice, in bytes of JSON. It bounds a message and
    /// the memory; a slice must forget before it grows beyond.
    pub const MAX_STATE_BYTES: usize = 4_096;

    /// Returns a replica that holds nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over what a slice holds now. A change is sent along with the next
    /// messages to a fleet of `members` instances.
    ///
    /// Returns whether it changed; a state over [`Replica::MAX_STATE_BYTES`] is not
    /// taken.
    pub fn set(&mut self, slice: &str, state: Value, members: usize) -> bool {
        let hash = hash(&state);
        let known = self.entries.get(slice).map(|entry| entry.hash);
        if known == Some(hash) || state.to_string().len() > Self::MAX_STATE_BYTES {
            return false;
        }
        let entry = Entry {
            state,
            hash,
            sends: members.max(2).ilog2() + Self::EXTRA_SENDS,
            // What a slice holds at the start is not news.
            urgent: known.is_some(),
        };
        self.entries.insert(slice.to_owned(), entry);
        true
    }

    /// Returns what a slice holds.
    #[must_use]
    pub fn get(&self, slice: &str) -> Option<&Value> {
        self.entries.get(slice).map(|entry| &entry.state)
    }

    /// Returns the hash of each slice.
    #[must_use]
    pub fn hashes(&self) -> BTreeMap<String, u64> {
        let entries = self.entries.iter();
        entries
            .map(|(slice, entry)| (slice.clone(), entry.hash))
            .collect()
    }

    /// Returns the states to send along unasked, and counts the sending.
    pub fn recent_changes(&mut self) -> BTreeMap<String, Value> {
        let mut changes = BTreeMap::new();
        for (slice, entry) in &mut self.entries {
            if entry.sends > 0 {
                entry.sends -= 1;
                changes.insert(slice.clone(), entry.state.clone());
            }
        }
        changes
    }

    /// Returns the states that differ from a peer's, given the peer's hashes.
    ///
    /// Slices that the peer does not name are left out: it runs a version that
    /// does not know them.
    #[must_use]
    pub fn differing(&self, hashes: &BTreeMap<String, u64>) -> BTreeMap<String, Value> {
        let entries = self.entries.iter();
        entries
            .filter(|(slice, entry)| hashes.get(*slice).is_some_and(|hash| *hash != entry.hash))
            .map(|(slice, entry)| (slice.clone(), entry.state.clone()))
            .collect()
    }

    /// Returns whether a change has not been sent yet, and forgets that it
    /// was asked: the caller exchanges at once.
    pub fn take_urgent(&mut self) -> bool {
        let mut urgent = false;
        for entry in self.entries.values_mut() {
            urgent |= std::mem::take(&mut entry.urgent);
        }
        urgent
    }
}

/// Returns a hash that is the same on all instances.
fn hash(state: &Value) -> u64 {
    let digest = Sha256::digest(state.to_string());
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(first)
}
