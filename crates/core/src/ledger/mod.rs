//! The ledger: each answered request is billed once.
//!
//! - [`Buffer`] gathers entries into segments and knows which are kept. A
//!   segment is written create-if-absent under instance, incarnation and
//!   sequence number, so that writing it again is harmless.
//! - [`Totals`] reads: it drops doubled requests by their identifier and adds
//!   up per organisation.
//! - [`PeerCopies`] holds copies of peers' entries until their owner says that the
//!   store has them, and gives them up for writing when the owner is gone.
//!
//! The identity of an entry is the instance's own, never the caller's
//! `X-Request-Id`: two callers that choose the same one would otherwise be
//! billed once between them.
//!
//! What goes wrong without it: an instance is killed right after an answer and
//! the request is never billed, or a segment whose answer was lost is written
//! twice and billed twice.

mod buffer;
mod peer_copies;
mod totals;

pub use buffer::{Buffer, Limits, Ticket};
pub use peer_copies::{Hold, PeerCopies};
pub use totals::{Sum, Totals};

use serde::{Deserialize, Serialize};

/// One request that is to be billed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Identity under which it is billed once, chosen by the instance.
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
    /// Wall-clock time of the answer, in seconds since 1970.
    #[serde(default)]
    pub at: u64,
    /// Identifier that the caller sees, for questions about a bill; it is no
    /// identity.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub label: String,
    /// Requests that the entry stands for; more than one only after the bound
    /// of memory was met in a long outage.
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
    /// Returns roughly how much memory and room in a segment it takes.
    #[must_use]
    pub fn size(&self) -> usize {
        const FIELDS: usize = 160;
        FIELDS
            + self.request.len()
            + self.organisation.len()
            + self.version.len()
            + self.label.len()
    }
}

/// A batch of entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Position among the segments of this incarnation.
    pub sequence: u64,
    /// The entries.
    pub entries: Vec<Entry>,
}
