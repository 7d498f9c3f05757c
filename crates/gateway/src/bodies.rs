//! Bodies of callers' requests, from the first byte that is read to the last attempt that sends them.
//!
//! Each is one buffer that grows, and counts in [`BodyMemory`] by its capacity. The pieces that a body
//! arrives in are copied and dropped: a piece of one byte would keep the whole buffer of its connection,
//! and its own bookkeeping takes many times its size.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::body_memory::{BodyMemory, Key, Refused, next_capacity};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use slotmap::SecondaryMap;
use tokio::sync::Notify;

/// How a body may be read.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size in bytes.
    pub bytes: usize,
    /// Time in which a part of it must arrive.
    pub idle: Duration,
}

/// Why a body is not read to its end. Nothing of it has been sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Reason {
    /// It is larger than it may be.
    #[error("the body has more than {0} bytes")]
    TooLarge(usize),
    /// It broke off, or its framing is wrong.
    #[error("the body broke off")]
    Incomplete,
    /// Nothing of it arrived for too long.
    #[error("the body has stopped")]
    Stalled,
    /// There is no memory for it.
    #[error(transparent)]
    NoMemory(#[from] Refused),
}

/// A body that was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Bytes that had been read.
    pub read: usize,
    /// Why.
    pub reason: Reason,
}

/// The bodies of a node.
#[derive(Clone, Debug)]
pub struct Bodies(Arc<Mutex<Inner>>);

#[derive(Debug)]
struct Inner {
    memory: BodyMemory,
    /// Those that are being read.
    buffers: SecondaryMap<Key, Buffer>,
}

/// The buffer of a body that is being read.
#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    yielded: Arc<Notify>,
}

impl Bodies {
    /// Creates an empty set of bodies that may hold `max` bytes in all.
    #[must_use]
    pub fn new(max: usize) -> Self {
        Self(Arc::new(Mutex::new(Inner {
            memory: BodyMemory::new(max),
            buffers: SecondaryMap::new(),
        })))
    }

    /// Sets how many bytes all bodies may hold.
    pub fn set_max(&self, max: usize) {
        self.lock().memory.set_max(max);
    }

    /// Returns the bytes that all bodies hold.
    #[must_use]
    pub fn held(&self) -> usize {
        self.lock().memory.held()
    }

    /// Begins a body of which nothing has been read.
    fn begin(&self, now: Instant) -> Reading {
        let buffer = Buffer::default();
        let yielded = buffer.yielded.clone();
        let mut inner = self.lock();
        let key = inner.memory.begin(now);
        inner.buffers.insert(key, buffer);
        drop(inner);
        Reading {
            counted: Counted {
                bodies: self.clone(),
                key,
            },
            yielded,
            read: 0,
        }
    }

    /// Reads a body into one buffer, within `limits`, which may change meanwhile. The pieces that it arrives in
    /// are not kept: each has its own bookkeeping, and keeps the buffer of its connection from which it was cut.
    ///
    /// # Errors
    ///
    /// When it is not read to its end.
    pub async fn collect(
        &self,
        body: Incoming,
        now: impl Fn() -> Instant,
        limits: impl Fn() -> Limits,
    ) -> Result<Bytes, Failure> {
        let mut reading = self.begin(now());
        let result = reading.fill(body, &now, &limits).await;
        let read = reading.read;
        let whole = result.and_then(|()| Ok(reading.complete(now())?));
        whole.map_err(|reason| Failure { read, reason })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Makes a body hold `bytes`, and frees the memory of those that yield to it.
    fn resize(&mut self, now: Instant, key: Key, bytes: usize) -> Result<(), Refused> {
        for yielding in self.memory.resize(now, key, bytes)? {
            if let Some(buffer) = self.buffers.remove(yielding) {
                buffer.yielded.notify_one();
            }
        }
        Ok(())
    }
}

/// Counts a body until this is dropped.
#[derive(Debug)]
struct Counted {
    bodies: Bodies,
    key: Key,
}

impl Drop for Counted {
    fn drop(&mut self) {
        let mut inner = self.bodies.lock();
        inner.buffers.remove(self.key);
        inner.memory.end(self.key);
    }
}

/// A body that is being read.
#[derive(Debug)]
struct Reading {
    counted: Counted,
    yielded: Arc<Notify>,
    /// Bytes that have been read.
    read: usize,
}

impl Reading {
    /// Reads a body to its end.
    async fn fill(
        &mut self,
        mut body: Incoming,
        now: &impl Fn() -> Instant,
        limits: &impl Fn() -> Limits,
    ) -> Result<(), Reason> {
        let length = body.size_hint().exact();
        let length = length.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
        if let Some(length) = length {
            check_size(length, limits().bytes)?;
            self.check(now(), length)?;
        }
        while let Some(data) = self.next_piece(&mut body, limits().idle).await? {
            let max = limits().bytes;
            check_size(self.read + data.len(), max)?;
            let expected = length.map_or(max, |length| length.min(max));
            self.append(now(), &data, expected)?;
        }
        Ok(())
    }

    /// Returns the next piece of a body; `None` at its end.
    async fn next_piece(
        &self,
        body: &mut Incoming,
        idle: Duration,
    ) -> Result<Option<Bytes>, Reason> {
        let frame = tokio::select! {
            biased;
            () = self.yielded() => return Err(Refused::Yielded.into()),
            frame = tokio::time::timeout(idle, body.frame()) => frame,
        };
        let Some(frame) = frame.map_err(|_| Reason::Stalled)? else {
            return Ok(None);
        };
        let frame = frame.map_err(|_| Reason::Incomplete)?;
        // Trailers are not passed on.
        Ok(Some(frame.into_data().unwrap_or_default()))
    }

    /// Checks whether a body of `bytes` could be held now, so that one that cannot is not begun.
    fn check(&self, now: Instant, bytes: usize) -> Result<(), Refused> {
        let Counted { bodies, key } = &self.counted;
        bodies.lock().memory.check(now, *key, bytes)
    }

    /// Adds bytes to the body, which may have `max` bytes in all.
    fn append(&mut self, now: Instant, data: &[u8], max: usize) -> Result<(), Refused> {
        let Counted { bodies, key } = &self.counted;
        let mut inner = bodies.lock();
        let buffer = inner.buffers.get(*key).ok_or(Refused::Yielded)?;
        let capacity = buffer.bytes.capacity();
        let needed = self.read + data.len();
        let next = next_capacity(capacity, needed, max);
        if next > capacity {
            inner.resize(now, *key, next)?;
        }
        inner.memory.record_read(now, *key, needed);
        let buffer = inner.buffers.get_mut(*key).ok_or(Refused::Yielded)?;
        buffer.bytes.reserve_exact(next - self.read);
        buffer.bytes.extend_from_slice(data);
        self.read = needed;
        Ok(())
    }

    /// Waits until the body has yielded its memory to another. It may be cancelled.
    async fn yielded(&self) {
        self.yielded.notified().await;
    }

    /// Ends the reading of a body that is complete. It counts until the last of its bytes is dropped.
    fn complete(self, now: Instant) -> Result<Bytes, Refused> {
        let Counted { bodies, key } = &self.counted;
        let mut inner = bodies.lock();
        let buffer = inner.buffers.remove(*key).ok_or(Refused::Yielded)?;
        let mut bytes = buffer.bytes;
        bytes.shrink_to_fit();
        inner.memory.complete(*key);
        inner.resize(now, *key, bytes.len())?;
        drop(inner);
        Ok(Bytes::from_owner(Whole {
            bytes,
            _counted: self.counted,
        }))
    }
}

fn check_size(bytes: usize, max: usize) -> Result<(), Reason> {
    if bytes > max {
        return Err(Reason::TooLarge(max));
    }
    Ok(())
}

/// A whole body.
struct Whole {
    bytes: Vec<u8>,
    _counted: Counted,
}

impl AsRef<[u8]> for Whole {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
