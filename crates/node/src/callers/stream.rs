//! Relays a streamed answer to the caller, part by part.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use fescuerack_client::engine::Event;
use fescuerack_config::key;
use fescuerack_core::attempt::Outcome;
use fescuerack_wire::chat::{self, Completion, Usage};
use fescuerack_wire::error::Kind;
use http_body_util::BodyExt as _;

use super::attempts::StartedAnswer;
use super::billing::{self, Spent};
use super::collect::Answer;
use super::format::{ResponseFormat, UsageCounter};
use super::observer::Observer;
use super::reply::{Reply, buffered_reply, error_body};
use super::request::Call;
use super::stream_body::{Sender, StreamBody};
use super::upstream::Events;
use crate::admission::PermitGuard;
use crate::node_state::{ActiveConfiguration, NodeState};

/// An answer that is streamed to the caller.
pub struct Stream {
    /// State of the process.
    pub shared: Arc<NodeState>,
    /// Configuration under which the request runs.
    pub active: Arc<ActiveConfiguration>,
    /// The request.
    pub call: Call,
    /// Version that answers.
    pub version: key::Version,
    /// Format that the caller asked for.
    pub format: ResponseFormat,
    /// Usage of earlier steps of the plan.
    pub spent: Spent,
}

impl Stream {
    /// Starts to relay the answer and returns the reply; `permit` is held until
    /// the stream ends.
    pub fn start(
        self,
        started: StartedAnswer,
        mut observer: Observer,
        permit: PermitGuard,
    ) -> Reply {
        let mut counter = UsageCounter::new();
        let mut first = BytesMut::new();
        self.add(started.first, &mut counter, &mut observer, &mut first);
        let (sender, body) = StreamBody::new((!first.is_empty()).then(|| first.freeze()));
        let mut reply = buffered_reply(200, "text/event-stream", Bytes::new());
        *reply.body_mut() = body.boxed();
        let events = started.events;
        tokio::spawn(async move {
            self.pump(events, counter, observer, sender).await;
            drop(permit);
        });
        reply
    }

    async fn pump(
        &self,
        mut events: Events,
        mut counter: UsageCounter,
        mut observer: Observer,
        sender: Sender,
    ) {
        loop {
            // Dropping the events cancels the attempt at the engine, even while
            // it generates no token for a long time.
            let next = tokio::select! {
                next = events.recv() => next,
                () = sender.disconnected() => {
                    drop(events);
                    return self.bill_abandoned(&counter).await;
                }
            };
            let part = match next {
                Some(Ok(Event::Part(part))) => part,
                Some(Ok(Event::End)) => return self.finish(&counter, observer, sender).await,
                Some(Err(_)) | None => return self.send_error(&sender).await,
            };
            let mut lines = BytesMut::new();
            self.add(part, &mut counter, &mut observer, &mut lines);
            // Parts that arrived together are sent in one write.
            while let Some(part) = events.try_next() {
                self.add(part, &mut counter, &mut observer, &mut lines);
            }
            if !lines.is_empty() && sender.send(lines.freeze()).await.is_err() {
                drop(events);
                return self.bill_abandoned(&counter).await;
            }
        }
    }

    /// Appends the event line of a part if the caller gets one. Every engine is
    /// asked for the usage, but only callers that asked for it receive it.
    fn add(
        &self,
        mut part: Completion,
        counter: &mut UsageCounter,
        observer: &mut Observer,
        lines: &mut BytesMut,
    ) {
        counter.read(&part);
        observer.read(&part);
        if let Some(usage) = part.usage.filter(|_| self.format.has_usage) {
            let mut spent = self.spent;
            spent.add(&self.active, self.version, usage);
            part.cost_micro_euro = Some(spent.cost());
        } else if part.choices.is_empty() {
            return;
        } else {
            part.usage = None;
        }
        part.id.clone_from(&self.call.request);
        part.model = self.active.names.versions.name(self.version).to_string();
        lines.extend_from_slice(&event(&part));
    }

    async fn finish(&self, counter: &UsageCounter, observer: Observer, sender: Sender) {
        let usage = counter.usage(&self.shared, &self.call.body);
        self.bill(usage).await;
        observer.record_completed(usage);
        if sender.finish(line(chat::DONE)).await.is_err() {
            self.shared.metrics.count("callers.gone");
        }
    }

    /// Ends a stream whose caller has disconnected. The parts received so far are
    /// billed; otherwise callers could avoid payment by disconnecting before the
    /// end.
    async fn bill_abandoned(&self, counter: &UsageCounter) {
        self.shared.metrics.count("callers.gone");
        if let Some(usage) = counter.usage_if_any(&self.shared, &self.call.body) {
            self.bill(usage).await;
        }
    }

    async fn bill(&self, usage: Usage) {
        let Self {
            shared,
            active,
            call,
            ..
        } = self;
        billing::completion(shared, active, call, self.version, usage, self.spent).await;
    }

    /// Ends a stream whose answer is incomplete: sends a typed error, after which
    /// the dropped sender cuts the connection, so that the answer cannot be taken
    /// for a complete one.
    async fn send_error(&self, sender: &Sender) {
        self.shared.metrics.count("callers.cut");
        let (kind, message) = if self.shared.now() >= self.call.deadline {
            (Kind::DeadlineExceeded, "the deadline passed")
        } else {
            (Kind::UpstreamFailed, "the backend server cut the stream")
        };
        let body = error_body(kind, message, Outcome::Unknown);
        let _ = sender.send(line(&String::from_utf8_lossy(&body))).await;
    }
}

/// Returns the body of a stream for an answer that was held back until it was
/// complete.
pub fn buffered_events(
    answer: &Answer,
    format: ResponseFormat,
    request: &str,
    version: &str,
    cost: u64,
) -> Bytes {
    let mut body = Vec::new();
    for mut part in answer.parts(format.endpoint) {
        if part.choices.is_empty() && !format.has_usage {
            continue;
        }
        request.clone_into(&mut part.id);
        version.clone_into(&mut part.model);
        part.cost_micro_euro = part.usage.map(|_| cost);
        body.extend_from_slice(&event(&part));
    }
    body.extend_from_slice(&line(chat::DONE));
    Bytes::from(body)
}

fn event(part: &Completion) -> Bytes {
    let mut line = b"data: ".to_vec();
    serde_json::to_writer(&mut line, part).expect("wire messages have only plain fields");
    line.extend_from_slice(b"\n\n");
    Bytes::from(line)
}

fn line(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}
