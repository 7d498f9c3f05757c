//! Attempts of a request at backend servers: when another one may follow.
//!
//! The pattern: a pool fails or slows, and everyone who waits sends again.
//! Three attempts for each request triple the load on a pool that already
//! fails, and keep it failing after the cause has gone. So a further attempt
//! needs a part of the budget of its pool ([`budget`]), none is made while
//! this instance and its peers see the pool failing ([`pools`]), and the
//! deadline of the request bounds all of them and is never extended.
//!
//! Retries are made here and nowhere else: the HTTP clients make none and
//! instances do not forward requests to each other, so attempts do not
//! multiply between levels.
//!
//! A request that is not idempotent gets a further attempt only while it surely
//! has not run, and never a hedge ([`hedge`]); [`Attempts::start`] stops the
//! process rather than run it twice.

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
    /// The whole answer arrived.
    Done,
    /// No byte of the request left, or the server said that it did not start.
    NotRun,
    /// The connection broke or timed out after bytes had left.
    Unknown,
    /// The server answered with an error of its own.
    Failed,
}

/// What a caller may be told of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Answered.
    Done,
    /// Surely not run.
    NotRun,
    /// Perhaps run.
    Unknown,
}

/// What follows an attempt that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Another attempt at another server.
    Retry,
    /// The request ends.
    Stop(Outcome),
}

/// The attempts of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    idempotent: bool,
    deadline: Instant,
    most: u32,
    made: u32,
    perhaps_run: bool,
    tried: BTreeSet<key::Server>,
}

impl Attempts {
    /// Creates the state of a request that may be attempted `most` times.
    #[must_use]
    pub fn new(idempotent: bool, deadline: Instant, most: u32) -> Self {
        Self {
            idempotent,
            deadline,
            most,
            made: 0,
            perhaps_run: false,
            tried: BTreeSet::new(),
        }
    }

    /// Records an attempt at `server`.
    ///
    /// # Panics
    ///
    /// When a request that is not idempotent may already have run: a second
    /// run would repeat what must not be repeated.
    pub fn start(&mut self, server: key::Server) {
        assert!(
            self.idempotent || !self.perhaps_run,
            "a non-idempotent request would run twice"
        );
        self.made += 1;
        self.tried.insert(server);
    }

    /// Decides what follows; `handed_on` says that the caller already has a
    /// part of the answer.
    pub fn end(&mut self, now: Instant, end: AttemptOutcome, handed_on: bool) -> Next {
        self.perhaps_run |= end != AttemptOutcome::NotRun;
        if end == AttemptOutcome::Done {
            return Next::Stop(Outcome::Done);
        }
        let repeatable = self.idempotent || !self.perhaps_run;
        if repeatable && !handed_on && self.made < self.most && now < self.deadline {
            return Next::Retry;
        }
        Next::Stop(self.outcome())
    }

    /// Milliseconds of the longest pause before the second attempt.
    const BACKOFF_BASE_MS: u64 = 20;
    /// Milliseconds of the longest pause at all.
    const BACKOFF_MAX_MS: u64 = 500;

    /// Returns how long to wait before the next attempt: a random part of a
    /// time that doubles, so that the requests that a failing server drops
    /// together do not come back together, and never beyond the deadline.
    #[must_use]
    pub fn backoff<R: Rng>(&self, now: Instant, rng: &mut R) -> Duration {
        let doublings = self.made.saturating_sub(1).min(8);
        let most = (Self::BACKOFF_BASE_MS << doublings).min(Self::BACKOFF_MAX_MS);
        let pause = Duration::from_millis(rng.random_range(0..=most));
        pause.min(self.deadline.since(now))
    }

    /// Returns how many attempts were made.
    #[must_use]
    pub fn made(&self) -> u32 {
        self.made
    }

    /// Returns what may be said when no further attempt is made.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        if self.perhaps_run {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }

    /// Returns the servers that were tried.
    #[must_use]
    pub fn tried(&self) -> &BTreeSet<key::Server> {
        &self.tried
    }
}
