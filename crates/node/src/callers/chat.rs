//! Completions: from a request that has been read to its last token.

use std::sync::Arc;

use bytes::Bytes;
use fescuerack_config::key;
use fescuerack_core::attempt::{Attempts, End, Next, Outcome};
use fescuerack_core::cascade::{self, Refusal, Wanted};
use fescuerack_core::clock::Instant;
use fescuerack_core::ledger::Entry;
use fescuerack_platform::Fault;
use fescuerack_platform::engine::Event;
use fescuerack_wire::chat::{self, Choice, Completion, Message, Usage};
use fescuerack_wire::error::Kind;
use fescuerack_wire::header;
use http_body_util::BodyExt as _;
use http_body_util::channel::{Channel, Sender};

use super::intake::Call;
use super::reply::{Reply, error_body, failure, failure_with, json, whole, with_header};
use super::upstream::{self, Events};
use crate::admission::Place;
use crate::shared::{Force, Shared, lock};

/// Attempts that one request may make.
const MOST_ATTEMPTS: u32 = 3;
/// Priority of a request that names no class of work.
const DEFAULT_PRIORITY: u8 = 5;
/// Parts of a stream that wait for a slow reader.
const BUFFER: usize = 16;

/// A request whose version has been chosen.
struct Job {
    shared: Arc<Shared>,
    force: Arc<Force>,
    start: Instant,
    call: Call,
    version: key::Version,
    priority: u8,
    stream: bool,
    body: Bytes,
    _place: Place,
}

/// Answers a completion request.
pub async fn answer(shared: Arc<Shared>, call: Call) -> Reply {
    let asked: chat::Request = match serde_json::from_slice(&call.body) {
        Ok(asked) => asked,
        Err(error) => return failure(Kind::InvalidRequest, &format!("body: {error}")),
    };
    let start = shared.now();
    let force = shared.force();
    let Some(wanted) = wanted(&force, &asked.model) else {
        return failure(Kind::Forbidden, "the organisation may not use this model");
    };
    let request = cascade::Request {
        organisation: call.organisation,
        wanted,
        session: call.session.as_deref().unwrap_or(&call.request).as_bytes(),
    };
    let version = match cascade::choose(&force.catalog, &force.names, request) {
        Ok(version) => version,
        Err(refusal) => return refuse(refusal),
    };
    let Ok(place) = shared.gate.enter(shared.clock, call.deadline).await else {
        return failure(Kind::Overloaded, "too much work; not run");
    };
    let job = Job {
        priority: priority(&force, wanted),
        stream: asked.stream,
        body: body(&force, version, asked),
        shared,
        force,
        start,
        call,
        version,
        _place: place,
    };
    job.run().await
}

fn wanted(force: &Force, model: &str) -> Option<Wanted> {
    if let Some(class) = model.strip_prefix("auto:") {
        return force.names.classes.get(class).map(Wanted::Class);
    }
    if let Some(version) = force.names.versions.get(model) {
        return Some(Wanted::Version(version));
    }
    force.names.models.get(model).map(Wanted::Model)
}

fn refuse(refusal: Refusal) -> Reply {
    match refusal {
        Refusal::Forbidden => failure(Kind::Forbidden, "the organisation may not use this model"),
        Refusal::Withdrawn => failure(Kind::Unavailable, "the version has been withdrawn; not run"),
        Refusal::BelowTarget => failure(
            Kind::Unavailable,
            "no allowed version meets the target; not run",
        ),
    }
}

fn priority(force: &Force, wanted: Wanted) -> u8 {
    match wanted {
        Wanted::Class(class) => force.catalog.classes[class].priority,
        Wanted::Version(_) | Wanted::Model(_) => DEFAULT_PRIORITY,
    }
}

/// Returns the body for the engine: always a stream, so that an attempt can be
/// cancelled and its first token is seen as soon as it exists.
fn body(force: &Force, version: key::Version, asked: chat::Request) -> Bytes {
    let request = chat::Request {
        model: force.names.versions.name(version).to_string(),
        stream: true,
        rest: asked.rest,
    };
    Bytes::from(serde_json::to_vec(&request).expect("wire messages have only plain fields"))
}

impl Job {
    async fn run(self) -> Reply {
        let mut attempts = Attempts::new(true, self.call.deadline, MOST_ATTEMPTS);
        loop {
            let fleets = &self.force.catalog.versions[self.version].fleets;
            let Some(running) = self.shared.start_attempt(fleets, attempts.tried()) else {
                return self.no_server(&attempts);
            };
            attempts.start(running.server);
            let body = self.body.clone();
            let deadline = self.call.deadline;
            let mut events = upstream::start(&self.shared, running, self.priority, body, deadline);
            let end = match events.recv().await {
                Some(Ok(Event::Part(first))) if self.stream => {
                    let waited = self.shared.now().since(self.start);
                    self.shared.metrics.time("callers.first_token", waited);
                    return self.stream(first, events);
                }
                Some(Ok(Event::Part(first))) => match collect(first, events).await {
                    Ok(answer) => return self.whole(answer),
                    Err(end) => end,
                },
                Some(Ok(Event::End)) | None => End::Unknown,
                Some(Err(fault)) => end_of(&fault),
            };
            self.shared.metrics.count("attempts.failed");
            if let Next::Stop(outcome) = attempts.end(self.shared.now(), end, false) {
                let message = "every attempt failed";
                return self.label(failure_with(Kind::UpstreamFailed, message, outcome));
            }
        }
    }

    fn no_server(&self, attempts: &Attempts) -> Reply {
        let message = "no healthy backend server serves the version";
        self.label(failure_with(Kind::Unavailable, message, attempts.outcome()))
    }

    fn label(&self, reply: Reply) -> Reply {
        let version = self.force.names.versions.name(self.version);
        let reply = with_header(reply, header::REQUEST, &self.call.request);
        with_header(reply, header::VERSION, version)
    }

    fn cost(&self, usage: Usage) -> u64 {
        let cost = self.force.catalog.versions[self.version].cost;
        cost.of(usage.prompt_tokens, usage.completion_tokens)
    }

    fn bill(&self, usage: Usage) {
        let names = &self.force.names;
        lock(&self.shared.book).add(Entry {
            request: self.call.request.clone(),
            organisation: names.organisations.name(self.call.organisation).to_string(),
            version: names.versions.name(self.version).to_string(),
            input_tokens: usage.prompt_tokens,
            output_tokens: usage.completion_tokens,
            cost: self.cost(usage),
        });
        self.shared.metrics.count("callers.done");
    }

    fn whole(&self, answer: Answer) -> Reply {
        self.bill(answer.usage);
        let reply = json(&Completion {
            id: self.call.request.clone(),
            object: "chat.completion".to_owned(),
            model: self.force.names.versions.name(self.version).to_string(),
            choices: vec![Choice {
                index: 0,
                message: Some(Message {
                    role: Some("assistant".to_owned()),
                    content: answer.text,
                }),
                delta: None,
                finish_reason: answer.finish_reason,
            }],
            usage: Some(answer.usage),
            cost_micro_euro: None,
        });
        let reply = with_header(reply, header::OUTCOME, "done");
        let cost = self.cost(answer.usage).to_string();
        self.label(with_header(reply, header::COST, &cost))
    }

    fn stream(self, first: Completion, events: Events) -> Reply {
        let (sender, body) = Channel::new(BUFFER);
        let mut reply = self.label(whole(200, "text/event-stream", Bytes::new()));
        *reply.body_mut() = body.boxed();
        tokio::spawn(self.pump(first, events, sender));
        reply
    }

    async fn pump(
        self,
        first: Completion,
        mut events: Events,
        mut sender: Sender<Bytes, std::io::Error>,
    ) {
        let mut usage = Usage::default();
        let mut next = Some(Ok(Event::Part(first)));
        loop {
            match next {
                Some(Ok(Event::Part(mut part))) => {
                    if let Some(total) = part.usage {
                        usage = total;
                        part.cost_micro_euro = Some(self.cost(total));
                    }
                    part.id.clone_from(&self.call.request);
                    let json = serde_json::to_string(&part).unwrap_or_default();
                    if sender.send_data(line(&json)).await.is_err() {
                        self.shared.metrics.count("callers.gone");
                        return;
                    }
                }
                Some(Ok(Event::End)) => {
                    self.bill(usage);
                    let _ = sender.send_data(line(chat::DONE)).await;
                    return;
                }
                Some(Err(_)) | None => return self.cut(sender).await,
            }
            next = events.recv().await;
        }
    }

    /// Ends a stream whose answer is not whole: with a typed error, then by
    /// cutting the connection, so that it cannot be taken for a whole one.
    async fn cut(&self, mut sender: Sender<Bytes, std::io::Error>) {
        self.shared.metrics.count("callers.cut");
        let message = "the backend server cut the stream";
        let body = error_body(Kind::UpstreamFailed, message, Outcome::Unknown);
        let _ = sender
            .send_data(line(&String::from_utf8_lossy(&body)))
            .await;
        sender.abort(std::io::Error::other(message));
    }
}

fn line(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

/// An answer that has been collected whole.
struct Answer {
    text: String,
    usage: Usage,
    finish_reason: Option<String>,
}

async fn collect(first: Completion, mut events: Events) -> Result<Answer, End> {
    let mut answer = Answer {
        text: String::new(),
        usage: Usage::default(),
        finish_reason: None,
    };
    let mut next = Some(Ok(Event::Part(first)));
    loop {
        match next {
            Some(Ok(Event::Part(part))) => answer.add(part),
            Some(Ok(Event::End)) => return Ok(answer),
            Some(Err(fault)) => return Err(end_of(&fault)),
            None => return Err(End::Unknown),
        }
        next = events.recv().await;
    }
}

impl Answer {
    fn add(&mut self, part: Completion) {
        self.usage = part.usage.unwrap_or(self.usage);
        for choice in part.choices {
            if let Some(delta) = choice.delta {
                self.text.push_str(&delta.content);
            }
            self.finish_reason = choice.finish_reason.or(self.finish_reason.take());
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
