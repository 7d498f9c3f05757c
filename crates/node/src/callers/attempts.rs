//! The attempts of a completion at backend servers.

use std::sync::Arc;

use bytes::Bytes;
use fescuerack_client::Fault;
use fescuerack_client::engine::Event;
use fescuerack_config::key;
use fescuerack_core::attempt::{AttemptOutcome, Attempts, Next, Outcome, hedge};
use fescuerack_core::clock::Instant;
use fescuerack_core::poison::{self, Fingerprint};
use fescuerack_core::route::Request;
use fescuerack_wire::chat::Completion;

use super::prompt::Prompt;
use super::upstream::{self, Events};
use crate::admission::Meter;
use crate::running::LEAVING;
use crate::shared::{Force, Shared, lock};
use crate::versions::suspects;

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
    /// What the request is known by if its server crashes.
    pub fingerprint: Fingerprint,
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
    /// Servers crashed under it; it does not run again.
    Crashes(Outcome),
}

/// The attempts of one completion.
pub struct Run {
    shared: Arc<Shared>,
    force: Arc<Force>,
    attempts: Attempts,
    work: Work,
    prompt: Prompt,
    meter: Meter,
    fleet: Option<key::Fleet>,
    hedged: bool,
}

/// An attempt whose first part has not come.
struct Sent {
    events: Events,
}

impl Run {
    /// Prepares the attempts of `work`; none is made yet.
    pub fn new(shared: Arc<Shared>, force: Arc<Force>, work: Work) -> Self {
        Self {
            attempts: Attempts::new(true, work.deadline, MOST_ATTEMPTS),
            prompt: Prompt::new(&work.body),
            meter: Meter::default(),
            fleet: None,
            hedged: false,
            shared,
            force,
            work,
        }
    }

    /// Tells admission how the attempts go.
    pub fn with_meter(mut self, meter: Meter) -> Self {
        self.meter = meter;
        self
    }

    /// Makes attempts until one has brought its first part.
    ///
    /// # Errors
    ///
    /// When none did.
    pub async fn begin(&mut self) -> Result<Begun, Failure> {
        loop {
            if !suspects::admit(&self.shared, self.work.fingerprint).await {
                return Err(Failure::Crashes(self.attempts.outcome()));
            }
            if suspects::is_suspected(&self.shared, self.work.fingerprint) {
                let latest = self.shared.now().plus_millis(poison::MAX_RERUN_MS);
                self.work.deadline = self.work.deadline.min(latest);
            }
            if self.attempts.made() > 0 {
                let now = self.shared.now();
                let pause = self.attempts.backoff(now, &mut *lock(&self.shared.rng));
                tokio::time::sleep(pause).await;
            }
            let Some(sent) = self.send() else {
                return Err(Failure::NoServer(self.attempts.outcome()));
            };
            match self.first(sent).await {
                Ok(begun) => return Ok(begun),
                Err(end) => self.end(end)?,
            }
        }
    }

    /// Sends an attempt to a server that was not tried.
    fn send(&mut self) -> Option<Sent> {
        let fleets = &self.force.catalog.versions[self.work.version].fleets;
        let fingerprint = self.work.fingerprint;
        let avoid = suspects::avoid(&self.shared, fingerprint, self.attempts.tried());
        let ask = Request {
            fleets,
            avoid: &avoid,
            work: self.prompt.work,
            prompt_tokens: self.prompt.tokens,
            prefix: self.prompt.prefix,
            adapter: None,
        };
        let running = self.shared.place_attempt(&ask)?;
        if !suspects::start(&self.shared, fingerprint, running.server) {
            return None;
        }
        self.attempts.start(running.server);
        self.fleet = Some(running.fleet);
        let work = self.work.clone();
        let events = upstream::start(&self.shared, running, work, self.meter.clone());
        Some(Sent { events })
    }

    /// Waits for the first part of an attempt, and of a hedge beside it once
    /// the attempt is late; the other one is cancelled.
    async fn first(&mut self, mut sent: Sent) -> Result<Begun, AttemptOutcome> {
        let Some(after) = self.hedge_after() else {
            return sent.first().await;
        };
        if let Ok(first) = tokio::time::timeout(after, sent.first_part()).await {
            return sent.begun(first);
        }
        let Some(mut hedge) = self.hedge() else {
            return sent.first().await;
        };
        tokio::select! {
            first = sent.first_part() => match first {
                Ok(_) => sent.begun(first),
                Err(_) => hedge.first().await,
            },
            first = hedge.first_part() => match first {
                Ok(_) => {
                    self.shared.metrics.count("attempts.hedge_won");
                    hedge.begun(first)
                }
                Err(_) => sent.first().await,
            },
        }
    }

    /// After which time a hedge would pay.
    fn hedge_after(&self) -> Option<std::time::Duration> {
        let waiting = self.shared.gate.load().1;
        // A suspect runs on one server at a time.
        let suspected = suspects::is_suspected(&self.shared, self.work.fingerprint);
        if self.hedged || suspected || waiting > 0 || self.attempts.made() >= MOST_ATTEMPTS {
            return None;
        }
        let least_s = self.force.catalog.limit("attempt.hedge-ms") / 1000.0;
        let remaining = self.work.deadline.since(self.shared.now());
        let routes = lock(&self.shared.routes);
        hedge::delay(routes.first_token_mean(self.fleet?)?, least_s, remaining)
    }

    fn hedge(&mut self) -> Option<Sent> {
        let now = self.shared.now();
        if !lock(&self.shared.pools).try_take_hedge(now, self.fleet?) {
            return None;
        }
        self.hedged = true;
        self.shared.metrics.count("attempts.hedged");
        self.send()
    }

    /// Ends an attempt of which nothing was handed on; another may follow.
    ///
    /// # Errors
    ///
    /// When no other attempt may follow.
    pub fn end(&mut self, end: AttemptOutcome) -> Result<(), Failure> {
        self.shared.metrics.count("attempts.failed");
        match self.attempts.end(self.shared.now(), end, false) {
            // What surely did not run has cost no server anything, and neither
            // does it cost the budget.
            Next::Retry if end == AttemptOutcome::NotRun || self.may_retry() => Ok(()),
            Next::Retry => Err(Failure::Failed(self.attempts.outcome())),
            Next::Stop(outcome) => Err(Failure::Failed(outcome)),
        }
    }

    fn may_retry(&self) -> bool {
        self.fleet.is_some_and(|fleet| self.shared.may_retry(fleet))
    }
}

impl Sent {
    async fn first_part(&mut self) -> Result<Completion, AttemptOutcome> {
        match self.events.recv().await {
            Some(Ok(Event::Part(first))) => Ok(first),
            Some(Ok(Event::End)) | None => Err(AttemptOutcome::Unknown),
            Some(Err(fault)) => Err(end_of(&fault)),
        }
    }

    async fn first(mut self) -> Result<Begun, AttemptOutcome> {
        let first = self.first_part().await;
        self.begun(first)
    }

    fn begun(self, first: Result<Completion, AttemptOutcome>) -> Result<Begun, AttemptOutcome> {
        let events = self.events;
        first.map(|first| Begun { first, events })
    }
}

/// Returns how an attempt ended that met `fault`.
pub fn end_of(fault: &Fault) -> AttemptOutcome {
    match fault {
        Fault::NotSent(_) => AttemptOutcome::NotRun,
        Fault::Refused { message, .. } if message.trim() == LEAVING => AttemptOutcome::NotRun,
        Fault::Unknown(_) | Fault::Malformed(_) => AttemptOutcome::Unknown,
        Fault::Refused { .. } => AttemptOutcome::Failed,
    }
}
