//! Claims of non-idempotent requests: each runs at most once.
//!
//! A claim is created in the store, if absent, before a byte of the request
//! leaves for a backend server. Whoever creates it may run the request; every
//! other sender of the same key gets what the record says.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::clock::Instant;

/// What the store holds of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Digest of the request's body; another body under the same key is refused.
    pub digest: String,
    /// Nonce of the writer, read back after an ambiguous answer of the store.
    pub nonce: u64,
    /// Wall-clock time after which a claim that still runs counts as unknown.
    pub deadline: Instant,
    /// How far the request is.
    pub state: State,
}

/// How far a claimed request is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Claimed; perhaps sent.
    Running,
    /// Answered.
    Done {
        /// Status of the answer.
        status: u16,
        /// Body of the answer.
        body: Bytes,
    },
    /// Sent, and the answer was lost.
    Unknown,
    /// Surely not sent; the key may be claimed again.
    NotRun,
}

/// What to tell a sender whose key is already claimed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The recorded answer.
    Replay {
        /// Status of the answer.
        status: u16,
        /// Body of the answer.
        body: Bytes,
    },
    /// Another sender's run has not ended.
    StillRunning,
    /// It may have run.
    Unknown,
    /// The key was used with another body.
    Mismatch,
    /// The earlier claim was surely not sent; it may be claimed again by a swap.
    Reclaim,
}

/// Decides what a sender with body `digest` gets from an existing record.
#[must_use]
pub fn judge(record: &Record, digest: &str, now: Instant) -> Verdict {
    if record.digest != digest {
        return Verdict::Mismatch;
    }
    match &record.state {
        State::Done { status, body } => Verdict::Replay {
            status: *status,
            body: body.clone(),
        },
        State::Running if now < record.deadline => Verdict::StillRunning,
        State::Running | State::Unknown => Verdict::Unknown,
        State::NotRun => Verdict::Reclaim,
    }
}
