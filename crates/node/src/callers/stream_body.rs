//! The body of a streamed answer.
//!
//! Its end must be said: a body whose sender merely goes away, because its
//! task was cut or panicked, ends as an error, which cuts the connection. A
//! stream that was cut is thereby never a clean end.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use tokio::sync::mpsc;

/// Writes that wait for a slow reader; with the parts that wait for the
/// engine's thread, all of which may be in one write, they bound the memory of
/// a stream.
const BUFFER: usize = 4;

enum Item {
    Part(Bytes),
    Last(Bytes),
}

/// The receiving half, which the connection reads.
pub struct StreamBody {
    first: Option<Bytes>,
    receiver: mpsc::Receiver<Item>,
    ended: bool,
    cut: bool,
}

/// The sending half.
pub struct Sender {
    items: mpsc::Sender<Item>,
}

/// The caller has gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone;

impl StreamBody {
    /// Creates a body that begins with `first`, and the sender of the rest.
    ///
    /// The first part goes with the head: were it sent like the others, the
    /// first token would wait until one more task has had its turn.
    pub fn new(first: Option<Bytes>) -> (Sender, Self) {
        let (items, receiver) = mpsc::channel(BUFFER);
        let flow = Self {
            first,
            receiver,
            ended: false,
            cut: false,
        };
        (Sender { items }, flow)
    }
}

impl Sender {
    /// Sends a part.
    ///
    /// # Errors
    ///
    /// When the caller has gone.
    pub async fn send(&self, part: Bytes) -> Result<(), Gone> {
        self.items.send(Item::Part(part)).await.map_err(|_| Gone)
    }

    /// Sends the last part, with which the body ends whole.
    ///
    /// # Errors
    ///
    /// When the caller has gone.
    pub async fn finish(self, part: Bytes) -> Result<(), Gone> {
        self.items.send(Item::Last(part)).await.map_err(|_| Gone)
    }

    /// Waits until the caller has gone.
    pub async fn gone(&self) {
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
            // An error ends the connection at once, with all that has not been
            // flushed; a turn in between lets the typed error before it leave.
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
