//! Answers that are read whole before they are sent: the memory of each, and of all at a time.
//!
//! An answer may have no end, and many such answers may be read at the same time. So each may take half
//! of what the others leave, and large ones cannot keep out small ones. An answer counts by the capacity of
//! its buffer, from its first byte until the last one has been sent: a caller that does not read keeps it.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::body_memory::next_capacity;
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use tokio::sync::Notify;

use crate::clock::deadline;

/// Time that an answer waits for memory. By then a caller that reads nothing has lost its connection, and
/// the memory of its answer is free.
const MAX_WAIT: Duration = Duration::from_secs(3);

/// Why an answer is not whole.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// It takes more memory than any may.
    #[error("the answer has more than {0} bytes")]
    TooLong(usize),
    /// Others hold the memory that it needs.
    #[error("other answers hold the memory that it needs")]
    NoMemory,
    /// It was not read in time.
    #[error("the answer is not complete in time")]
    TooSlow,
    /// It broke off.
    #[error(transparent)]
    Broken(#[from] hyper::Error),
}

/// The memory of all answers.
#[derive(Clone, Debug)]
pub struct Buffers(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    max: AtomicUsize,
    held: AtomicUsize,
    released: Notify,
}

/// The memory of one answer, which is given back when this is dropped.
#[derive(Debug)]
pub struct Reserved {
    all: Arc<Shared>,
    bytes: usize,
}

impl Reserved {
    /// Adds bytes of the answer.
    ///
    /// # Errors
    ///
    /// When it would take more memory than it may now.
    pub fn add(&mut self, bytes: usize) -> Result<(), Failure> {
        self.resize(self.bytes + bytes)
    }

    /// Makes the answer hold `bytes` in all.
    fn resize(&mut self, bytes: usize) -> Result<(), Failure> {
        let max = self.all.max.load(Ordering::Relaxed);
        let of_others = self.all.held.load(Ordering::Relaxed) - self.bytes;
        if bytes > self.bytes && bytes > max / 2 {
            return Err(Failure::TooLong(max / 2));
        }
        if bytes > self.bytes && bytes > max.saturating_sub(of_others) / 2 {
            return Err(Failure::NoMemory);
        }
        self.all.held.store(of_others + bytes, Ordering::Relaxed);
        let is_smaller = bytes < std::mem::replace(&mut self.bytes, bytes);
        if is_smaller {
            self.all.released.notify_waiters();
        }
        Ok(())
    }

    /// The same, and waits for the memory until `until`.
    async fn wait_for(&mut self, bytes: usize, until: tokio::time::Instant) -> Result<(), Failure> {
        let until = until.min(tokio::time::Instant::now() + MAX_WAIT);
        loop {
            let all = self.all.clone();
            let released = all.released.notified();
            match self.resize(bytes) {
                Err(Failure::NoMemory) => {}
                result => return result,
            }
            let waited = tokio::time::timeout_at(until, released).await;
            waited.map_err(|_| Failure::NoMemory)?;
        }
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        self.all.held.fetch_sub(self.bytes, Ordering::Relaxed);
        self.all.released.notify_waiters();
    }
}

/// A whole answer and its memory.
struct Whole {
    bytes: Vec<u8>,
    _reserved: Reserved,
}

impl AsRef<[u8]> for Whole {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Buffers {
    /// Creates a memory of `max` bytes, of which none is held.
    #[must_use]
    pub fn new(max: usize) -> Self {
        Self(Arc::new(Shared {
            max: AtomicUsize::new(max),
            held: AtomicUsize::new(0),
            released: Notify::new(),
        }))
    }

    /// Sets how many bytes all answers may hold.
    pub fn set_max(&self, max: usize) {
        self.0.max.store(max, Ordering::Relaxed);
    }

    /// Returns the bytes that all answers hold.
    #[must_use]
    pub fn held(&self) -> usize {
        self.0.held.load(Ordering::Relaxed)
    }

    /// Returns the memory of an answer of which none has been read.
    #[must_use]
    pub fn reserve(&self) -> Reserved {
        Reserved {
            all: self.0.clone(),
            bytes: 0,
        }
    }

    /// Reads a body whole until `until`. Its memory is given back when the last of its bytes is dropped.
    ///
    /// # Errors
    ///
    /// When it breaks off, is not complete in time, or takes more memory than it may.
    pub async fn collect(&self, mut body: Incoming, until: Instant) -> Result<Bytes, Failure> {
        let until = deadline(until);
        let mut reserved = self.reserve();
        let mut whole = Vec::new();
        let length = body.size_hint().exact();
        let length = length.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
        if let Some(length) = length {
            reserved.wait_for(length, until).await?;
        }
        loop {
            let frame = tokio::time::timeout_at(until, body.frame()).await;
            let Some(frame) = frame.map_err(|_| Failure::TooSlow)? else {
                break;
            };
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            let needed = whole.len() + data.len();
            let max = length.unwrap_or(usize::MAX);
            let next = next_capacity(whole.capacity(), needed, max);
            if next > reserved.bytes {
                reserved.wait_for(next, until).await?;
            }
            whole.reserve_exact(next - whole.len());
            whole.extend_from_slice(&data);
        }
        whole.shrink_to_fit();
        reserved.resize(whole.len())?;
        Ok(Bytes::from_owner(Whole {
            bytes: whole,
            _reserved: reserved,
        }))
    }
}
