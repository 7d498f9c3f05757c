//! Completions: from a request that has been read to its last token.

use std::sync::Arc;

use fescuerack_core::clock::Instant;
use fescuerack_wire::chat;
use fescuerack_wire::error::Kind;
use fescuerack_wire::header;

use super::attempts::{Begun, Failure};
use super::bill::Spent;
use super::choice::{self, Choice};
use super::collect::Answer;
use super::intake::Call;
use super::observer::Observer;
use super::reply::{Reply, failure, failure_with, json, whole, with_header};
use super::shape::Form;
use super::steps::{Part, Steps};
use super::stream::{self, Stream};
use super::{bill, entry};
use crate::admission::Permit;
use crate::shared::{Force, Shared};

/// A request that may run.
struct Job {
    shared: Arc<Shared>,
    force: Arc<Force>,
    start: Instant,
    call: Call,
    choice: Choice,
    form: Form,
    place: Permit,
}

/// Answers a completion request.
pub async fn answer(shared: Arc<Shared>, call: Call) -> Reply {
    let asked: chat::Request = match serde_json::from_slice(&call.body) {
        Ok(asked) => asked,
        Err(error) => return failure(Kind::InvalidRequest, &format!("body: {error}")),
    };
    let form = Form::new(&call.path, &asked);
    if let Err(refusal) = form.shape.check(&asked) {
        return refusal.into();
    }
    let start = shared.now();
    let force = shared.force();
    let choice = match choice::choose(&shared, &force, &call, &asked) {
        Ok(choice) => choice,
        Err(refusal) => return refusal.into(),
    };
    let place = match entry::enter(&shared, &call, choice.class).await {
        Ok(place) => place,
        Err(refusal) => return refusal.into(),
    };
    let job = Job {
        shared,
        force,
        start,
        call,
        choice,
        form,
        place,
    };
    job.run(asked).await
}

impl Job {
    async fn run(mut self, asked: chat::Request) -> Reply {
        let steps = Steps {
            shared: &self.shared,
            force: &self.force,
            call: &self.call,
            choice: &self.choice,
            asked: &asked,
            meter: self.place.meter(),
        };
        let ready = match steps.run().await {
            Ok(ready) => ready,
            Err(failure) => return self.fail(failure),
        };
        let waited = self.shared.now().since(self.start);
        self.shared.metrics.time("callers.first_token", waited);
        self.choice.version = ready.version;
        match ready.part {
            Part::Begun(begun, observer) => self.stream(*begun, observer, ready.spent),
            Part::Whole(answer) => self.whole(answer, ready.spent).await,
        }
    }

    fn stream(self, begun: Begun, observer: Observer, spent: Spent) -> Reply {
        let labels = self.labels();
        let choice = self.choice;
        let stream = Stream {
            shared: self.shared,
            force: self.force,
            call: self.call,
            version: choice.version,
            form: self.form,
            spent,
        };
        labels.on(choice.on(stream.start(begun, observer, self.place)))
    }

    async fn whole(self, answer: Answer, spent: Spent) -> Reply {
        let Self {
            shared,
            force,
            call,
            choice,
            form,
            ..
        } = &self;
        let cost = bill::completion(shared, force, call, choice.version, answer.usage, spent).await;
        let labels = self.labels();
        let reply = if form.is_streamed {
            let body = stream::held(&answer, *form, &labels.request, &labels.version, cost);
            whole(200, "text/event-stream", body)
        } else {
            json(&answer.completion(form.shape, &labels.request, &labels.version))
        };
        let reply = with_header(reply, header::OUTCOME, "done");
        let reply = with_header(reply, header::COST, &cost.to_string());
        labels.on(choice.on(reply))
    }

    fn fail(&self, failure: Failure) -> Reply {
        let reply = match failure {
            Failure::NoServer(outcome) => failure_with(
                Kind::Unavailable,
                "no healthy backend server serves the version",
                outcome,
            ),
            Failure::Failed(outcome) if self.shared.now() >= self.call.deadline => {
                failure_with(Kind::DeadlineExceeded, "the deadline passed", outcome)
            }
            Failure::Failed(outcome) => {
                failure_with(Kind::UpstreamFailed, "every attempt failed", outcome)
            }
            Failure::Crashes(outcome) => failure_with(
                Kind::UpstreamFailed,
                "backend servers crashed under this request; it does not run again",
                outcome,
            ),
        };
        self.labels().on(reply)
    }

    fn labels(&self) -> Labels {
        Labels {
            request: self.call.request.clone(),
            version: self
                .force
                .names
                .versions
                .name(self.choice.version)
                .to_string(),
        }
    }
}

/// What the headers of every answer name.
struct Labels {
    request: String,
    version: String,
}

impl Labels {
    fn on(&self, reply: Reply) -> Reply {
        let reply = with_header(reply, header::REQUEST, &self.request);
        with_header(reply, header::VERSION, &self.version)
    }
}
