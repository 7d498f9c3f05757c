//! The body of a server's answer, parts of which may have been read before they are needed.

use std::collections::VecDeque;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;

use crate::buffers::{Buffers, Reserved};

/// Size in bytes of the bookkeeping of a piece, with that of the allocator.
const FRAME_BYTES: usize = 64;

/// What has been read of a body ahead.
#[derive(Debug, Default)]
pub struct ReadAhead {
    frames: VecDeque<Bytes>,
    /// How the body ended; `None` if the end has not been read.
    end: Option<Result<(), hyper::Error>>,
    reserved: Option<Reserved>,
}

impl ReadAhead {
    /// Returns whether the body was read to its end, and is whole.
    #[must_use]
    pub const fn is_whole(&self) -> bool {
        matches!(self.end, Some(Ok(())))
    }

    /// Returns whether the server broke off the body.
    #[must_use]
    pub const fn is_broken(&self) -> bool {
        matches!(self.end, Some(Err(_)))
    }

    /// Reads on until the body ends, or takes more memory than it may. It may be cancelled.
    pub async fn fill(&mut self, body: &mut Incoming, buffers: &Buffers) {
        while self.end.is_none() {
            match next_data(body).await {
                Some(Ok(data)) => {
                    let reserved = self.reserved.get_or_insert_with(|| buffers.reserve());
                    // What was read may be a small part of a large buffer, which it would keep.
                    let data = Bytes::copy_from_slice(&data);
                    let is_full = reserved.add(data.len() + FRAME_BYTES).is_err();
                    self.frames.push_back(data);
                    if is_full {
                        return;
                    }
                }
                Some(Err(error)) => self.end = Some(Err(error)),
                None => self.end = Some(Ok(())),
            }
        }
    }
}

/// A body that is read on from what was read ahead.
#[derive(Debug)]
pub struct Body {
    ahead: ReadAhead,
    rest: Incoming,
}

impl Body {
    /// Creates a body of what was read ahead, and the rest.
    #[must_use]
    pub const fn new(ahead: ReadAhead, rest: Incoming) -> Self {
        Self { ahead, rest }
    }

    /// Returns whether the next bytes have been read ahead.
    #[must_use]
    pub fn has_ahead(&self) -> bool {
        !self.ahead.frames.is_empty()
    }

    /// Returns the next bytes; `None` at the end. It may be cancelled.
    pub async fn next(&mut self) -> Option<Result<Bytes, hyper::Error>> {
        if let Some(data) = self.ahead.frames.pop_front() {
            if self.ahead.frames.is_empty() {
                self.ahead.reserved = None;
            }
            return Some(Ok(data));
        }
        match self.ahead.end.take() {
            Some(Ok(())) => None,
            Some(Err(error)) => Some(Err(error)),
            None => next_data(&mut self.rest).await,
        }
    }
}

async fn next_data(body: &mut Incoming) -> Option<Result<Bytes, hyper::Error>> {
    loop {
        match body.frame().await? {
            Ok(frame) => {
                if let Ok(data) = frame.into_data() {
                    return Some(Ok(data));
                }
            }
            Err(error) => return Some(Err(error)),
        }
    }
}
