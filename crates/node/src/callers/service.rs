//! Calls of plain services, some of which must not be repeated.

use std::sync::Arc;

use fescuerack_client::Fault;
use fescuerack_client::service::{self, Answer};
use fescuerack_config::{Service, folder};
use fescuerack_core::attempt::{AttemptOutcome, Attempts, Next, Outcome as Run};
use fescuerack_core::claim::{self, Name, Outcome, State, Verdict};
use fescuerack_wire::error::Kind;
use fescuerack_wire::header;

use super::intake::Call;
use super::reply::{Reply, failure, failure_with, whole, with_header};
use super::{bill, entry};
use crate::claims;
use crate::shared::{Force, Shared};

/// Attempts that one call may make; more than one only while it surely has
/// not run, or when it is idempotent.
const MOST_ATTEMPTS: u32 = 3;
/// What a caller is told whose call must not be repeated and has no key.
const NEEDS_KEY: &str = "calls of this service must not be repeated: send an Idempotency-Key \
    that stays the same when you send the call again; not run";

/// A call of a service.
struct Job {
    shared: Arc<Shared>,
    force: Arc<Force>,
    call: Call,
    service: Service,
    name: String,
    path: String,
}

/// How a call ended.
struct Ended {
    outcome: Run,
    answer: Option<Answer>,
}

/// Answers a call; `rest` is `<service>/<path>`.
pub async fn answer(shared: Arc<Shared>, call: Call, rest: &str) -> Reply {
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let force = shared.force();
    let allowed = force
        .catalog
        .organisations
        .get(call.organisation)
        .is_some_and(|organisation| organisation.services.contains(name));
    let service = force.catalog.services.get(name).filter(|_| allowed);
    let Some(service) = service.cloned() else {
        return failure(
            Kind::Forbidden,
            "the organisation may not call this service",
        );
    };
    let mut call = call;
    let due = shared.now().plus_millis(service.deadline_ms);
    call.deadline = call.deadline.min(due);
    let place = match entry::enter(&shared, &call, None).await {
        Ok(place) => place,
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
        force,
        call,
        service,
    };
    // The thread goes on when the caller goes away: a call that has been sent
    // must have its end recorded.
    let run = tokio::task::spawn_blocking(move || {
        let _place = place;
        job.run()
    });
    let unknown = || {
        failure_with(
            Kind::OutcomeUnknown,
            "the call ended abnormally",
            Run::Unknown,
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
            None if self.needs_key() => failure(Kind::InvalidRequest, NEEDS_KEY),
            _ => {
                let bill = self.shared.random_id();
                self.reply(self.attempt(), bill)
            }
        };
        with_header(reply, header::REQUEST, &self.call.request)
    }

    /// Returns whether the call is refused without an `Idempotency-Key`. A
    /// resend could not be told from a second booking, so "at most once" could
    /// not be kept. Reads are taken: by their method they change nothing.
    fn needs_key(&self) -> bool {
        let is_read = matches!(self.call.method.as_str(), "GET" | "HEAD" | "OPTIONS");
        !self.service.idempotent && !self.service.keyless && !is_read
    }

    fn claim_name(&self, key: &str) -> Name {
        let organisation = self.force.names.organisations.name(self.call.organisation);
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
                let ended = if claims::may_send(&self.shared, &claim) {
                    self.attempt()
                } else {
                    Ended::not_run()
                };
                claims::record(&self.shared, &claim, ended.state());
                self.reply(ended, claim.record.billing_id())
            }
            Outcome::Taken(verdict) => self.taken(verdict),
            Outcome::StoreUnavailable { .. } => failure(
                Kind::Unavailable,
                "the claim could not be kept in the store; not run",
            ),
        }
    }

    fn attempt(&self) -> Ended {
        let deadline = self.call.deadline;
        let mut attempts = Attempts::new(self.service.idempotent, deadline, MOST_ATTEMPTS);
        let fleets = [self.service.fleet];
        loop {
            let started = self.shared.start_attempt(&fleets, attempts.tried());
            let Some(mut running) = started else {
                return Ended {
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
                &self.shared.once
            };
            let result = service::call(agent, &call, remaining);
            let end = match &result {
                Ok(_) => AttemptOutcome::Done,
                Err(Fault::NotSent(_) | Fault::Refused { .. }) => AttemptOutcome::NotRun,
                Err(Fault::Unknown(_) | Fault::Malformed(_)) => AttemptOutcome::Unknown,
            };
            running.called(&result);
            let next = attempts.end(self.shared.now(), end, false);
            let next = match next {
                Next::Retry if end != AttemptOutcome::NotRun && !running.may_retry() => {
                    Next::Stop(attempts.outcome())
                }
                next => next,
            };
            if let Next::Stop(outcome) = next {
                return Ended {
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

    fn reply(&self, ended: Ended, bill: String) -> Reply {
        match (ended.outcome, ended.answer) {
            (Run::Done, Some(answer)) => self.done(recorded(answer), bill),
            (Run::NotRun, _) => failure(
                Kind::Unavailable,
                "no backend server took the call; not run",
            ),
            _ => unknown(),
        }
    }

    /// Hands an answer on and bills it. A recorded answer is billed again
    /// under the same identity: the instance that ran the call may have been
    /// killed before its entry was kept, and a reader drops doubles.
    fn done(&self, answer: claim::Answer, bill: String) -> Reply {
        let billing = bill::call(&self.shared, &self.force, &self.call, &self.name, bill);
        self.shared.runtime.block_on(billing);
        let reply = whole(answer.status, "application/json", answer.body);
        let reply = match answer.content_type {
            Some(kind) => with_header(reply, "content-type", &kind),
            None => reply,
        };
        with_header(reply, header::OUTCOME, "done")
    }

    fn taken(&self, verdict: Verdict) -> Reply {
        match verdict {
            Verdict::Replay(answer, bill) => {
                with_header(self.done(answer, bill), header::REPLAYED, "true")
            }
            Verdict::StillRunning => {
                let message = "a request with this idempotency key still runs";
                let reply = failure_with(Kind::Conflict, message, Run::Unknown);
                with_header(reply, "retry-after", "1")
            }
            Verdict::Unknown => unknown(),
            Verdict::Mismatch => failure(
                Kind::Conflict,
                "the idempotency key was used with another request; not run",
            ),
            Verdict::Reclaim => failure(Kind::Unavailable, "the claim was given up; not run"),
        }
    }
}

impl Ended {
    fn not_run() -> Self {
        Self {
            outcome: Run::NotRun,
            answer: None,
        }
    }

    /// Returns what is recorded of a claimed call.
    fn state(&self) -> State {
        match (self.outcome, &self.answer) {
            (Run::Done, Some(answer)) => State::Done(recorded(answer.clone())),
            (Run::NotRun, _) => State::NotRun,
            _ => State::Unknown,
        }
    }
}

fn recorded(answer: Answer) -> claim::Answer {
    claim::Answer {
        status: answer.status,
        content_type: answer.content_type,
        body: answer.body,
    }
}

fn unknown() -> Reply {
    let message = "the call was sent and its end is not known; it is not repeated";
    failure_with(Kind::OutcomeUnknown, message, Run::Unknown)
}
