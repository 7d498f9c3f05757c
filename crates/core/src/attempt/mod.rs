//! Attempts of a request at backend servers, and when another attempt may follow.
//!
//! When a pool fails or slows down, every waiting request is sent again. Three attempts per request
//! triple the load on a pool that already fails, and keep it failing after the cause is gone. So
//! each further attempt is taken from the retry budget of its pool ([`budget`]), none is made while
//! the counts of this instance and its peers show the pool as failing ([`pools`]), and the deadline
//! of the request bounds all attempts and is never extended.
//!
//! Retries are made only here: the HTTP clients do not retry and instances do not forward requests
//! to each other, so attempts do not multiply between layers.
//!
//! A request that is not idempotent gets a further attempt only while it has certainly not run, and
//! is never hedged ([`hedge`]). [`Attempts::start`] panics rather than run it twice.

pub mod budget;
pub mod hedge;
pub mod pools;

use std::collections::BTreeSet;
use std::time::Duration;

use fescuerack_config::key;
use rand::{Rng, RngExt as _};

use crate::clock::Instant;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptOutcome {
    /// The complete answer arrived.
    Done,
    /// No byte of the request was sent, or the server reported that it did not start.
    NotRun,
    /// The connection broke or timed out after bytes had been sent.
    Unknown,
    /// The server answered with an error.
    Failed,
}

/// The outcome of a request, as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request was answered.
    Done,
    /// The request has certainly not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// What follows an attempt that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Another attempt, at another server.
    Retry,
    /// The request ends.
    Stop(Outcome),
}

/// The attempts of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    idempotent: bool,
    deadline: Instant,
    max: u32,
    made: u32,
    may_have_run: bool,
    tried: BTreeSet<key::Server>,
}

impl Attempts {
    /// Creates the state of a request that may be attempted at most `max_attempts` times.
    #[must_use]
    pub fn new(idempotent: bool, deadline: Instant, max_attempts: u32) -> Self {
        Self {
            idempotent,
            deadline,
            max: max_attempts,
            made: 0,
            may_have_run: false,
            tried: BTreeSet::new(),
        }
    }

    /// Records an attempt at `server`.
    ///
    /// # Panics
    ///
    /// Panics if the request is not idempotent and may already have run, because a second run would
    /// repeat its effects.
    pub fn start(&mut self, server: key::Server) {
        assert!(
            self.idempotent || !self.may_have_run,
            "a non-idempotent request would run twice"
        );
        self.made += 1;
        self.tried.insert(server);
    }

    /// Records the end of an attempt and decides what follows. `relayed` is whether a part of the
    /// answer was already passed on to the caller.
    pub fn end(&mut self, now: Instant, outcome: AttemptOutcome, relayed: bool) -> Next {
        self.may_have_run |= outcome != AttemptOutcome::NotRun;
        if outcome == AttemptOutcome::Done {
            return Next::Stop(Outcome::Done);
        }
        let repeatable = self.idempotent || !self.may_have_run;
        if repeatable && !relayed && self.made < self.max && now < self.deadline {
            return Next::Retry;
        }
        Next::Stop(self.outcome())
    }

    /// Maximum backoff before the second attempt, in milliseconds.
    const BACKOFF_BASE_MS: u64 = 20;
    /// Maximum backoff before any attempt, in milliseconds.
    const BACKOFF_MAX_MS: u64 = 500;

    /// Returns how long to wait before the next attempt: exponential backoff with full jitter,
    /// never beyond the deadline. The jitter spreads the retries of requests that a failing server
    /// dropped at the same time.
    #[must_use]
    pub fn backoff<R: Rng>(&self, now: Instant, rng: &mut R) -> Duration {
        let doublings = self.made.saturating_sub(1).min(8);
        let max_ms = (Self::BACKOFF_BASE_MS << doublings).min(Self::BACKOFF_MAX_MS);
        let backoff = Duration::from_millis(rng.random_range(0..=max_ms));
        backoff.min(self.deadline.since(now))
    }

    /// Returns the number of attempts made.
    #[must_use]
    pub fn made(&self) -> u32 {
        self.made
    }

    /// Returns the outcome if no further attempt is made and none was answered.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        if self.may_have_run {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }

    /// Returns the servers that have been tried.
    #[must_use]
    pub fn tried(&self) -> &BTreeSet<key::Server> {
        &self.tried
    }
}
