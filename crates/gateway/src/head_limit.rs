//! A connection whose remote host may send only so many bytes, for so long, before the head of a response
//! is complete.
//!
//! The HTTP client reads interim responses (1xx) for ever, and a header that grows by a few bytes at a
//! time until the caller's deadline. Neither is seen above the connection.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use fescuerack_core::clock::Instant;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::clock::now;

/// Maximum size in bytes of a head with its interim responses, and of what is read together with it.
pub const MAX_HEAD_BYTES: usize = 64 << 10;
/// Milliseconds after the first byte of a head after which a further read finds it too slow. A lost
/// packet is sent again within half a second.
const MAX_HEAD_MS: u64 = 1_000;
/// Number of reads from which on a head may be too slow: interim responses come seconds apart.
const MIN_SLOW_READS: u32 = 8;

/// Why a head is not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Endless {
    /// It is longer than any.
    #[error("a head of more than {MAX_HEAD_BYTES} bytes")]
    Long,
    /// It goes on for longer than any.
    #[error("a head that takes more than {MAX_HEAD_MS} ms")]
    Slow,
}

/// How far a head has been read.
#[derive(Clone, Copy, Debug)]
struct Progress {
    bytes: usize,
    reads: u32,
    /// When it must be complete.
    until: Instant,
}

/// Whether a head is awaited on a connection, and how far it has been read.
#[derive(Clone, Debug, Default)]
pub struct HeadLimit(Rc<Cell<Option<Progress>>>);

impl HeadLimit {
    /// Begins to wait for a head.
    pub fn begin(&self) {
        self.0.set(Some(Progress {
            bytes: 0,
            reads: 0,
            until: Instant::ORIGIN,
        }));
    }

    /// Records that the head is complete.
    pub fn end(&self) {
        self.0.set(None);
    }

    fn record(&self, read: usize) -> Result<(), Endless> {
        let Some(mut progress) = self.0.get() else {
            return Ok(());
        };
        if progress.reads == 0 {
            progress.until = now().plus_millis(MAX_HEAD_MS);
        }
        progress.bytes += read;
        progress.reads += 1;
        self.0.set(Some(progress));
        if progress.bytes > MAX_HEAD_BYTES {
            return Err(Endless::Long);
        }
        if progress.reads > MIN_SLOW_READS && now() > progress.until {
            return Err(Endless::Slow);
        }
        Ok(())
    }
}

/// A connection with a limit on heads.
#[derive(Debug)]
pub struct Limited<S> {
    stream: S,
    limit: HeadLimit,
}

impl<S> Limited<S> {
    /// Limits the heads that are read from `stream`.
    pub const fn new(stream: S, limit: HeadLimit) -> Self {
        Self { stream, limit }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Limited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read = buffer.filled().len() - before;
        let recorded = self.limit.record(read);
        Poll::Ready(recorded.map_err(io::Error::other))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Limited<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Returns whether the response on a connection could not be read because of what the remote host sent,
/// so that the connection did not break.
#[must_use]
pub fn is_unreadable(error: &hyper::Error) -> bool {
    let mut cause: Option<&(dyn std::error::Error + 'static)> = Some(error);
    while let Some(error) = cause {
        let inner = error
            .downcast_ref::<io::Error>()
            .and_then(io::Error::get_ref);
        if let Some(inner) = inner
            && inner.is::<Endless>()
        {
            return true;
        }
        cause = error.source();
    }
    error.is_parse()
}
