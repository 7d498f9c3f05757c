//! Bodies of callers' requests, from the first byte that is read to the last attempt that sends them.
//!
//! Each is one buffer that grows, and counts in [`BodyMemory`] by its capacity. The pieces that a body
//! arrives in are copied and dropped: a piece of one byte would keep the whole buffer of its connection,
//! and its own bookkeeping takes many times its size.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::body_memory::{BodyMemory, Key, Refused, next_capacity};
use prometheus::IntGauge;
use slotmap::SecondaryMap;
use tokio::sync::Notify;

/// The bodies of a node.
#[derive(Clone, Debug)]
pub struct Bodies(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    memory: RefCell<BodyMemory>,
    buffers: RefCell<SecondaryMap<Key, Buffer>>,
    held: IntGauge,
}

/// The buffer of a body that is being read.
#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    yielded: Rc<Notify>,
}

impl Bodies {
    /// Creates an empty set of bodies that may hold `max` bytes in all, shown in the gauge `held`.
    #[must_use]
    pub fn new(max: usize, held: IntGauge) -> Self {
        Self(Rc::new(Shared {
            memory: RefCell::new(BodyMemory::new(max)),
            buffers: RefCell::default(),
            held,
        }))
    }

    /// Sets how many bytes all bodies may hold.
    pub fn set_max(&self, max: usize) {
        self.0.memory.borrow_mut().set_max(max);
    }

    /// Begins a body of which nothing has been read.
    #[must_use]
    pub fn begin(&self, now: Instant) -> Reading {
        let key = self.0.memory.borrow_mut().begin(now);
        let buffer = Buffer::default();
        let yielded = buffer.yielded.clone();
        self.0.buffers.borrow_mut().insert(key, buffer);
        Reading {
            counted: Counted {
                shared: self.0.clone(),
                key,
            },
            yielded,
        }
    }
}

impl Shared {
    /// Makes a body hold `bytes`, and frees the memory of those that yield to it.
    fn resize(&self, now: Instant, key: Key, bytes: usize) -> Result<(), Refused> {
        let yielding = self.memory.borrow_mut().resize(now, key, bytes)?;
        let mut buffers = self.buffers.borrow_mut();
        for yielding in yielding {
            if let Some(buffer) = buffers.remove(yielding) {
                buffer.yielded.notify_one();
            }
        }
        self.update_gauge();
        Ok(())
    }

    fn update_gauge(&self) {
        let held = self.memory.borrow().held();
        self.held.set(i64::try_from(held).unwrap_or(i64::MAX));
    }
}

/// Counts a body until this is dropped.
#[derive(Debug)]
struct Counted {
    shared: Rc<Shared>,
    key: Key,
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.shared.buffers.borrow_mut().remove(self.key);
        self.shared.memory.borrow_mut().end(self.key);
        self.shared.update_gauge();
    }
}

/// A body that is being read.
#[derive(Debug)]
pub struct Reading {
    counted: Counted,
    yielded: Rc<Notify>,
}

impl Reading {
    /// Checks whether a body of `bytes` could be held now, so that one that cannot is not begun.
    ///
    /// # Errors
    ///
    /// When it could not.
    pub fn check(&self, now: Instant, bytes: usize) -> Result<(), Refused> {
        let memory = self.counted.shared.memory.borrow();
        memory.check(now, self.counted.key, bytes)
    }

    /// Adds bytes to the body, which may have `max` bytes in all.
    ///
    /// # Errors
    ///
    /// When there is no memory for them.
    pub fn append(&mut self, now: Instant, data: &[u8], max: usize) -> Result<(), Refused> {
        let Counted { shared, key } = &self.counted;
        let needed = self.len() + data.len();
        let capacity = shared.buffers.borrow().get(*key).map(capacity_of);
        let capacity = capacity.ok_or(Refused::Yielded)?;
        let next = next_capacity(capacity, needed, max);
        if next > capacity {
            shared.resize(now, *key, next)?;
        }
        let mut buffers = shared.buffers.borrow_mut();
        let bytes = &mut buffers.get_mut(*key).ok_or(Refused::Yielded)?.bytes;
        bytes.reserve_exact(next - bytes.len());
        bytes.extend_from_slice(data);
        shared.memory.borrow_mut().record_read(now, *key, needed);
        Ok(())
    }

    /// Returns how many bytes have been read.
    #[must_use]
    pub fn len(&self) -> usize {
        let Counted { shared, key } = &self.counted;
        let buffers = shared.buffers.borrow();
        buffers.get(*key).map_or(0, |buffer| buffer.bytes.len())
    }

    /// Returns whether nothing has been read.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Waits until the body has yielded its memory to another. It may be cancelled.
    pub async fn yielded(&self) {
        self.yielded.notified().await;
    }

    /// Ends the reading of a body that is complete.
    ///
    /// # Errors
    ///
    /// When it has yielded its memory to another.
    pub fn complete(self, now: Instant) -> Result<Held, Refused> {
        let Counted { shared, key } = &self.counted;
        let buffer = shared.buffers.borrow_mut().remove(*key);
        let mut bytes = buffer.ok_or(Refused::Yielded)?.bytes;
        bytes.shrink_to_fit();
        shared.memory.borrow_mut().complete(*key);
        shared.resize(now, *key, bytes.len())?;
        Ok(Held {
            bytes: Bytes::from(bytes),
            _counted: self.counted,
        })
    }
}

fn capacity_of(buffer: &Buffer) -> usize {
    buffer.bytes.capacity()
}

/// A whole body, which counts until this is dropped.
#[derive(Debug)]
pub struct Held {
    /// The body.
    pub bytes: Bytes,
    _counted: Counted,
}
