//! Claims of non-idempotent requests: each runs at most once.
//!
//! A claim is created in the store, if absent, before a byte of the request
//! leaves for a backend server. Whoever creates it may run the request; every
//! other sender of the same key gets what the record says.
//!
//! What goes wrong without it: a caller loses the answer to a booking, sends
//! it again through another instance, and two sitters stand at one door.
//!
//! - [`Claiming`] takes a claim, or learns what became of it.
//! - [`Recording`] records how a claimed request ended.
//! - [`Record`] is what the store holds; its states only move along
//!   [`Record::transition`], which is asserted.
//!
//! A record vanishes with a lease after [`RETENTION_MS`], so that the store
//! does not fill. A key that is used again after that is a new request.

mod claiming;
mod codec;
mod recording;

pub use claiming::{Claiming, Outcome};
pub use recording::Recording;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::clock::Instant;

/// Milliseconds for which a claim is kept at least: a day, so that a caller
/// whose night job failed may send it again in the morning.
pub const RETENTION_MS: u64 = 24 * 3_600_000;

/// Names one claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Name {
    /// Key in the store.
    pub key: String,
    /// Digest of the request.
    pub digest: String,
}

/// What the store holds of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Digest of the request; another request under the same key is refused.
    pub digest: String,
    /// Nonce of the claim's taker, read back after an ambiguous answer of the
    /// store.
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
    Done(Answer),
    /// Sent, and the answer was lost.
    Unknown,
    /// Surely not sent; the key may be claimed again.
    NotRun,
}

/// An answer that is recorded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type, when the service named one.
    #[serde(default)]
    pub content_type: Option<String>,
    /// Body; it stands behind the record or, when it is large, in parts.
    #[serde(skip)]
    pub body: Bytes,
}

impl Record {
    /// Returns the record with another state.
    ///
    /// # Panics
    ///
    /// When the move could let a request run twice: only a claim that surely
    /// was not sent may run again, and an end is never taken back.
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
            "a claim would move from {:?} to {state:?}",
            self.state
        );
        Self {
            state,
            ..self.clone()
        }
    }

    /// Returns the identity under which the request is billed: the same one
    /// for every instance that hands on its recorded answer.
    #[must_use]
    pub fn billing_id(&self) -> String {
        format!("claim-{:016x}-{}", self.nonce, self.digest)
    }
}

/// A claim that this process holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Key in the store.
    pub key: String,
    /// Version of its record.
    pub version: u64,
    /// Its record.
    pub record: Record,
    /// Lease with which it vanishes.
    pub lease: Option<u64>,
}

/// What to tell a sender whose key is already claimed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The recorded answer, with the identity under which it is billed.
    Replay(Answer, String),
    /// Another sender's run has not ended.
    StillRunning,
    /// It may have run.
    Unknown,
    /// The key was used with another request.
    Mismatch,
    /// The earlier claim was surely not sent; it may be claimed again by a swap.
    Reclaim,
}

/// Decides what a sender of a request `digest` gets from an existing record.
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
