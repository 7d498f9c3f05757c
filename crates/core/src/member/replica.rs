//! Soft state that all instances should share.
//!
//! Each slice provides its state as a value that can be merged with another in
//! any order and any number of times, and whose encoding is the same on all
//! instances with the same state. A message carries a hash of each slice. Where
//! hashes differ, the state itself is sent and merged, after which both
//! instances hold the same. A repeated, reordered or lost message therefore
//! does no harm.
//!
//! The next few messages after a change carry it unasked (rumour mongering), so
//! that a halt reaches a fleet of 340 instances within a few exchanges. Random
//! spreading can miss an instance, so the comparison of hashes never stops.

use std::collections::BTreeMap;

use serde_json::Value;
use sha2::{Digest as _, Sha256};

#[derive(Clone, Debug)]
struct Entry {
    state: Value,
    hash: u64,
    /// Messages that still carry the state unasked.
    sends_left: u32,
    is_urgent: bool,
}

/// Shared soft state of this process, by slice.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    entries: BTreeMap<String, Entry>,
}

impl Replica {
    /// Messages that carry a change unasked, in addition to the binary
    /// logarithm of the fleet's size.
    pub const EXTRA_SENDS: u32 = 2;
    /// Maximum state of one slice, in bytes of JSON. It bounds messages and
    /// memory; a slice must drop old state before it exceeds this.
    pub const MAX_STATE_BYTES: usize = 4_096;

    /// Returns an empty replica.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the state of a slice. A change is sent along with the next messages;
    /// their number follows from the `members` of the fleet.
    ///
    /// Returns whether the state changed. A state above
    /// [`Replica::MAX_STATE_BYTES`] is ignored.
    pub fn set(&mut self, slice: &str, state: Value, members: usize) -> bool {
        let hash = hash(&state);
        let previous = self.entries.get(slice).map(|entry| entry.hash);
        if previous == Some(hash) || state.to_string().len() > Self::MAX_STATE_BYTES {
            return false;
        }
        let entry = Entry {
            state,
            hash,
            sends_left: members.max(2).ilog2() + Self::EXTRA_SENDS,
            // The first state of a slice is not a change.
            is_urgent: previous.is_some(),
        };
        self.entries.insert(slice.to_owned(), entry);
        true
    }

    /// Returns the state of a slice.
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

    /// Returns the recently changed states, to be sent along unasked, and counts
    /// this message for each of them.
    pub fn recent_changes(&mut self) -> BTreeMap<String, Value> {
        let mut changes = BTreeMap::new();
        for (slice, entry) in &mut self.entries {
            if entry.sends_left > 0 {
                entry.sends_left -= 1;
                changes.insert(slice.clone(), entry.state.clone());
            }
        }
        changes
    }

    /// Returns the states whose hash differs from that of a peer.
    ///
    /// Slices that are missing in the peer's hashes are omitted, because its
    /// release does not support them.
    #[must_use]
    pub fn differing(&self, hashes: &BTreeMap<String, u64>) -> BTreeMap<String, Value> {
        let entries = self.entries.iter();
        entries
            .filter(|(slice, entry)| hashes.get(*slice).is_some_and(|hash| *hash != entry.hash))
            .map(|(slice, entry)| (slice.clone(), entry.state.clone()))
            .collect()
    }

    /// Returns whether there are changes that must be sent at once, and clears
    /// that mark: the caller starts exchanges.
    pub fn take_urgent(&mut self) -> bool {
        let mut is_urgent = false;
        for entry in self.entries.values_mut() {
            is_urgent |= std::mem::take(&mut entry.is_urgent);
        }
        is_urgent
    }
}

/// Returns a hash of a state that is the same on all instances.
fn hash(state: &Value) -> u64 {
    let digest = Sha256::digest(state.to_string());
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(first)
}
