//! The attempts of a completion at backend servers, with retries and hedging.

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
use crate::in_flight::LEAVING_MESSAGE;
use crate::node_state::{ActiveConfiguration, NodeState, lock};
use crate::versions::suspects;

/// Maximum number of attempts of one request, hedges included.
const MAX_ATTEMPTS: u32 = 3;

/// What every attempt of a request sends to its engine.
#[derive(Clone, Debug)]
pub struct AttemptSpec {
    /// Version that answers.
    pub version: key::Version,
    /// Path of the request at the engine.
    pub path: &'static str,
    /// Priority at the engine.
    pub priority: u8,
    /// Fingerprint under which crashes of servers are counted for the request.
    pub fingerprint: Fingerprint,
    /// Body of the request to the engine.
    pub body: Bytes,
    /// When the answer is due.
    pub deadline: Instant,
}

/// An answer whose first part has been received.
pub struct StartedAnswer {
    /// First part of the answer.
    pub first: Completion,
    /// Events after the first part.
    pub events: Events,
}

/// Why no answer was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No healthy server could take the request.
    NoServer(Outcome),
    /// Every attempt failed.
    Failed(Outcome),
    /// Servers crashed while they ran the request; it is not run again.
    Crashes(Outcome),
}

/// Runs the attempts of one completion.
pub struct AttemptRunner {
    shared: Arc<NodeState>,
    active: Arc<ActiveConfiguration>,
    attempts: Attempts,
    spec: AttemptSpec,
    prompt: Prompt,
    meter: Meter,
    fleet: Option<key::Fleet>,
    hedged: bool,
}

/// An attempt whose first part has not been received.
struct UnansweredAttempt {
    events: Events,
}

impl AttemptRunner {
    /// Prepares the attempts of `spec`; none is made yet.
    pub fn new(
        shared: Arc<NodeState>,
        active: Arc<ActiveConfiguration>,
        spec: AttemptSpec,
    ) -> Self {
        Self {
            attempts: Attempts::new(true, spec.deadline, MAX_ATTEMPTS),
            prompt: Prompt::new(&spec.body),
            meter: Meter::default(),
            fleet: None,
            hedged: false,
            shared,
            active,
            spec,
        }
    }

    /// Sets the meter that reports the attempts' progress to admission.
    pub fn with_meter(mut self, meter: Meter) -> Self {
        self.meter = meter;
        self
    }

    /// Makes attempts until one returns its first part.
    ///
    /// # Errors
    ///
    /// When no attempt did.
    pub async fn start(&mut self) -> Result<StartedAnswer, Failure> {
        loop {
            if !suspects::admit(&self.shared, self.spec.fingerprint).await {
                return Err(Failure::Crashes(self.attempts.outcome()));
            }
            if suspects::is_suspected(&self.shared, self.spec.fingerprint) {
                let latest = self.shared.now().plus_millis(poison::MAX_RERUN_MS);
                self.spec.deadline = self.spec.deadline.min(latest);
            }
            if self.attempts.made() > 0 {
                let now = self.shared.now();
                let pause = self.attempts.backoff(now, &mut *lock(&self.shared.rng));
                tokio::time::sleep(pause).await;
            }
            let Some(pending) = self.send() else {
                return Err(Failure::NoServer(self.attempts.outcome()));
            };
            match self.wait_with_hedge(pending).await {
                Ok(started) => return Ok(started),
                Err(outcome) => self.record_end(outcome)?,
            }
        }
    }

    /// Sends an attempt to a server that was not tried; returns `None` when
    /// there is none or the request may no longer run.
    fn send(&mut self) -> Option<UnansweredAttempt> {
        let fleets = &self.active.catalog.versions[self.spec.version].fleets;
        let fingerprint = self.spec.fingerprint;
        let avoid = suspects::avoid(&self.shared, fingerprint, self.attempts.tried());
        let request = Request {
            fleets,
            avoid: &avoid,
            work: self.prompt.work,
            prompt_tokens: self.prompt.tokens,
            prefix: self.prompt.prefix,
            adapter: None,
        };
        let running = self.shared.start_attempt_with(&request)?;
        if !suspects::start(&self.shared, fingerprint, running.server) {
            return None;
        }
        self.attempts.start(running.server);
        self.fleet = Some(running.fleet);
        let spec = self.spec.clone();
        let events = upstream::start(&self.shared, running, spec, self.meter.clone());
        Some(UnansweredAttempt { events })
    }

    /// Waits for the first part of an attempt and, once the attempt is late, of
    /// a hedge beside it. If one of them fails, the other is awaited; otherwise
    /// the slower one is cancelled.
    async fn wait_with_hedge(
        &mut self,
        mut pending: UnansweredAttempt,
    ) -> Result<StartedAnswer, AttemptOutcome> {
        let Some(delay) = self.hedge_delay() else {
            return pending.into_answer().await;
        };
        if let Ok(first) = tokio::time::timeout(delay, pending.receive_first_part()).await {
            return pending.into_started(first);
        }
        let Some(mut hedge) = self.send_hedge() else {
            return pending.into_answer().await;
        };
        tokio::select! {
            first = pending.receive_first_part() => match first {
                Ok(_) => pending.into_started(first),
                Err(_) => hedge.into_answer().await,
            },
            first = hedge.receive_first_part() => match first {
                Ok(_) => {
                    self.shared.metrics.count("attempts.hedge_won");
                    hedge.into_started(first)
                }
                Err(_) => pending.into_answer().await,
            },
        }
    }

    /// Returns the delay after which a hedge is worth its cost; `None` when no
    /// hedge may be sent. While requests wait for admission, none is.
    fn hedge_delay(&self) -> Option<std::time::Duration> {
        let waiting = self.shared.gate.load().1;
        // A request suspected of crashing servers runs on one server at a time.
        let is_suspected = suspects::is_suspected(&self.shared, self.spec.fingerprint);
        if self.hedged || is_suspected || waiting > 0 || self.attempts.made() >= MAX_ATTEMPTS {
            return None;
        }
        let min_s = self.active.catalog.limit("attempt.hedge-ms") / 1000.0;
        let remaining = self.spec.deadline.since(self.shared.now());
        let routes = lock(&self.shared.routes);
        hedge::delay(routes.first_token_mean(self.fleet?)?, min_s, remaining)
    }

    /// Sends a hedge if the hedge budget allows it.
    fn send_hedge(&mut self) -> Option<UnansweredAttempt> {
        let now = self.shared.now();
        if !lock(&self.shared.pools).try_take_hedge(now, self.fleet?) {
            return None;
        }
        self.hedged = true;
        self.shared.metrics.count("attempts.hedged");
        self.send()
    }

    /// Records the outcome of an attempt of which nothing was sent to the
    /// caller; returns `Ok` when another may follow.
    ///
    /// # Errors
    ///
    /// When no other attempt may follow.
    pub fn record_end(&mut self, outcome: AttemptOutcome) -> Result<(), Failure> {
        self.shared.metrics.count("attempts.failed");
        match self.attempts.end(self.shared.now(), outcome, false) {
            // An attempt that certainly did not run has cost no server any work,
            // so its retry takes nothing from the retry budget.
            Next::Retry if outcome == AttemptOutcome::NotRun || self.may_retry() => Ok(()),
            Next::Retry => Err(Failure::Failed(self.attempts.outcome())),
            Next::Stop(outcome) => Err(Failure::Failed(outcome)),
        }
    }

    fn may_retry(&self) -> bool {
        self.fleet
            .is_some_and(|fleet| self.shared.try_take_retry(fleet))
    }
}

impl UnansweredAttempt {
    async fn receive_first_part(&mut self) -> Result<Completion, AttemptOutcome> {
        match self.events.recv().await {
            Some(Ok(Event::Part(first))) => Ok(first),
            Some(Ok(Event::End)) | None => Err(AttemptOutcome::Unknown),
            Some(Err(fault)) => Err(outcome_of(&fault)),
        }
    }

    async fn into_answer(mut self) -> Result<StartedAnswer, AttemptOutcome> {
        let first = self.receive_first_part().await;
        self.into_started(first)
    }

    fn into_started(
        self,
        first: Result<Completion, AttemptOutcome>,
    ) -> Result<StartedAnswer, AttemptOutcome> {
        let events = self.events;
        first.map(|first| StartedAnswer { first, events })
    }
}

/// Returns the outcome of an attempt that ended with `fault`.
pub fn outcome_of(fault: &Fault) -> AttemptOutcome {
    match fault {
        Fault::NotSent(_) => AttemptOutcome::NotRun,
        Fault::Refused { message, .. } if message.trim() == LEAVING_MESSAGE => {
            AttemptOutcome::NotRun
        }
        Fault::Unknown(_) | Fault::Malformed(_) => AttemptOutcome::Unknown,
        Fault::Refused { .. } | Fault::Failed { .. } => AttemptOutcome::Failed,
    }
}
