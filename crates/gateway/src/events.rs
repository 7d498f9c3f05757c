//! Splitting a stream of events (`text/event-stream`) at the ends of events.
//!
//! A server may stop in the middle of an event. What is passed on ends with a
//! whole event, so that a resumed stream goes on with the next one and the caller
//! never sees half an event followed by another.

use bytes::{Bytes, BytesMut};

/// Bytes of one event that are held at most; a longer one is an error.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event that is too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct TooLong;

/// Holds back what does not yet end with a whole event.
#[derive(Debug, Default)]
pub struct Splitter {
    held: BytesMut,
    last: Option<u64>,
    count: u64,
}

impl Splitter {
    /// Creates a splitter for a stream of which the caller has all events up to
    /// `last`.
    #[must_use]
    pub fn new(last: Option<u64>) -> Self {
        Self {
            held: BytesMut::new(),
            last,
            count: 0,
        }
    }

    /// Identifier of the last whole event that was passed on.
    #[must_use]
    pub const fn last(&self) -> Option<u64> {
        self.last
    }

    /// Number of whole events that were passed on.
    #[must_use]
    pub const fn count(&self) -> u64 {
        self.count
    }

    /// Whether part of an event is held.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        !self.held.is_empty()
    }

    /// Drops the part of an event that a broken stream left.
    pub fn drop_partial(&mut self) {
        self.held.clear();
    }

    /// Takes in bytes and returns the whole events that they complete. Events that
    /// the caller has already are left out.
    ///
    /// # Errors
    ///
    /// When an event is too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, TooLong> {
        self.held.extend_from_slice(bytes);
        let mut whole = BytesMut::new();
        while let Some(end) = end_of_event(&self.held) {
            let event = self.held.split_to(end);
            if self.is_new(&event) {
                whole.extend_from_slice(&event);
            }
        }
        if self.held.len() > MAX_EVENT_BYTES {
            return Err(TooLong);
        }
        Ok(whole.freeze())
    }

    fn is_new(&mut self, event: &[u8]) -> bool {
        let Some(id) = id_of(event) else {
            return true;
        };
        let is_new = self.last.is_none_or(|last| id > last);
        if is_new {
            self.last = Some(id);
            self.count += 1;
        }
        is_new
    }
}

/// Position after the blank line that ends the first event.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let mut from = 0;
    while let Some(at) = bytes[from..].iter().position(|&byte| byte == b'\n') {
        let next = from + at + 1;
        match bytes.get(next..) {
            Some([b'\n', ..]) => return Some(next + 1),
            Some([b'\r', b'\n', ..]) => return Some(next + 2),
            _ => from = next,
        }
    }
    None
}

fn id_of(event: &[u8]) -> Option<u64> {
    event.split(|&byte| byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
