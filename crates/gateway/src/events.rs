//! Splitting of an event stream (`text/event-stream`) at the boundaries of events.
//!
//! A server may fail in the middle of an event. Only whole events are forwarded, so that a resumed
//! stream continues with the next event and the caller never receives a partial event followed by
//! another one.
//!
//! Lines end with `\n`, `\r\n` or `\r`, and a blank line ends an event. Blank lines, comments and `retry`
//! fields dispatch nothing, so a stream that ends with them is complete.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Byte order mark, which may precede the first line.
const BYTE_ORDER_MARK: &[u8] = b"\xEF\xBB\xBF";

/// An event exceeds the maximum size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct TooLong;

/// Splits a stream into whole events and buffers the rest.
#[derive(Debug, Default)]
pub struct Splitter {
    partial: BytesMut,
    last: Option<u64>,
    count: u64,
}

impl Splitter {
    /// Creates a splitter for a stream of which the caller has received all events up to `last`.
    #[must_use]
    pub fn new(last: Option<u64>) -> Self {
        Self {
            partial: BytesMut::new(),
            last,
            count: 0,
        }
    }

    /// Returns the identifier of the last event that was forwarded.
    #[must_use]
    pub const fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns the number of events that were forwarded.
    #[must_use]
    pub const fn count(&self) -> u64 {
        self.count
    }

    /// Returns whether an event has begun that has not ended: a field that belongs to one.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        lines(&self.partial).any(begins_event)
    }

    /// Drops the partial event at the end of a broken stream.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// Adds bytes and returns the events that they complete, without those that the caller has
    /// already received.
    ///
    /// # Errors
    ///
    /// When an event exceeds the maximum size.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, TooLong> {
        self.partial.extend_from_slice(bytes);
        let mut events = BytesMut::new();
        while let Some(end) = end_of_event(&self.partial) {
            let event = self.partial.split_to(end);
            if self.is_new(&event) {
                events.extend_from_slice(&event);
            }
        }
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(TooLong);
        }
        Ok(events.freeze())
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

/// Returns the first line without its end, and the position after that; `None` if it has not ended.
fn first_line(bytes: &[u8]) -> Option<(&[u8], usize)> {
    let end = bytes
        .iter()
        .position(|byte| matches!(byte, b'\n' | b'\r'))?;
    let is_pair = bytes[end..].starts_with(b"\r\n");
    Some((&bytes[..end], end + 1 + usize::from(is_pair)))
}

/// Returns the lines, including one at the end that has not ended.
fn lines(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = bytes.strip_prefix(BYTE_ORDER_MARK).unwrap_or(bytes);
    std::iter::from_fn(move || {
        if rest.is_empty() {
            return None;
        }
        let (line, after) = first_line(rest).unwrap_or((rest, rest.len()));
        rest = &rest[after..];
        Some(line)
    })
}

/// Returns the position after the blank line that ends the first event. The `\n` of a blank line that
/// ends with `\r\n` may arrive later; it is then a blank line of its own, which dispatches nothing.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let mut from = 0;
    while let Some((line, after)) = first_line(&bytes[from..]) {
        from += after;
        if line.is_empty() {
            return Some(from);
        }
    }
    None
}

/// Returns whether a line, which may not have ended, belongs to an event.
fn begins_event(line: &[u8]) -> bool {
    let name = line.split(|&byte| byte == b':').next().unwrap_or_default();
    !name.is_empty() && name != b"retry"
}

fn id_of(event: &[u8]) -> Option<u64> {
    lines(event).find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
