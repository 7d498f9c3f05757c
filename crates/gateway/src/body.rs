//! Bodies of responses to callers and to peers.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::channel::Channel;
use http_body_util::{BodyExt as _, Full};
use hyper::body::{Body, Frame, SizeHint};
use tokio::task::AbortHandle;

use crate::permits::Permit;

/// Why a body was aborted. The connection is then closed without the end of the body, so that the
/// caller can detect the truncation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AbortReason {
    /// The backend server failed and no other one could continue.
    #[error("the backend server failed in the middle of the answer")]
    UpstreamFailed,
    /// The deadline of the request has passed.
    #[error("the deadline of the request has passed")]
    DeadlineExceeded,
}

/// Bytes of a [`Paced`] body in one frame: 13 ms on a link of 10 Mbit/s.
const CHUNK_BYTES: usize = 16_384;

/// A buffered body that is sent in frames of bounded size, as fast as its connection accepts them.
/// It holds its permits until the last frame.
#[derive(Debug)]
pub struct Paced {
    rest: Bytes,
    permits: Vec<Permit>,
}

impl Paced {
    /// Creates a body that consists of `bytes`.
    #[must_use]
    pub const fn new(bytes: Bytes, permits: Vec<Permit>) -> Self {
        Self {
            rest: bytes,
            permits,
        }
    }
}

impl Body for Paced {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let body = self.get_mut();
        if body.rest.is_empty() {
            body.permits.clear();
            return Poll::Ready(None);
        }
        let chunk = body.rest.split_to(CHUNK_BYTES.min(body.rest.len()));
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}

/// The body of a response to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// All bytes are in memory.
    Buffered(Full<Bytes>),
    /// A task forwards the bytes as they arrive.
    Relayed(Relayed),
}

/// A body that a task relays. Dropping the body aborts the task, which happens as soon as the
/// caller disconnects. This closes the connection to the backend server as well, so that the server
/// does not work for a caller that has disconnected.
#[derive(Debug)]
pub struct Relayed {
    /// First bytes, if they have been waited for.
    first: Option<Bytes>,
    channel: Channel<Bytes, AbortReason>,
    task: AbortHandle,
}

impl Relayed {
    /// Creates a body from the receiver of a channel and the task that sends to it.
    #[must_use]
    pub const fn new(channel: Channel<Bytes, AbortReason>, task: AbortHandle) -> Self {
        Self {
            first: None,
            channel,
            task,
        }
    }

    /// Waits for the first bytes; returns whether there are any.
    async fn begin(&mut self) -> bool {
        while self.first.is_none() {
            let Some(Ok(frame)) = self.channel.frame().await else {
                return false;
            };
            self.first = frame.into_data().ok();
        }
        true
    }
}

impl Drop for Relayed {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ResponseBody {
    /// Creates a body that consists of `bytes`.
    #[must_use]
    pub fn buffered(bytes: Bytes) -> Self {
        Self::Buffered(Full::new(bytes))
    }

    /// Waits until the body has begun; returns whether it does. It may be cancelled.
    pub async fn begin(&mut self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Relayed(body) => body.begin().await,
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = AbortReason;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AbortReason>>> {
        match self.get_mut() {
            Self::Buffered(body) => Pin::new(body)
                .poll_frame(context)
                .map_err(|never| match never {}),
            Self::Relayed(body) => match body.first.take() {
                Some(first) => Poll::Ready(Some(Ok(Frame::data(first)))),
                None => Pin::new(&mut body.channel).poll_frame(context),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Relayed(body) => body.first.is_none() && body.channel.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Relayed(_) => SizeHint::default(),
        }
    }
}

/// A body that holds a `Guard` until it has been sent or dropped.
#[derive(Debug)]
pub struct Guarded<Guard> {
    body: ResponseBody,
    _guard: Guard,
}

impl<Guard> Guarded<Guard> {
    /// Creates a body that holds `guard`.
    #[must_use]
    pub const fn new(body: ResponseBody, guard: Guard) -> Self {
        Self {
            body,
            _guard: guard,
        }
    }
}

impl<Guard: Unpin> Body for Guarded<Guard> {
    type Data = Bytes;
    type Error = AbortReason;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AbortReason>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
