//! Attempts in flight on backend servers: chooses the server of an attempt and
//! records the attempt's progress and outcome in the route table and in the
//! pools.

use std::collections::BTreeSet;
use std::sync::Arc;

use fescuerack_client::Fault;
use fescuerack_client::service::Answer;
use fescuerack_config::key;
use fescuerack_core::clock::Instant;
use fescuerack_core::route::{Outcome, Request};

use crate::node_state::{NodeState, lock};

/// Message with which a server that shuts down refuses a request.
pub const LEAVING_MESSAGE: &str = "leaving";

/// An attempt in flight on a backend server. Dropping it records its end.
pub struct InFlight {
    shared: Arc<NodeState>,
    /// The server.
    pub server: key::Server,
    /// Its fleet.
    pub fleet: key::Fleet,
    /// Its address.
    pub address: String,
    start: Instant,
    work: u32,
    had_free_slot: bool,
    has_answered: bool,
    outcome: Outcome,
}

impl NodeState {
    /// Chooses a backend server for a call of a plain service and starts an
    /// attempt on it. Returns `None` when no server is available.
    #[must_use]
    pub fn start_attempt(
        self: &Arc<Self>,
        fleets: &[key::Fleet],
        avoid: &BTreeSet<key::Server>,
    ) -> Option<InFlight> {
        let request = Request {
            fleets,
            avoid,
            work: 1,
            prompt_tokens: 0,
            prefix: None,
            adapter: None,
        };
        self.start_attempt_with(&request)
    }

    /// Chooses a backend server for a request and starts an attempt on it.
    /// Returns `None` when no server is available.
    #[must_use]
    pub fn start_attempt_with(self: &Arc<Self>, request: &Request<'_>) -> Option<InFlight> {
        let now = self.now();
        let mut routes = lock(&self.routes);
        let server = routes.choose(now, request, &mut *lock(&self.rng))?;
        let had_free_slot = routes.start_attempt(now, server, request.work);
        let found = routes.get(server)?;
        let (fleet, address) = (found.fleet, found.address.clone());
        drop(routes);
        if request.avoid.is_empty() {
            lock(&self.pools).record_first_attempt(now, fleet);
        }
        Some(InFlight {
            shared: Arc::clone(self),
            server,
            fleet,
            address,
            start: now,
            work: request.work,
            had_free_slot,
            has_answered: false,
            outcome: Outcome::Ignored,
        })
    }
}

impl InFlight {
    /// Records that a part of the answer has arrived. Only the first part
    /// counts: it gives the time to first token.
    pub fn record_part(&mut self) {
        if self.has_answered {
            return;
        }
        self.has_answered = true;
        let now = self.shared.now();
        let took = now.since(self.start).as_secs_f64();
        lock(&self.shared.routes).record_first_token(now, self.server, took, self.had_free_slot);
    }

    /// Records that the answer is complete.
    pub fn record_success(&mut self) {
        self.outcome = Outcome::Success;
    }

    /// Records that the attempt failed.
    pub fn record_failure(&mut self, fault: &Fault) {
        self.outcome = match fault {
            Fault::Refused { message, .. } if message.trim() == LEAVING_MESSAGE => {
                lock(&self.shared.routes).mark_leaving(self.shared.now(), self.server);
                Outcome::Ignored
            }
            // The request was invalid or the server is overloaded: neither
            // means that the server is unhealthy.
            Fault::Refused { rest_ms, .. } => {
                self.record_rest(*rest_ms);
                Outcome::Ignored
            }
            Fault::Failed { .. } | Fault::NotSent(_) | Fault::Unknown(_) | Fault::Malformed(_) => {
                Outcome::Failure
            }
        };
    }

    /// Records that the server wants nothing from this instance for `rest_ms` milliseconds.
    fn record_rest(&self, rest_ms: Option<u64>) {
        let Some(rest_ms) = rest_ms else {
            return;
        };
        self.shared.metrics.count("upstream.rests");
        log::info!("{} asks for {rest_ms} ms of rest", self.address);
        let spread = self.shared.random_fraction();
        let now = self.shared.now();
        lock(&self.shared.routes).mark_resting(now, self.server, rest_ms, spread);
    }

    /// Records the result of a call of a plain service.
    pub fn record_service_result(&mut self, result: &Result<Answer, Fault>) {
        match result {
            Ok(answer) => {
                self.record_part();
                self.outcome = if answer.status < 500 {
                    Outcome::Success
                } else {
                    Outcome::Failure
                };
            }
            Err(fault) => self.record_failure(fault),
        }
    }

    /// Takes a retry from the budget of the server's pool; returns whether the
    /// budget allowed it.
    #[must_use]
    pub fn try_take_retry(&self) -> bool {
        self.shared.try_take_retry(self.fleet)
    }
}

impl NodeState {
    /// Takes a retry from the budget of a pool; returns whether the budget
    /// allowed it.
    #[must_use]
    pub fn try_take_retry(&self, fleet: key::Fleet) -> bool {
        let is_allowed = lock(&self.pools).try_take_retry(self.now(), fleet);
        self.metrics.count(if is_allowed {
            "attempts.retried"
        } else {
            "attempts.retry_denied"
        });
        is_allowed
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut routes = lock(&self.shared.routes);
        routes.end_attempt(now, self.server, self.work, self.outcome, self.has_answered);
        drop(routes);
        if self.outcome != Outcome::Ignored {
            let is_success = self.outcome == Outcome::Success;
            lock(&self.shared.pools).record_result(now, self.fleet, is_success);
        }
    }
}
