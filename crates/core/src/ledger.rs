//! The ledger: each answered request is billed once.
//!
//! Entries are gathered into segments. A segment is written create-if-absent
//! under instance, incarnation and sequence number, so that writing it again
//! is harmless; a reader drops doubled requests by their identifier.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// One request that is to be billed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Identifier of the request, chosen by the instance that took it in.
    pub request: String,
    /// Organisation that is billed.
    pub organisation: String,
    /// Version that answered, or the name of the plain service.
    pub version: String,
    /// Input tokens of all attempts and steps.
    pub input_tokens: u64,
    /// Output tokens of all attempts and steps.
    pub output_tokens: u64,
    /// Cost in micro-euro.
    pub cost: u64,
}

/// A batch of entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Position among the segments of this incarnation.
    pub sequence: u64,
    /// The entries.
    pub entries: Vec<Entry>,
}

/// Gathers entries until they are kept in the store.
#[derive(Clone, Debug, Default)]
pub struct Book {
    open: Vec<Entry>,
    sealed: BTreeMap<u64, Segment>,
    next: u64,
}

impl Book {
    /// Returns an empty book.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an entry and returns the sequence number of its segment.
    pub fn add(&mut self, entry: Entry) -> u64 {
        self.open.push(entry);
        self.next
    }

    /// Closes the open segment and returns every segment that is not kept yet.
    pub fn seal(&mut self) -> Vec<Segment> {
        if !self.open.is_empty() {
            let segment = Segment {
                sequence: self.next,
                entries: std::mem::take(&mut self.open),
            };
            self.sealed.insert(self.next, segment);
            self.next += 1;
        }
        self.sealed.values().cloned().collect()
    }

    /// Forgets a segment that the store has kept.
    pub fn kept(&mut self, sequence: u64) {
        self.sealed.remove(&sequence);
    }

    /// Returns how many entries are not kept yet.
    #[must_use]
    pub fn pending(&self) -> usize {
        let sealed: usize = self
            .sealed
            .values()
            .map(|segment| segment.entries.len())
            .sum();
        sealed + self.open.len()
    }
}
