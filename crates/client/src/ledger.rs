//! Segments of the billing ledger in the store.

use anyhow::{Context as _, Result};
use bytes::Bytes;
use fescuerack_core::ledger::{Entry, Segment};

pub use fescuerack_core::ledger::{Sum, Totals};

use crate::{Fault, Store, Swap};

/// Prefix of the keys of all segments.
const PREFIX: &str = "ledger/";

/// Writer of segments: one incarnation of the process on one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Writer {
    /// Name of the instance.
    pub instance: String,
    /// Name of the incarnation, which changes with every restart.
    pub incarnation: String,
}

impl Writer {
    /// Returns the key of a segment.
    #[must_use]
    pub fn key(&self, sequence: u64) -> String {
        format!(
            "{PREFIX}{}/{}/{sequence:010}",
            self.instance, self.incarnation
        )
    }
}

/// Writes a segment. Repeating the write is harmless.
///
/// # Errors
///
/// Returns a [`Fault`] if the store does not confirm the write; the segment may have been stored
/// anyway.
pub fn write(store: &dyn Store, writer: &Writer, segment: &Segment) -> Result<(), Fault> {
    let bytes = serde_json::to_vec(segment).map_err(|error| Fault::NotSent(error.to_string()))?;
    // The key names this incarnation of the process. A conflict therefore means that an earlier
    // write of the same segment took effect although its response was lost.
    match store.swap(&writer.key(segment.sequence), 0, Bytes::from(bytes), None)? {
        Swap::Swapped(_) | Swap::Conflict(_) => Ok(()),
    }
}

/// Reads all entries in the order of their keys, including duplicates.
///
/// # Errors
///
/// Returns an error if the store does not answer or a segment is malformed.
pub fn read(store: &dyn Store) -> Result<Vec<Entry>> {
    let mut entries = Vec::new();
    for_each_entry(store, |entry| entries.push(entry))?;
    Ok(entries)
}

/// Reads all entries, drops duplicates and returns the totals.
///
/// # Errors
///
/// Returns an error if the store does not answer or a segment is malformed.
pub fn totals(store: &dyn Store) -> Result<Totals> {
    let mut totals = Totals::new();
    for_each_entry(store, |entry| {
        totals.add(&entry);
    })?;
    Ok(totals)
}

/// Calls `visit` for each entry. Only one segment is held in memory at a time.
fn for_each_entry(store: &dyn Store, mut visit: impl FnMut(Entry)) -> Result<()> {
    for item in store.keys(PREFIX).context("list segments")?.items {
        let value = store
            .get(&item.key)?
            .context("a segment is missing from the store")?;
        let segment: Segment = serde_json::from_slice(&value.bytes).context("parse a segment")?;
        segment.entries.into_iter().for_each(&mut visit);
    }
    Ok(())
}
