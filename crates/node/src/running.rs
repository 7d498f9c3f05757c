//! An attempt that runs on a backend server: what it tells the tables.

use std::collections::BTreeSet;
use std::sync::Arc;

use fescuerack_client::Fault;
use fescuerack_client::service::Answer;
use fescuerack_config::key;
use fescuerack_core::clock::Instant;
use fescuerack_core::route::{Outcome, Request};

use crate::shared::{Shared, lock};

/// What a server that leaves says in a refusal.
pub const LEAVING: &str = "leaving";

/// An attempt that runs on a backend server; dropping it ends the count.
pub struct Running {
    shared: Arc<Shared>,
    /// The server.
    pub server: key::Server,
    /// Its fleet.
    pub fleet: key::Fleet,
    /// Its address.
    pub address: String,
    start: Instant,
    work: u32,
    clear: bool,
    answered: bool,
    ended: Outcome,
}

impl Shared {
    /// Chooses a backend server for a call of a plain service and counts an
    /// attempt on it.
    #[must_use]
    pub fn start_attempt(
        self: &Arc<Self>,
        fleets: &[key::Fleet],
        avoid: &BTreeSet<key::Server>,
    ) -> Option<Running> {
        let ask = Request {
            fleets,
            avoid,
            work: 1,
            prompt_tokens: 0,
            prefix: None,
            adapter: None,
        };
        self.place_attempt(&ask)
    }

    /// Chooses a backend server and counts an attempt on it.
    #[must_use]
    pub fn place_attempt(self: &Arc<Self>, ask: &Request<'_>) -> Option<Running> {
        let now = self.now();
        let mut routes = lock(&self.routes);
        let server = routes.choose(now, ask, &mut *lock(&self.rng))?;
        let clear = routes.start_attempt(now, server, ask.work);
        let found = routes.get(server)?;
        let (fleet, address) = (found.fleet, found.address.clone());
        drop(routes);
        if ask.avoid.is_empty() {
            lock(&self.pools).record_first_attempt(now, fleet);
        }
        Some(Running {
            shared: Arc::clone(self),
            server,
            fleet,
            address,
            start: now,
            work: ask.work,
            clear,
            answered: false,
            ended: Outcome::Ignored,
        })
    }
}

impl Running {
    /// Records that a part of the answer came; only the first one counts.
    pub fn answered(&mut self) {
        if self.answered {
            return;
        }
        self.answered = true;
        let now = self.shared.now();
        let took = now.since(self.start).as_secs_f64();
        lock(&self.shared.routes).record_first_token(now, self.server, took, self.clear);
    }

    /// Records that the answer is whole.
    pub fn ended_well(&mut self) {
        self.ended = Outcome::Success;
    }

    /// Records that the attempt failed.
    pub fn failed(&mut self, fault: &Fault) {
        self.ended = match fault {
            Fault::Refused { message, .. } if message.trim() == LEAVING => {
                lock(&self.shared.routes).mark_leaving(self.shared.now(), self.server);
                Outcome::Ignored
            }
            // The request was wrong, or the server has too much to do: neither
            // says that it is sick.
            Fault::Refused { status, .. } if *status < 500 || *status == 503 => Outcome::Ignored,
            Fault::Refused { .. } | Fault::NotSent(_) | Fault::Unknown(_) | Fault::Malformed(_) => {
                Outcome::Failure
            }
        };
    }

    /// Records how a call of a plain service ended.
    pub fn called(&mut self, result: &Result<Answer, Fault>) {
        match result {
            Ok(answer) => {
                self.answered();
                self.ended = if answer.status < 500 {
                    Outcome::Success
                } else {
                    Outcome::Failure
                };
            }
            Err(fault) => self.failed(fault),
        }
    }

    /// Takes a retry from the budget of the server's pool.
    #[must_use]
    pub fn may_retry(&self) -> bool {
        self.shared.may_retry(self.fleet)
    }
}

impl Shared {
    /// Takes a retry from the budget of a pool.
    #[must_use]
    pub fn may_retry(&self, fleet: key::Fleet) -> bool {
        let may = lock(&self.pools).try_take_retry(self.now(), fleet);
        self.metrics.count(if may {
            "attempts.retried"
        } else {
            "attempts.retry_denied"
        });
        may
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut routes = lock(&self.shared.routes);
        routes.end_attempt(now, self.server, self.work, self.ended, self.answered);
        drop(routes);
        if self.ended != Outcome::Ignored {
            let well = self.ended == Outcome::Success;
            lock(&self.shared.pools).record_result(now, self.fleet, well);
        }
    }
}
