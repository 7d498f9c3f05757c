//! Attempts of a request at backend servers: when another one may follow.

use std::collections::BTreeSet;

use fescuerack_config::key;

use crate::clock::Instant;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
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
    pub fn end(&mut self, now: Instant, end: End, handed_on: bool) -> Next {
        self.perhaps_run |= end != End::NotRun;
        if end == End::Done {
            return Next::Stop(Outcome::Done);
        }
        let repeatable = self.idempotent || !self.perhaps_run;
        if repeatable && !handed_on && self.made < self.most && now < self.deadline {
            return Next::Retry;
        }
        Next::Stop(self.outcome())
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
