//! Answers that are read whole before they are sent: the memory of each, and of all at a time.
//!
//! An answer may have no end, and many such answers may be read at the same time. So each may take half
//! of what the others leave, and large ones cannot keep out small ones.

use std::cell::Cell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;

/// Maximum number of bytes of all answers that are being read.
const MAX_BYTES_IN_ALL: usize = 32 << 20;

/// Why an answer is not whole.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// It takes more memory than it may.
    #[error("the answer has more than {0} bytes")]
    TooLong(usize),
    /// It was not read in time.
    #[error("the answer is not complete in time")]
    TooSlow,
    /// It broke off.
    #[error(transparent)]
    Broken(#[from] hyper::Error),
}

/// The bytes of all answers that are being read.
#[derive(Clone, Debug, Default)]
pub struct Buffers(Rc<Cell<usize>>);

/// The bytes of one answer, which are given back when this is dropped.
#[derive(Debug)]
pub struct Reserved {
    in_all: Rc<Cell<usize>>,
    bytes: usize,
}

impl Reserved {
    /// Adds bytes of the answer.
    ///
    /// # Errors
    ///
    /// When it would take more memory than it may.
    pub fn add(&mut self, bytes: usize) -> Result<(), Failure> {
        let of_others = self.in_all.get() - self.bytes;
        let max = MAX_BYTES_IN_ALL.saturating_sub(of_others) / 2;
        if self.bytes + bytes > max {
            return Err(Failure::TooLong(max));
        }
        self.bytes += bytes;
        self.in_all.set(of_others + self.bytes);
        Ok(())
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        self.in_all.set(self.in_all.get() - self.bytes);
    }
}

impl Buffers {
    /// Returns the bytes of an answer of which none has been read.
    #[must_use]
    pub fn reserve(&self) -> Reserved {
        Reserved {
            in_all: self.0.clone(),
            bytes: 0,
        }
    }

    /// Reads a body whole.
    ///
    /// # Errors
    ///
    /// When it breaks off, or takes more memory than it may.
    pub async fn collect(&self, mut body: Incoming) -> Result<Bytes, Failure> {
        let mut reserved = self.reserve();
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame?.into_data() {
                reserved.add(data.len())?;
                whole.extend_from_slice(&data);
            }
        }
        Ok(whole.freeze())
    }
}
