//! The ledger's segments in the store.

use anyhow::{Context as _, Result};
use bytes::Bytes;
use fescuerack_core::ledger::{Entry, Segment};

pub use fescuerack_core::ledger::{Sum, Totals};

use crate::{Fault, Store, Swap};

/// Prefix of the ledger's keys.
const PREFIX: &str = "ledger/";

/// Who writes segments: one start of the process on one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Writer {
    /// Name of the instance.
    pub instance: String,
    /// Name of the start; differs after every restart.
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

/// Writes a segment; writing it again is harmless.
///
/// # Errors
///
/// When the store gives no answer; the segment may have been kept all the same.
pub fn write(store: &dyn Store, writer: &Writer, segment: &Segment) -> Result<(), Fault> {
    let bytes = serde_json::to_vec(segment).map_err(|error| Fault::NotSent(error.to_string()))?;
    // A conflict means that an earlier write of the same segment took effect
    // although its answer was lost: the key names this start of the process.
    match store.swap(&writer.key(segment.sequence), 0, Bytes::from(bytes), None)? {
        Swap::Swapped(_) | Swap::Conflict(_) => Ok(()),
    }
}

/// Reads every entry, in the order of the keys; doubles are still there.
///
/// # Errors
///
/// When the store gives no answer or a segment is malformed.
pub fn read(store: &dyn Store) -> Result<Vec<Entry>> {
    let mut entries = Vec::new();
    each(store, |entry| entries.push(entry))?;
    Ok(entries)
}

/// Reads every entry once and adds up.
///
/// # Errors
///
/// When the store gives no answer or a segment is malformed.
pub fn totals(store: &dyn Store) -> Result<Totals> {
    let mut totals = Totals::new();
    each(store, |entry| {
        totals.add(&entry);
    })?;
    Ok(totals)
}

/// Calls `take` with every entry, a segment at a time.
fn each(store: &dyn Store, mut take: impl FnMut(Entry)) -> Result<()> {
    for item in store.keys(PREFIX).context("list segments")?.items {
        let value = store.get(&item.key)?.context("a segment vanished")?;
        let segment: Segment = serde_json::from_slice(&value.bytes).context("parse a segment")?;
        segment.entries.into_iter().for_each(&mut take);
    }
    Ok(())
}
