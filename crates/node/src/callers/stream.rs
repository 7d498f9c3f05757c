//! Handing on a streamed answer, part by part.

use std::sync::Arc;

use bytes::Bytes;
use fescuerack_config::key;
use fescuerack_core::attempt::Outcome;
use fescuerack_platform::engine::Event;
use fescuerack_wire::chat::{self, Completion, Usage};
use fescuerack_wire::error::Kind;
use http_body_util::BodyExt as _;
use http_body_util::channel::{Channel, Sender};

use super::attempts::Begun;
use super::bill::{self, Spent};
use super::intake::Call;
use super::observer::Observer;
use super::reply::{Reply, error_body, whole};
use super::upstream::Events;
use crate::admission::Place;
use crate::shared::{Force, Shared};

/// Parts of a stream that wait for a slow reader.
const BUFFER: usize = 16;

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
    /// What earlier steps used.
    pub spent: Spent,
}

impl Stream {
    /// Starts handing on and returns the answer's head; `place` is held until
    /// the stream ends.
    pub fn start(self, begun: Begun, observer: Observer, place: Place) -> Reply {
        let (sender, body) = Channel::new(BUFFER);
        let mut reply = whole(200, "text/event-stream", Bytes::new());
        *reply.body_mut() = body.boxed();
        tokio::spawn(async move {
            self.pump(begun.first, begun.events, observer, sender).await;
            drop(place);
        });
        reply
    }

    async fn pump(
        self,
        first: Completion,
        mut events: Events,
        mut observer: Observer,
        mut sender: Sender<Bytes, std::io::Error>,
    ) {
        let mut usage = Usage::default();
        let mut next = Some(Ok(Event::Part(first)));
        loop {
            match next {
                Some(Ok(Event::Part(part))) => {
                    usage = part.usage.unwrap_or(usage);
                    observer.read(&part);
                    if sender.send_data(self.line(part)).await.is_err() {
                        self.shared.metrics.count("callers.gone");
                        return;
                    }
                }
                Some(Ok(Event::End)) => {
                    let Self {
                        shared,
                        force,
                        call,
                        ..
                    } = &self;
                    bill::completion(shared, force, call, self.version, usage, self.spent).await;
                    observer.ended(usage);
                    let _ = sender.send_data(line(chat::DONE)).await;
                    return;
                }
                Some(Err(_)) | None => return self.cut(sender).await,
            }
            next = events.recv().await;
        }
    }

    fn line(&self, mut part: Completion) -> Bytes {
        if let Some(usage) = part.usage {
            let mut spent = self.spent;
            spent.add(&self.force, self.version, usage);
            part.cost_micro_euro = Some(spent.cost());
        }
        part.id.clone_from(&self.call.request);
        line(&serde_json::to_string(&part).unwrap_or_default())
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
