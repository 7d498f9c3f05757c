//! The body of a streamed answer.
//!
//! A body ends normally only when its sender calls [`Sender::finish`]. If the
//! sender is dropped before, because its task was cancelled or panicked, the
//! body ends with an error, which cuts the connection. So a caller never takes a
//! truncated stream for a complete one.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use tokio::sync::mpsc;

/// Number of writes that are buffered for a slow reader. The events buffered
/// from the engine's thread come on top and may all be in one write; together
/// they bound the memory of a stream.
const BUFFERED_WRITES: usize = 4;

enum Item {
    Part(Bytes),
    Last(Bytes),
}

/// The receiving half, which is read by the connection.
pub struct StreamBody {
    first: Option<Bytes>,
    receiver: mpsc::Receiver<Item>,
    ended: bool,
    cut: bool,
}

/// The sending half of a body.
pub struct Sender {
    items: mpsc::Sender<Item>,
}

/// The caller has closed the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disconnected;

impl StreamBody {
    /// Creates a body that begins with `first`, and the sender of the rest.
    ///
    /// The first part is sent together with the head. If it went through the
    /// channel like the others, the first token would wait until another task
    /// is scheduled.
    pub fn new(first: Option<Bytes>) -> (Sender, Self) {
        let (items, receiver) = mpsc::channel(BUFFERED_WRITES);
        let body = Self {
            first,
            receiver,
            ended: false,
            cut: false,
        };
        (Sender { items }, body)
    }
}

impl Sender {
    /// Sends a part.
    ///
    /// # Errors
    ///
    /// When the caller has disconnected.
    pub async fn send(&self, part: Bytes) -> Result<(), Disconnected> {
        self.items
            .send(Item::Part(part))
            .await
            .map_err(|_| Disconnected)
    }

    /// Sends the last part, after which the body is complete.
    ///
    /// # Errors
    ///
    /// When the caller has disconnected.
    pub async fn finish(self, part: Bytes) -> Result<(), Disconnected> {
        self.items
            .send(Item::Last(part))
            .await
            .map_err(|_| Disconnected)
    }

    /// Waits until the caller has disconnected.
    pub async fn disconnected(&self) {
        self.items.closed().await;
    }
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        match ready!(self.receiver.poll_recv(context)) {
            Some(Item::Part(part)) => Poll::Ready(Some(Ok(Frame::data(part)))),
            Some(Item::Last(part)) => {
                self.ended = true;
                Poll::Ready(Some(Ok(Frame::data(part))))
            }
            // An error ends the connection at once and drops what has not been
            // flushed. Yielding once before it lets the typed error that was
            // sent last be flushed.
            None if !self.cut => {
                self.cut = true;
                context.waker().wake_by_ref();
                Poll::Pending
            }
            None => {
                self.ended = true;
                Poll::Ready(Some(Err(io::Error::other("the answer was cut"))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }
}
