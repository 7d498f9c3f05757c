//! Memory of the bodies of callers' requests: who may take more of it, and who yields.
//!
//! A node reads each body whole before it sends the request on, and keeps it until the last attempt has
//! ended. One body is bounded by the operators' limit; this bounds all of them together. Without it, a
//! few hundred legal bodies that stop just short of their end take the memory of a small machine.
//!
//! What is counted is the capacity of each body's buffer, from its first byte to its last use. When there
//! is not enough:
//!
//! - a body that is complete never yields: it is the closest to an answer;
//! - bodies that are not read on for [`STALL_MS`] yield to any other, the one that has stopped for
//!   longest first;
//! - a body may take half of what the others leave, so that large ones cannot keep out smaller ones;
//! - the last quarter is for small bodies alone, so that ordinary requests pass beside large ones.
//!
//! A body that is alone may take all. The bound therefore holds at least one body of the largest size that
//! the operators allow.

use slotmap::{SlotMap, new_key_type};

use crate::clock::Instant;

/// Size in bytes up to which a body is small: prompts of ordinary requests have some tens of kilobytes.
pub const SMALL_BYTES: usize = 64 << 10;
/// Milliseconds without progress after which a body yields to others. A lost packet is sent again within
/// half a second.
pub const STALL_MS: u64 = 1_000;
/// Bytes that count as progress. A body that gets less in [`STALL_MS`] holds its memory for longer than
/// its bytes are worth.
const PROGRESS_BYTES: usize = 4 << 10;
/// Share of the memory that only small bodies may take, as a divisor.
const SMALL_SHARE_DIVISOR: usize = 4;
/// Capacity in bytes with which a buffer begins, if the length of its body is not known.
const FIRST_BYTES: usize = 16 << 10;

new_key_type! {
    /// A body whose memory is counted.
    pub struct Key;
}

/// Why a body gets no more memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// All bodies together have too much.
    #[error("bodies of requests hold {held} of {max} bytes")]
    Full {
        /// Bytes that are held.
        held: usize,
        /// Bytes that may be held.
        max: usize,
    },
    /// The body has yielded to another.
    #[error("the body has stopped, and its memory was needed")]
    Yielded,
}

#[derive(Clone, Copy, Debug)]
struct Body {
    bytes: usize,
    is_complete: bool,
    /// Bytes that had been read at the last progress, and its time.
    read: usize,
    progressed_at: Instant,
}

/// The memory of all bodies.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    max: usize,
    held: usize,
    bodies: SlotMap<Key, Body>,
}

impl BodyMemory {
    /// Creates a memory of `max` bytes, of which none is held.
    #[must_use]
    pub fn new(max: usize) -> Self {
        Self {
            max,
            held: 0,
            bodies: SlotMap::with_key(),
        }
    }

    /// Sets how many bytes may be held. What is held beyond that stays until it is given back.
    pub const fn set_max(&mut self, max: usize) {
        self.max = max;
    }

    /// Returns the bytes that are held.
    #[must_use]
    pub const fn held(&self) -> usize {
        self.held
    }

    /// Begins to count a body of which nothing has been read.
    pub fn begin(&mut self, now: Instant) -> Key {
        self.bodies.insert(Body {
            bytes: 0,
            is_complete: false,
            read: 0,
            progressed_at: now,
        })
    }

    /// Checks whether a body could hold `bytes` in all now.
    ///
    /// # Errors
    ///
    /// When it could not.
    pub fn check(&self, now: Instant, key: Key, bytes: usize) -> Result<(), Refused> {
        self.room(now, key, bytes).map(drop)
    }

    /// Makes a body hold `bytes` in all. Returns the bodies that yield to it and are no longer counted:
    /// their memory must be freed at once.
    ///
    /// # Errors
    ///
    /// When it must not; it then holds what it held.
    pub fn resize(&mut self, now: Instant, key: Key, bytes: usize) -> Result<Vec<Key>, Refused> {
        let yielding = self.room(now, key, bytes)?;
        for other in &yielding {
            self.end(*other);
        }
        let body = self.bodies.get_mut(key).ok_or(Refused::Yielded)?;
        self.held = self.held - body.bytes + bytes;
        body.bytes = bytes;
        Ok(yielding)
    }

    /// Returns the bodies that must yield for a body to hold `bytes` in all.
    fn room(&self, now: Instant, key: Key, bytes: usize) -> Result<Vec<Key>, Refused> {
        let own = self.bodies.get(key).ok_or(Refused::Yielded)?.bytes;
        let mut others = self.held - own;
        let mut yielding = Vec::new();
        if bytes <= own || self.fits(bytes, others) {
            return Ok(yielding);
        }
        for (other, freed) in self.stalled(now, key) {
            yielding.push(other);
            others -= freed;
            if self.fits(bytes, others) {
                return Ok(yielding);
            }
        }
        Err(Refused::Full {
            held: self.held,
            max: self.max,
        })
    }

    /// Records that `read` bytes of a body have been read in all.
    pub fn record_read(&mut self, now: Instant, key: Key, read: usize) {
        if let Some(body) = self.bodies.get_mut(key)
            && read >= body.read + PROGRESS_BYTES
        {
            body.read = read;
            body.progressed_at = now;
        }
    }

    /// Records that a body has been read whole. It no longer yields.
    pub fn complete(&mut self, key: Key) {
        if let Some(body) = self.bodies.get_mut(key) {
            body.is_complete = true;
        }
    }

    /// Gives back the memory of a body.
    pub fn end(&mut self, key: Key) {
        if let Some(body) = self.bodies.remove(key) {
            self.held -= body.bytes;
        }
    }

    /// Whether a body may hold `bytes` while the others hold `others`.
    const fn fits(&self, bytes: usize, others: usize) -> bool {
        if others == 0 {
            return bytes <= self.max;
        }
        let left = self.max.saturating_sub(others);
        if bytes <= SMALL_BYTES {
            return bytes <= left;
        }
        bytes <= left.saturating_sub(self.max / SMALL_SHARE_DIVISOR) / 2
    }

    /// Returns the bodies other than `key` that have stopped, with the bytes of each, the one that has
    /// stopped for longest first.
    fn stalled(&self, now: Instant, key: Key) -> Vec<(Key, usize)> {
        let others = self.bodies.iter().filter(|(other, body)| {
            let yields_at = body.progressed_at.plus_millis(STALL_MS);
            *other != key && !body.is_complete && body.bytes > 0 && yields_at <= now
        });
        let mut stalled: Vec<_> = others.collect();
        stalled.sort_by_key(|(_, body)| body.progressed_at);
        let stalled = stalled.into_iter();
        stalled.map(|(other, body)| (other, body.bytes)).collect()
    }
}

/// Returns the capacity in bytes of a buffer of `capacity` that must hold `needed`, and of which at most
/// `max` will be needed. It doubles, so that bytes are copied twice at most.
#[must_use]
pub fn next_capacity(capacity: usize, needed: usize, max: usize) -> usize {
    if needed <= capacity {
        return capacity;
    }
    let doubled = (capacity * 2).max(FIRST_BYTES);
    doubled.min(max).max(needed)
}
