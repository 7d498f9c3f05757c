//! The body of a streamed response, fed by another task.
//!
//! Parts and the end pass through one channel, so the end cannot overtake a part. A body whose
//! sender is dropped before [`Sender::finish`] ends with an error, which cuts the connection.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use tokio::sync::mpsc;

/// Number of parts that are buffered for a slow reader.
const BUFFERED_PARTS: usize = 4;

enum Part {
    Data(Bytes),
    End,
}

/// The receiving half, which is read by the connection.
pub struct StreamBody {
    receiver: mpsc::Receiver<Part>,
    has_ended: bool,
}

/// The sending half.
pub struct Sender {
    parts: mpsc::Sender<Part>,
}

/// The client has closed the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed;

impl StreamBody {
    /// Creates an empty body and its sender.
    #[must_use]
    pub fn new() -> (Sender, Self) {
        let (parts, receiver) = mpsc::channel(BUFFERED_PARTS);
        let body = Self {
            receiver,
            has_ended: false,
        };
        (Sender { parts }, body)
    }
}

impl Sender {
    /// Sends a part.
    ///
    /// # Errors
    ///
    /// Returns [`Closed`] when the client has closed the connection.
    pub async fn send(&self, bytes: Bytes) -> Result<(), Closed> {
        let sent = self.parts.send(Part::Data(bytes)).await;
        sent.map_err(|_| Closed)
    }

    /// Ends the body.
    ///
    /// # Errors
    ///
    /// Returns [`Closed`] when the client has closed the connection.
    pub async fn finish(self) -> Result<(), Closed> {
        self.parts.send(Part::End).await.map_err(|_| Closed)
    }
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        let part = ready!(self.receiver.poll_recv(context));
        Poll::Ready(match part {
            Some(Part::Data(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(Part::End) => {
                self.has_ended = true;
                None
            }
            None => {
                self.has_ended = true;
                Some(Err(io::Error::other("cut by the stand-in")))
            }
        })
    }
}
