//! The attempts of a completion at backend servers.

use std::sync::Arc;

use bytes::Bytes;
use fescuerack_config::key;
use fescuerack_core::attempt::{Attempts, End, Next, Outcome};
use fescuerack_core::clock::Instant;
use fescuerack_platform::Fault;
use fescuerack_platform::engine::Event;
use fescuerack_wire::chat::Completion;

use super::upstream::{self, Events};
use crate::shared::{Force, Shared};

/// Attempts that one request may make.
const MOST_ATTEMPTS: u32 = 3;

/// What every attempt of a request sends.
#[derive(Clone, Debug)]
pub struct Work {
    /// Version that answers.
    pub version: key::Version,
    /// Path at the engine.
    pub path: &'static str,
    /// Priority at the engine.
    pub priority: u8,
    /// Body for the engine.
    pub body: Bytes,
    /// When the answer is due.
    pub deadline: Instant,
}

/// An answer that has begun.
pub struct Begun {
    /// Its first part.
    pub first: Completion,
    /// What follows.
    pub events: Events,
}

/// Why no answer has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No healthy server could take the request.
    NoServer(Outcome),
    /// Every attempt failed.
    Failed(Outcome),
}

/// The attempts of one completion.
pub struct Run {
    shared: Arc<Shared>,
    force: Arc<Force>,
    attempts: Attempts,
    work: Work,
}

impl Run {
    /// Prepares the attempts of `work`; none is made yet.
    pub fn new(shared: Arc<Shared>, force: Arc<Force>, work: Work) -> Self {
        Self {
            attempts: Attempts::new(true, work.deadline, MOST_ATTEMPTS),
            shared,
            force,
            work,
        }
    }

    /// Makes attempts until one has brought its first part.
    ///
    /// # Errors
    ///
    /// When none did.
    pub async fn begin(&mut self) -> Result<Begun, Failure> {
        loop {
            let fleets = &self.force.catalog.versions[self.work.version].fleets;
            let tried = self.attempts.tried();
            let Some(running) = self.shared.start_attempt(fleets, tried) else {
                return Err(Failure::NoServer(self.attempts.outcome()));
            };
            self.attempts.start(running.server);
            let mut events = upstream::start(&self.shared, running, self.work.clone());
            let end = match events.recv().await {
                Some(Ok(Event::Part(first))) => return Ok(Begun { first, events }),
                Some(Ok(Event::End)) | None => End::Unknown,
                Some(Err(fault)) => end_of(&fault),
            };
            self.end(end)?;
        }
    }

    /// Ends an attempt of which nothing was handed on; another may follow.
    ///
    /// # Errors
    ///
    /// When no other attempt may follow.
    pub fn end(&mut self, end: End) -> Result<(), Failure> {
        self.shared.metrics.count("attempts.failed");
        match self.attempts.end(self.shared.now(), end, false) {
            Next::Retry => Ok(()),
            Next::Stop(outcome) => Err(Failure::Failed(outcome)),
        }
    }
}

/// Returns how an attempt ended that met `fault`.
pub fn end_of(fault: &Fault) -> End {
    match fault {
        Fault::NotSent(_) => End::NotRun,
        Fault::Unknown(_) | Fault::Malformed(_) => End::Unknown,
        Fault::Refused { .. } => End::Failed,
    }
}
