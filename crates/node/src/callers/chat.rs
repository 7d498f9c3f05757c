//! Completions: from a request that has been read to its last token.

use std::sync::Arc;

use bytes::Bytes;
use fescuerack_config::key;
use fescuerack_core::clock::Instant;
use fescuerack_wire::chat;
use fescuerack_wire::error::Kind;
use fescuerack_wire::header;

use super::attempts::{Begun, Failure, Run, Work};
use super::choice::{self, Choice};
use super::collect::Answer;
use super::intake::Call;
use super::reply::{Reply, failure, failure_with, json, with_header};
use super::shape::{Shape, ask_for_usage, wants_usage};
use super::stream::Stream;
use super::{bill, entry};
use crate::admission::Place;
use crate::shared::{Force, Shared};

/// A request that may run.
struct Job {
    shared: Arc<Shared>,
    force: Arc<Force>,
    start: Instant,
    call: Call,
    choice: Choice,
    shape: Shape,
    place: Place,
}

/// Answers a completion request.
pub async fn answer(shared: Arc<Shared>, call: Call) -> Reply {
    let asked: chat::Request = match serde_json::from_slice(&call.body) {
        Ok(asked) => asked,
        Err(error) => return failure(Kind::InvalidRequest, &format!("body: {error}")),
    };
    let shape = Shape::new(&call.path);
    if let Err(refusal) = shape.check(&asked) {
        return refusal.into();
    }
    let start = shared.now();
    let force = shared.force();
    let choice = match choice::choose(&shared, &force, &call, &asked.model) {
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
        shape,
        place,
    };
    job.run(asked).await
}

/// Returns the body for the engine: always a stream with its usage, so that an
/// attempt can be cancelled, its first token is seen as soon as it exists, and
/// it can be billed.
fn body(force: &Force, version: key::Version, mut asked: chat::Request) -> Bytes {
    ask_for_usage(&mut asked.rest);
    let request = chat::Request {
        model: force.names.versions.name(version).to_string(),
        stream: true,
        rest: asked.rest,
    };
    Bytes::from(serde_json::to_vec(&request).expect("wire messages have only plain fields"))
}

impl Job {
    async fn run(self, asked: chat::Request) -> Reply {
        let stream = asked.stream;
        let with_usage = wants_usage(&asked);
        let work = Work {
            path: self.shape.path(),
            version: self.choice.version,
            priority: self.choice.priority,
            body: body(&self.force, self.choice.version, asked),
            deadline: self.call.deadline,
        };
        let mut run = Run::new(Arc::clone(&self.shared), Arc::clone(&self.force), work)
            .with_meter(self.place.meter());
        loop {
            let begun = match run.begin().await {
                Ok(begun) => begun,
                Err(failure) => return self.fail(failure),
            };
            let waited = self.shared.now().since(self.start);
            self.shared.metrics.time("callers.first_token", waited);
            if stream {
                return self.stream(begun, with_usage);
            }
            match Answer::read(&self.shared, begun).await {
                Ok(answer) => return self.whole(&answer),
                Err(end) => {
                    if let Err(failure) = run.end(end) {
                        return self.fail(failure);
                    }
                }
            }
        }
    }

    fn stream(self, begun: Begun, with_usage: bool) -> Reply {
        let labels = self.labels();
        let stream = Stream {
            shared: self.shared,
            force: self.force,
            call: self.call,
            version: self.choice.version,
            with_usage,
        };
        labels.on(stream.start(begun, self.place))
    }

    fn whole(&self, answer: &Answer) -> Reply {
        let Self {
            shared,
            force,
            call,
            choice,
            ..
        } = self;
        let cost = bill::completion(shared, force, call, choice.version, answer.usage);
        let labels = self.labels();
        let reply = json(&answer.completion(self.shape, &labels.request, &labels.version));
        let reply = with_header(reply, header::OUTCOME, "done");
        labels.on(with_header(reply, header::COST, &cost.to_string()))
    }

    fn fail(&self, failure: Failure) -> Reply {
        let reply = match failure {
            Failure::NoServer(outcome) => failure_with(
                Kind::Unavailable,
                "no healthy backend server serves the version",
                outcome,
            ),
            Failure::Failed(outcome) => {
                failure_with(Kind::UpstreamFailed, "every attempt failed", outcome)
            }
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
