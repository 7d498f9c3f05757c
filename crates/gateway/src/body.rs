//! Bodies of answers to callers and to other nodes.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use http_body_util::channel::Channel;
use hyper::body::{Body, Frame, SizeHint};
use tokio::task::AbortHandle;

use crate::places::Place;

/// Why a body ended before its end. The connection is then cut, so that what the
/// caller has does not look whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AbortReason {
    /// The server broke off and nobody could go on.
    #[error("the backend server broke off")]
    UpstreamFailed,
    /// The request's time is over.
    #[error("the request's time is over")]
    DeadlineExceeded,
}

/// Bytes of a [`Paced`] body that are handed over at a time: 13 ms of a link of 10 Mbit/s.
const CHUNK_BYTES: usize = 16_384;

/// A whole body that is handed over in parts, as fast as its connection takes them, and holds
/// a place until the last one.
#[derive(Debug)]
pub struct Paced {
    rest: Bytes,
    place: Option<Place>,
}

impl Paced {
    /// Creates a body from all its bytes.
    #[must_use]
    pub const fn new(bytes: Bytes, place: Option<Place>) -> Self {
        Self { rest: bytes, place }
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
            body.place = None;
            return Poll::Ready(None);
        }
        let part = body.rest.split_to(CHUNK_BYTES.min(body.rest.len()));
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}

/// A body that is whole, or one that a task relays.
#[derive(Debug)]
pub enum ResponseBody {
    /// All bytes.
    Buffered(Full<Bytes>),
    /// Bytes as they come.
    Relayed(Relayed),
}

/// A body that a task relays. The task ends when the body is dropped, which
/// happens as soon as the caller has gone; with it ends its connection to the
/// backend server, so that nobody works for a caller who left.
#[derive(Debug)]
pub struct Relayed {
    channel: Channel<Bytes, AbortReason>,
    task: AbortHandle,
}

impl Relayed {
    /// Creates a body from the receiving side of a channel and the task that fills it.
    #[must_use]
    pub const fn new(channel: Channel<Bytes, AbortReason>, task: AbortHandle) -> Self {
        Self { channel, task }
    }
}

impl Drop for Relayed {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ResponseBody {
    /// Creates a body from all its bytes.
    #[must_use]
    pub fn buffered(bytes: Bytes) -> Self {
        Self::Buffered(Full::new(bytes))
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
            Self::Relayed(body) => Pin::new(&mut body.channel).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Relayed(body) => body.channel.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Relayed(body) => body.channel.size_hint(),
        }
    }
}
