//! Billing ledger: bills each answered request exactly once.
//!
//! Without further measures, two faults would break this. An instance that is
//! killed right after an answer would never bill the request, and a segment
//! whose acknowledgement is lost would be written twice and billed twice.
//!
//! - [`Buffer`] collects entries into segments and tracks which of them the
//!   store holds. A segment is created under a key made of instance,
//!   incarnation and sequence number, and only if the key is absent, so a
//!   repeated write is harmless.
//! - [`PeerCopies`] holds copies of peers' entries until their owner reports
//!   that the store holds them, and releases them for writing when the owner is
//!   gone.
//! - [`Totals`] adds up the entries that were read from the ledger: it drops
//!   duplicates by request identity and sums usage and cost of each
//!   organisation and version.
//!
//! The instance chooses the identity of an entry. The caller's `X-Request-Id`
//! cannot serve as one: two callers that send the same value would be billed
//! once between them.

mod buffer;
mod peer_copies;
mod totals;

pub use buffer::{Buffer, Limits, Ticket};
pub use peer_copies::{HoldRequest, PeerCopies};
pub use totals::{Sum, Totals};

use serde::{Deserialize, Serialize};

/// One request to be billed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Identity by which duplicates are dropped, chosen by the instance.
    pub request: String,
    /// Organisation to be billed.
    pub organisation: String,
    /// Version that answered, or the name of the service if it has no versions.
    pub version: String,
    /// Input tokens of all attempts and steps.
    pub input_tokens: u64,
    /// Output tokens of all attempts and steps.
    pub output_tokens: u64,
    /// Cost in micro-euro.
    pub cost: u64,
    /// Wall-clock time of the answer, in seconds since the Unix epoch.
    #[serde(default)]
    pub at: u64,
    /// Request identifier that the caller sees, for questions about a bill. It
    /// need not be unique.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub label: String,
    /// Number of requests that the entry covers. It is more than one only if
    /// entries were folded because a long outage filled the buffer.
    #[serde(default = "one", skip_serializing_if = "is_one")]
    pub requests: u64,
}

fn one() -> u64 {
    1
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde gives a reference")]
fn is_one(count: &u64) -> bool {
    *count == 1
}

impl Entry {
    /// Returns the approximate bytes that the entry takes in memory and in a
    /// segment.
    #[must_use]
    pub fn size(&self) -> usize {
        const FIXED_BYTES: usize = 160;
        FIXED_BYTES
            + self.request.len()
            + self.organisation.len()
            + self.version.len()
            + self.label.len()
    }
}

/// A batch of entries that is written under one key of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Position among the segments of the writer's incarnation.
    pub sequence: u64,
    /// The entries.
    pub entries: Vec<Entry>,
}
