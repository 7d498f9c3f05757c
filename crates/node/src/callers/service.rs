//! Calls of plain services. Calls of a non-idempotent service run at most once.

use std::sync::Arc;

use fescuerack_client::Fault;
use fescuerack_client::service::{self, Answer};
use fescuerack_config::{Service, folder};
use fescuerack_core::attempt::{AttemptOutcome, Attempts, Next, Outcome as RunOutcome};
use fescuerack_core::claim::{self, Name, Outcome, State, Verdict};
use fescuerack_wire::error::Kind;
use fescuerack_wire::header;

use super::reply::{Reply, buffered_reply, not_run_error, typed_error, with_header};
use super::request::Call;
use super::{admit, billing};
use crate::claims;
use crate::node_state::{ActiveConfiguration, NodeState};

/// Maximum number of attempts of one call. Only an idempotent call, or one that
/// certainly has not run, is attempted again.
const MAX_ATTEMPTS: u32 = 3;
/// Message for a call of a non-idempotent service without an idempotency key.
const NEEDS_KEY: &str = "calls of this service must not be repeated: send an Idempotency-Key \
    that stays the same when you send the call again; not run";

/// A call of a service that has been admitted.
struct Job {
    shared: Arc<NodeState>,
    active: Arc<ActiveConfiguration>,
    call: Call,
    service: Service,
    name: String,
    path: String,
}

/// Outcome and answer of a call.
struct Completed {
    outcome: RunOutcome,
    answer: Option<Answer>,
}

/// Answers a call; `rest` is `<service>/<path>`.
pub async fn answer(shared: Arc<NodeState>, call: Call, rest: &str) -> Reply {
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let active = shared.active_configuration();
    let allowed = active
        .catalog
        .organisations
        .get(call.organisation)
        .is_some_and(|organisation| organisation.services.contains(name));
    let service = active.catalog.services.get(name).filter(|_| allowed);
    let Some(service) = service.cloned() else {
        return not_run_error(
            Kind::Forbidden,
            "the organisation may not call this service",
        );
    };
    let mut call = call;
    let due = shared.now().plus_millis(service.deadline_ms);
    call.deadline = call.deadline.min(due);
    let permit = match admit::admit(&shared, &call, None).await {
        Ok(permit) => permit,
        Err(refusal) => return refusal.into(),
    };
    let path = match &call.query {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    };
    let job = Job {
        name: name.to_owned(),
        path,
        shared,
        active,
        call,
        service,
    };
    // The thread runs on when the caller disconnects, because the outcome of a
    // call that was sent must be recorded.
    let run = tokio::task::spawn_blocking(move || {
        let _permit = permit;
        job.run()
    });
    let unknown = || {
        typed_error(
            Kind::OutcomeUnknown,
            "the call ended abnormally",
            RunOutcome::Unknown,
        )
    };
    run.await.unwrap_or_else(|_| unknown())
}

impl Job {
    fn run(self) -> Reply {
        let reply = match &self.call.idempotency_key {
            Some(key) if !self.service.idempotent => {
                let name = self.claim_name(key);
                self.run_claimed(&name)
            }
            None if self.needs_key() => not_run_error(Kind::InvalidRequest, NEEDS_KEY),
            _ => {
                let billing_id = self.shared.random_id();
                self.reply(self.attempt(), billing_id)
            }
        };
        with_header(reply, header::REQUEST, &self.call.request)
    }

    /// Returns whether the call is refused without an `Idempotency-Key`. Without
    /// one, a resent call looks like a second one, and it could run twice. Reads
    /// are accepted without a key: by their method they change nothing.
    fn needs_key(&self) -> bool {
        let is_read = matches!(self.call.method.as_str(), "GET" | "HEAD" | "OPTIONS");
        !self.service.idempotent && !self.service.keyless && !is_read
    }

    fn claim_name(&self, key: &str) -> Name {
        let organisation = self.active.names.organisations.name(self.call.organisation);
        let request = [
            self.call.method.as_bytes(),
            b" ",
            self.path.as_bytes(),
            b"\n",
            &self.call.body,
        ];
        Name {
            key: format!(
                "claim/{organisation}/{}/{}",
                self.name,
                folder::digest(key.as_bytes())
            ),
            digest: folder::digest(&request.concat()),
        }
    }

    fn run_claimed(&self, name: &Name) -> Reply {
        match claims::claim(&self.shared, name, self.call.deadline) {
            Outcome::Claimed(claim) => {
                let completed = if claims::may_send(&self.shared, &claim) {
                    self.attempt()
                } else {
                    Completed::not_run()
                };
                claims::record(&self.shared, &claim, completed.state());
                self.reply(completed, claim.record.billing_id())
            }
            Outcome::Taken(verdict) => self.already_claimed(verdict),
            Outcome::StoreUnavailable { .. } => not_run_error(
                Kind::Unavailable,
                "the claim could not be kept in the store; not run",
            ),
        }
    }

    fn attempt(&self) -> Completed {
        let deadline = self.call.deadline;
        let mut attempts = Attempts::new(self.service.idempotent, deadline, MAX_ATTEMPTS);
        let fleets = [self.service.fleet];
        loop {
            let started = self.shared.start_attempt(&fleets, attempts.tried());
            let Some(mut running) = started else {
                return Completed {
                    outcome: attempts.outcome(),
                    answer: None,
                };
            };
            attempts.start(running.server);
            let remaining = deadline.since(self.shared.now());
            let call = self.service_call(running.address.clone());
            let agent = if self.service.idempotent {
                &self.shared.upstream
            } else {
                &self.shared.single_use_upstream
            };
            let result = service::call(agent, &call, remaining);
            let end = match &result {
                Ok(_) => AttemptOutcome::Done,
                Err(Fault::NotSent(_) | Fault::Refused { .. }) => AttemptOutcome::NotRun,
                Err(Fault::Failed { .. } | Fault::Unknown(_) | Fault::Malformed(_)) => {
                    AttemptOutcome::Unknown
                }
            };
            running.record_service_result(&result);
            let next = attempts.end(self.shared.now(), end, false);
            let next = match next {
                Next::Retry if end != AttemptOutcome::NotRun && !running.try_take_retry() => {
                    Next::Stop(attempts.outcome())
                }
                next => next,
            };
            if let Next::Stop(outcome) = next {
                return Completed {
                    outcome,
                    answer: result.ok(),
                };
            }
        }
    }

    fn service_call(&self, address: String) -> service::Call {
        service::Call {
            address,
            method: self.call.method.clone(),
            path: self.path.clone(),
            content_type: self.call.content_type.clone(),
            body: self.call.body.clone(),
            attempt: self.shared.random_id(),
            idempotency_key: self.call.idempotency_key.clone(),
        }
    }

    fn reply(&self, completed: Completed, billing_id: String) -> Reply {
        match (completed.outcome, completed.answer) {
            (RunOutcome::Done, Some(answer)) => self.answered(to_record(answer), billing_id),
            (RunOutcome::NotRun, _) => not_run_error(
                Kind::Unavailable,
                "no backend server took the call; not run",
            ),
            _ => unknown(),
        }
    }

    /// Bills an answer and returns it as a reply. A recorded answer is billed
    /// again under the same identity: the instance that ran the call may have
    /// been killed before its ledger entry was stored, and readers of the ledger
    /// drop duplicates.
    fn answered(&self, answer: claim::Answer, billing_id: String) -> Reply {
        let billed = billing::call(
            &self.shared,
            &self.active,
            &self.call,
            &self.name,
            billing_id,
        );
        self.shared.runtime.block_on(billed);
        let reply = buffered_reply(answer.status, "application/json", answer.body);
        let reply = match answer.content_type {
            Some(kind) => with_header(reply, "content-type", &kind),
            None => reply,
        };
        with_header(reply, header::OUTCOME, "done")
    }

    fn already_claimed(&self, verdict: Verdict) -> Reply {
        match verdict {
            Verdict::Replay(answer, billing_id) => {
                with_header(self.answered(answer, billing_id), header::REPLAYED, "true")
            }
            Verdict::StillRunning => {
                let message = "a request with this idempotency key still runs";
                let reply = typed_error(Kind::Conflict, message, RunOutcome::Unknown);
                with_header(reply, "retry-after", "1")
            }
            Verdict::Unknown => unknown(),
            Verdict::Mismatch => not_run_error(
                Kind::Conflict,
                "the idempotency key was used with another request; not run",
            ),
            Verdict::Reclaim => not_run_error(Kind::Unavailable, "the claim was given up; not run"),
        }
    }
}

impl Completed {
    fn not_run() -> Self {
        Self {
            outcome: RunOutcome::NotRun,
            answer: None,
        }
    }

    /// Returns the state that is recorded for a claimed call.
    fn state(&self) -> State {
        match (self.outcome, &self.answer) {
            (RunOutcome::Done, Some(answer)) => State::Done(to_record(answer.clone())),
            (RunOutcome::NotRun, _) => State::NotRun,
            _ => State::Unknown,
        }
    }
}

fn to_record(answer: Answer) -> claim::Answer {
    claim::Answer {
        status: answer.status,
        content_type: answer.content_type,
        body: answer.body,
    }
}

fn unknown() -> Reply {
    let message = "the call was sent and its end is not known; it is not repeated";
    typed_error(Kind::OutcomeUnknown, message, RunOutcome::Unknown)
}
