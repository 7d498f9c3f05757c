//! The ledger's segments in the store.

use anyhow::{Context as _, Result};
use bytes::Bytes;
use fescuerack_core::ledger::{Entry, Segment};

use crate::{Store, Swap};

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

/// Writes a segment; writing it again is harmless.
///
/// # Errors
///
/// When the store gives no answer; the segment may have been kept all the same.
pub fn write(store: &dyn Store, writer: &Writer, segment: &Segment) -> Result<()> {
    let Writer {
        instance,
        incarnation,
    } = writer;
    let key = format!("{PREFIX}{instance}/{incarnation}/{}", segment.sequence);
    let bytes = Bytes::from(serde_json::to_vec(segment)?);
    // A conflict means that an earlier write of the same segment took effect
    // although its answer was lost: the key names this start of the process.
    match store.swap(&key, 0, bytes, None)? {
        Swap::Swapped(_) | Swap::Conflict(_) => Ok(()),
    }
}

/// Reads every entry, in the order of the keys.
///
/// # Errors
///
/// When the store gives no answer or a segment is malformed.
pub fn read(store: &dyn Store) -> Result<Vec<Entry>> {
    let mut entries = Vec::new();
    for item in store.keys(PREFIX).context("list segments")?.items {
        let value = store.get(&item.key)?.context("a segment vanished")?;
        let segment: Segment = serde_json::from_slice(&value.bytes).context("parse a segment")?;
        entries.extend(segment.entries);
    }
    Ok(entries)
}
