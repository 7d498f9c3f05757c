//! Claims on idempotency keys, so that a non-idempotent request runs at most once.
//!
//! A claim is created in the store, if absent, before any byte of the request is sent to a backend
//! server. The sender that creates it may run the request; every other sender of the same key gets
//! a [`Verdict`] by the state of the record, such as the recorded answer.
//!
//! Without claims, a caller that loses the answer to a booking and sends the request again through
//! another instance books twice.
//!
//! - [`Claiming`] acquires a claim or returns the state of the one that exists.
//! - [`Recording`] records the end of a claimed request.
//! - [`Record`] is the value in the store. Its state changes only by [`Record::transition`], which
//!   asserts that the change is allowed.
//!
//! A record expires with its lease, [`RETENTION_MS`] later at the earliest, so that the store does
//! not fill up. A request that reuses the key after that counts as a new one.

mod claiming;
mod codec;
mod recording;

pub use claiming::{Claiming, Outcome};
pub use recording::Recording;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::clock::Instant;

/// Minimum time for which a claim is kept: a day, so that the requests of a nightly job that failed
/// can be sent again in the morning.
pub const RETENTION_MS: u64 = 24 * 3_600_000;

/// Identity of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Name {
    /// Key in the store.
    pub key: String,
    /// Digest of the request.
    pub digest: String,
}

/// The value of a claim in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Digest of the request; a different request with the same key is refused.
    pub digest: String,
    /// Nonce of the attempt that acquired the claim; it identifies that attempt when the record is
    /// read back after the answer of the store was lost.
    pub nonce: u64,
    /// Wall-clock time after which a claim that is still running counts as unknown.
    pub deadline: Instant,
    /// State of the request.
    pub state: State,
}

/// The state of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Claimed, and possibly sent.
    Running,
    /// Answered.
    Done(Answer),
    /// Sent, but the answer was lost.
    Unknown,
    /// Certainly not sent; the key may be claimed again.
    NotRun,
}

/// A recorded answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type, if the service set one.
    #[serde(default)]
    pub content_type: Option<String>,
    /// Body; it is stored behind the record or, if it is large, in parts.
    #[serde(skip)]
    pub body: Bytes,
}

impl Record {
    /// Returns the record with the new state.
    ///
    /// # Panics
    ///
    /// When the change could let a request run twice. Only a running claim may change, since a
    /// recorded end is final; a request that was certainly not sent may run again under a new
    /// record.
    #[must_use]
    pub fn transition(&self, state: State) -> Self {
        let allowed = matches!(
            (&self.state, &state),
            (
                State::Running,
                State::Done(_) | State::Unknown | State::NotRun
            )
        );
        assert!(
            allowed,
            "a claim would change from {:?} to {state:?}",
            self.state
        );
        Self {
            state,
            ..self.clone()
        }
    }

    /// Returns the identity under which the request is billed, which is the same on every instance
    /// that replays the recorded answer.
    #[must_use]
    pub fn billing_id(&self) -> String {
        format!("claim-{:016x}-{}", self.nonce, self.digest)
    }
}

/// A claim held by this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Key in the store.
    pub key: String,
    /// Version of the record in the store.
    pub version: u64,
    /// Record.
    pub record: Record,
    /// Lease with which the record expires.
    pub lease: Option<u64>,
}

/// The result for a sender whose key is already claimed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The recorded answer, with the identity under which it is billed.
    Replay(Answer, String),
    /// The request of another sender is still running.
    StillRunning,
    /// The request may have run.
    Unknown,
    /// The key was used with a different request.
    Mismatch,
    /// The request was certainly not sent; the key may be claimed again by a swap.
    Reclaim,
}

/// Returns the verdict of an existing record for a sender of the request with `digest`.
#[must_use]
pub fn verdict_for(record: &Record, digest: &str, now: Instant) -> Verdict {
    if record.digest != digest {
        return Verdict::Mismatch;
    }
    match &record.state {
        State::Done(answer) => Verdict::Replay(answer.clone(), record.billing_id()),
        State::Running if now < record.deadline => Verdict::StillRunning,
        State::Running | State::Unknown => Verdict::Unknown,
        State::NotRun => Verdict::Reclaim,
    }
}
