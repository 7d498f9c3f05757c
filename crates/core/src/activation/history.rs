//! History of the configuration, stored as a ring of chunks.
//!
//! A writer that replaces revision `r` first copies the change of `r` from the
//! manifest to the history. Every revision is therefore in the history before
//! it is replaced, even if the process that made it was killed right after the
//! swap. A lost response can be resolved however many changes followed, as long
//! as the ring still holds the revision.

use serde::{Deserialize, Serialize};

use super::Change;

/// Changes in one chunk. With 200 files in each change, a chunk stays below the
/// largest value of the store.
pub const CHANGES_PER_CHUNK: u64 = 16;
/// Chunks in the ring: 16,384 changes, or five days at 3,000 a day.
pub const CHUNK_COUNT: u64 = 1024;

/// A run of consecutive changes, stored under one key.
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

    /// Adds a change and drops those of an earlier round of the ring. Returns
    /// whether the chunk changed.
    pub fn add(&mut self, change: &Change) -> bool {
        if self.get(change.revision).is_some() {
            return false;
        }
        let chunk_number = change.revision / CHANGES_PER_CHUNK;
        self.changes
            .retain(|other| other.revision / CHANGES_PER_CHUNK == chunk_number);
        self.changes.push(change.clone());
        self.changes.sort_by_key(|change| change.revision);
        true
    }
}
