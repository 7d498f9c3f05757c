//! Handing on a streamed answer, part by part.

use std::sync::Arc;

use bytes::Bytes;
use fescuerack_config::key;
use fescuerack_core::attempt::Outcome;
use fescuerack_platform::engine::Event;
use fescuerack_wire::chat::{self, Completion};
use fescuerack_wire::error::Kind;
use http_body_util::BodyExt as _;

use super::attempts::Begun;
use super::bill;
use super::flow::{Flow, Sender};
use super::intake::Call;
use super::reply::{Reply, error_body, whole};
use super::shape::Meter;
use super::upstream::Events;
use crate::admission::Place;
use crate::shared::{Force, Shared};

/// A stream on its way to the caller.
pub struct Stream {
    /// State of the process.
    pub shared: Arc<Shared>,
    /// Configuration under which the request runs.
    pub force: Arc<Force>,
    /// The request.
    pub call: Call,
    /// Version that answers.
    pub version: key::Version,
    /// Whether the caller asked for the usage at the end.
    pub with_usage: bool,
}

impl Stream {
    /// Starts handing on and returns the answer's head; `place` is held until
    /// the stream ends.
    pub fn start(self, begun: Begun, place: Place) -> Reply {
        let (sender, body) = Flow::new();
        let mut reply = whole(200, "text/event-stream", Bytes::new());
        *reply.body_mut() = body.boxed();
        tokio::spawn(async move {
            self.pump(begun.first, begun.events, sender).await;
            drop(place);
        });
        reply
    }

    async fn pump(&self, first: Completion, mut events: Events, sender: Sender) {
        let mut meter = Meter::new();
        let mut next = Some(Ok(Event::Part(first)));
        loop {
            match next {
                Some(Ok(Event::Part(part))) => {
                    meter.read(&part);
                    let Some(line) = self.line(part) else {
                        next = events.recv().await;
                        continue;
                    };
                    if sender.send(line).await.is_err() {
                        return self.gone();
                    }
                }
                Some(Ok(Event::End)) => return self.finish(&meter, sender).await,
                Some(Err(_)) | None => return self.cut(&sender).await,
            }
            // Dropping the events cancels the attempt at the engine, also
            // while no token comes for long.
            next = tokio::select! {
                next = events.recv() => next,
                () = sender.gone() => return self.gone(),
            };
        }
    }

    /// Returns the line for a part, if the caller gets one: the usage is asked
    /// of every engine and handed on only to those who want it.
    fn line(&self, mut part: Completion) -> Option<Bytes> {
        if let Some(usage) = part.usage.filter(|_| self.with_usage) {
            part.cost_micro_euro = Some(bill::cost(&self.force, self.version, usage));
        } else {
            part.usage = None;
            if part.choices.is_empty() {
                return None;
            }
        }
        part.id.clone_from(&self.call.request);
        let version = self.force.names.versions.name(self.version);
        part.model = version.to_string();
        let json = serde_json::to_string(&part);
        Some(line(&json.expect("wire messages have only plain fields")))
    }

    async fn finish(&self, meter: &Meter, sender: Sender) {
        let usage = meter.usage(&self.shared);
        bill::completion(&self.shared, &self.force, &self.call, self.version, usage);
        if sender.finish(line(chat::DONE)).await.is_err() {
            self.gone();
        }
    }

    fn gone(&self) {
        self.shared.metrics.count("callers.gone");
    }

    /// Ends a stream whose answer is not whole: with a typed error, then by
    /// cutting the connection, so that it cannot be taken for a whole one.
    async fn cut(&self, sender: &Sender) {
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

fn line(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}
