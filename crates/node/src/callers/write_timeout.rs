//! A socket with a time-out on writes that make no progress.
//!
//! A caller that stops reading in the middle of its answer holds a permit, a
//! thread and buffers for as long as it likes, and a few such callers would use
//! up all permits of the process. A write that makes no progress within the
//! limit fails, which ends the connection and cancels the attempt.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::node_state::NodeState;

/// A socket with a limit on writes that make no progress.
pub struct Socket {
    stream: TcpStream,
    shared: Arc<NodeState>,
    limit: Duration,
    waiting: Option<Pin<Box<Sleep>>>,
}

impl Socket {
    /// Wraps `stream`; the limit is `write_timeout_ms` of the settings.
    pub fn new(shared: Arc<NodeState>, stream: TcpStream) -> Self {
        let limit = Duration::from_millis(shared.settings.limits.write_timeout_ms);
        Self {
            stream,
            shared,
            limit,
            waiting: None,
        }
    }

    /// Returns the wrapped socket.
    pub fn into_inner(self) -> TcpStream {
        self.stream
    }

    /// Returns the result of a write, or a time-out error once writes have made
    /// no progress within the limit.
    fn check_progress<T>(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.waiting = None;
            return written;
        }
        let limit = self.limit;
        let waiting = self
            .waiting
            .get_or_insert_with(|| Box::pin(sleep_until(Instant::now() + limit)));
        if waiting.as_mut().poll(context).is_pending() {
            return Poll::Pending;
        }
        self.shared.metrics.count("callers.slow_reader");
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.check_progress(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, bytes);
        self.check_progress(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
