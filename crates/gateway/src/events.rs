//! Splitting of an event stream (`text/event-stream`) at the boundaries of events.
//!
//! A server may fail in the middle of an event. Only whole events are forwarded, so that a resumed
//! stream continues with the next event and the caller never receives a partial event followed by
//! another one.
//!
//! Blank lines and comments are no events: they are forwarded with the next one, or at the end of the
//! stream, and only so many bytes of them are accepted.
//!
//! Lines end with `\n`, `\r\n` or `\r`, and a blank line ends an event. Blank lines, comments and `retry`
//! fields dispatch nothing, so a stream that ends with them is complete.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Byte order mark, which may precede the first line.
const BYTE_ORDER_MARK: &[u8] = b"\xEF\xBB\xBF";

/// Maximum size in bytes of what is sent between two events.
const MAX_SILENT_BYTES: usize = 64 << 10;

/// What is sent exceeds a maximum size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TooLong {
    /// An event.
    #[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
    Event,
    /// Blank lines and comments between two events.
    #[error("more than {MAX_SILENT_BYTES} bytes that are no event")]
    Silence,
}

/// Splits a stream into whole events and buffers the rest.
#[derive(Debug, Default)]
pub struct Splitter {
    partial: BytesMut,
    /// Where the line begins in `partial` that has not ended.
    line_from: usize,
    /// Up to where `partial` has been searched for the end of that line.
    searched: usize,
    /// Blank lines and comments that precede the next event.
    silent: BytesMut,
    last: Option<u64>,
    count: u64,
}

impl Splitter {
    /// Creates a splitter for a stream of which the caller has received all events up to `last`.
    #[must_use]
    pub fn new(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
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
        self.silent.clear();
        (self.line_from, self.searched) = (0, 0);
    }

    /// Returns whether anything has been received since the last event.
    #[must_use]
    pub fn has_rest(&self) -> bool {
        !self.partial.is_empty() || !self.silent.is_empty()
    }

    /// Takes what follows the last event of a complete stream.
    pub fn take_rest(&mut self) -> Bytes {
        let mut rest = std::mem::take(&mut self.silent);
        rest.extend_from_slice(&self.partial);
        self.drop_partial();
        rest.freeze()
    }

    /// Adds bytes and returns the events that they complete, with what precedes them and without those
    /// that the caller has already received.
    ///
    /// # Errors
    ///
    /// When an event, or what is sent between two events, exceeds the maximum size.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, TooLong> {
        self.partial.extend_from_slice(bytes);
        let mut events = BytesMut::new();
        while let Some(end) = self.end_of_block() {
            let block = self.partial.split_to(end);
            if !lines(&block).any(begins_event) {
                self.silent.extend_from_slice(&block);
                continue;
            }
            events.unsplit(self.silent.split());
            if self.is_new(&block) {
                events.extend_from_slice(&block);
            }
        }
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(TooLong::Event);
        }
        if self.silent.len() > MAX_SILENT_BYTES {
            return Err(TooLong::Silence);
        }
        Ok(events.freeze())
    }

    /// Returns the position after the first blank line of what is buffered. The `\n` of a blank line that
    /// ends with `\r\n` may arrive later; it is then a blank line of its own, which dispatches nothing.
    fn end_of_block(&mut self) -> Option<usize> {
        loop {
            let unsearched = &self.partial[self.searched..];
            let Some(found) = unsearched.iter().position(|byte| is_line_end(*byte)) else {
                self.searched = self.partial.len();
                return None;
            };
            let end = self.searched + found;
            let is_pair = self.partial[end..].starts_with(b"\r\n");
            let is_blank = end == self.line_from;
            let after = end + 1 + usize::from(is_pair);
            if is_blank {
                (self.line_from, self.searched) = (0, 0);
                return Some(after);
            }
            if self.partial[end..] == *b"\r" {
                // The rest of the line end may follow.
                self.searched = end;
                return None;
            }
            (self.line_from, self.searched) = (after, after);
        }
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

const fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

/// Returns the first line without its end, and the position after that; `None` if it has not ended.
fn first_line(bytes: &[u8]) -> Option<(&[u8], usize)> {
    let end = bytes.iter().position(|byte| is_line_end(*byte))?;
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
