//! Completions, from a request that has been read to the last token of its
//! answer.

use std::sync::Arc;

use fescuerack_core::clock::Instant;
use fescuerack_wire::chat;
use fescuerack_wire::error::Kind;
use fescuerack_wire::header;

use super::attempts::{Failure, StartedAnswer};
use super::billing::Spent;
use super::choice::{self, Choice};
use super::collect::Answer;
use super::format::ResponseFormat;
use super::observer::Observer;
use super::plan_runner::{AvailableAnswer, PlanRunner};
use super::reply::{Reply, buffered_reply, json_reply, not_run_error, typed_error, with_header};
use super::request::Call;
use super::stream::{self, Stream};
use super::{admit, billing};
use crate::admission::PermitGuard;
use crate::node_state::{ActiveConfiguration, NodeState};

/// A request that has been admitted.
struct Job {
    shared: Arc<NodeState>,
    active: Arc<ActiveConfiguration>,
    start: Instant,
    call: Call,
    choice: Choice,
    format: ResponseFormat,
    permit: PermitGuard,
}

/// Answers a completion request.
pub async fn answer(shared: Arc<NodeState>, call: Call) -> Reply {
    let chat_request: chat::Request = match serde_json::from_slice(&call.body) {
        Ok(chat_request) => chat_request,
        Err(error) => return not_run_error(Kind::InvalidRequest, &format!("body: {error}")),
    };
    let format = ResponseFormat::new(&call.path, &chat_request);
    if let Err(refusal) = format.endpoint.check(&chat_request) {
        return refusal.into();
    }
    let start = shared.now();
    let active = shared.active_configuration();
    let choice = match choice::choose(&shared, &active, &call, &chat_request) {
        Ok(choice) => choice,
        Err(refusal) => return refusal.into(),
    };
    let permit = match admit::admit(&shared, &call, choice.class).await {
        Ok(permit) => permit,
        Err(refusal) => return refusal.into(),
    };
    let job = Job {
        shared,
        active,
        start,
        call,
        choice,
        format,
        permit,
    };
    job.run(chat_request).await
}

impl Job {
    async fn run(mut self, chat_request: chat::Request) -> Reply {
        let runner = PlanRunner {
            shared: &self.shared,
            active: &self.active,
            call: &self.call,
            choice: &self.choice,
            chat_request: &chat_request,
            meter: self.permit.meter(),
        };
        let ready = match runner.run().await {
            Ok(ready) => ready,
            Err(failure) => return self.reply_failed(failure),
        };
        let waited = self.shared.now().since(self.start);
        self.shared.metrics.time("callers.first_token", waited);
        self.choice.version = ready.version;
        match ready.answer {
            AvailableAnswer::Started(started, observer) => {
                self.reply_streamed(*started, observer, ready.spent)
            }
            AvailableAnswer::Complete(answer) => self.reply_complete(answer, ready.spent).await,
        }
    }

    fn reply_streamed(self, started: StartedAnswer, observer: Observer, spent: Spent) -> Reply {
        let labels = self.labels();
        let choice = self.choice;
        let stream = Stream {
            shared: self.shared,
            active: self.active,
            call: self.call,
            version: choice.version,
            format: self.format,
            spent,
        };
        labels.add_to(choice.add_to(stream.start(started, observer, self.permit)))
    }

    async fn reply_complete(self, answer: Answer, spent: Spent) -> Reply {
        let Self {
            shared,
            active,
            call,
            choice,
            format,
            ..
        } = &self;
        let cost =
            billing::completion(shared, active, call, choice.version, answer.usage, spent).await;
        let labels = self.labels();
        let reply = if format.is_streamed {
            let body =
                stream::buffered_events(&answer, *format, &labels.request, &labels.version, cost);
            buffered_reply(200, "text/event-stream", body)
        } else {
            json_reply(&answer.completion(format.endpoint, &labels.request, &labels.version))
        };
        let reply = with_header(reply, header::OUTCOME, "done");
        let reply = with_header(reply, header::COST, &cost.to_string());
        labels.add_to(choice.add_to(reply))
    }

    fn reply_failed(&self, failure: Failure) -> Reply {
        let reply = match failure {
            Failure::NoServer(outcome) => typed_error(
                Kind::Unavailable,
                "no healthy backend server serves the version",
                outcome,
            ),
            Failure::Failed(outcome) if self.shared.now() >= self.call.deadline => {
                typed_error(Kind::DeadlineExceeded, "the deadline passed", outcome)
            }
            Failure::Failed(outcome) => {
                typed_error(Kind::UpstreamFailed, "every attempt failed", outcome)
            }
            Failure::Crashes(outcome) => typed_error(
                Kind::UpstreamFailed,
                "backend servers crashed under this request; it does not run again",
                outcome,
            ),
        };
        self.labels().add_to(reply)
    }

    fn labels(&self) -> Labels {
        Labels {
            request: self.call.request.clone(),
            version: self
                .active
                .names
                .versions
                .name(self.choice.version)
                .to_string(),
        }
    }
}

/// Request and version that the headers of every reply name.
struct Labels {
    request: String,
    version: String,
}

impl Labels {
    fn add_to(&self, reply: Reply) -> Reply {
        let reply = with_header(reply, header::REQUEST, &self.request);
        with_header(reply, header::VERSION, &self.version)
    }
}
