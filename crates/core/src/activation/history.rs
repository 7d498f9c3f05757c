//! History of the configuration, in a ring of chunks.
//!
//! Whoever replaces revision `r` first copies `r`'s change from the manifest
//! to the history. So every revision but the one in force has its line there
//! before it is replaced, also when its own author was killed right after the
//! swap, and a lost answer can be resolved however many changes followed.

use serde::{Deserialize, Serialize};

use super::Change;

/// Changes in one chunk. At 200 files a change it stays under the largest
/// value of the store.
pub const CHANGES_PER_CHUNK: u64 = 16;
/// Chunks in the ring: 16,384 changes, or five days at 3,000 a day.
pub const CHUNK_COUNT: u64 = 1024;

/// A run of changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The changes, in the order of their revisions.
    pub changes: Vec<Change>,
}

/// Returns the key of the chunk that holds `revision`.
#[must_use]
pub fn chunk_key(revision: u64) -> String {
    format!(
        "config/history/{:04}",
        revision / CHANGES_PER_CHUNK % CHUNK_COUNT
    )
}

impl Chunk {
    /// Returns the change that made `revision`, if the chunk holds it.
    #[must_use]
    pub fn get(&self, revision: u64) -> Option<&Change> {
        self.changes
            .iter()
            .find(|change| change.revision == revision)
    }

    /// Adds a change and drops those of the ring's earlier round; returns
    /// whether anything is new.
    pub fn add(&mut self, change: &Change) -> bool {
        if self.get(change.revision).is_some() {
            return false;
        }
        let round = change.revision / CHANGES_PER_CHUNK;
        self.changes
            .retain(|other| other.revision / CHANGES_PER_CHUNK == round);
        self.changes.push(change.clone());
        self.changes.sort_by_key(|change| change.revision);
        true
    }
}
