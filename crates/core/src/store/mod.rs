//! Protocols over the platform's key-value service, without its network.
//!
//! A protocol is a [`Machine`]: it names the next call, is told what came of
//! it and ends with an output. One driver in the process makes the calls; a
//! randomised run makes them against a store with faults, in any order and
//! with kills between any two of them.
//!
//! The failure that every protocol answers: a write takes effect and its
//! answer is lost. [`Reply::Lost`] therefore never means "failed". Whoever
//! gets it reads back, and recognises its own value by a nonce.

mod backoff;
mod budget;

pub use backoff::Backoff;
pub use budget::{Budget, Lane, Rate};

use bytes::Bytes;

use crate::clock::Instant;

/// Largest value that the service holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A version that no value ever has. A swap that expects it cannot take
/// effect, and its conflict names the version that stands: a read that is
/// surely not old, at the price of a write.
pub const NO_VERSION: u64 = u64::MAX;

/// A value with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// Version, to be named in the next swap.
    pub version: u64,
    /// Content.
    pub bytes: Bytes,
}

/// A call of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Reads a value; the answer may be old.
    Get {
        /// Key.
        key: String,
    },
    /// Writes a value if the version that stands is the expected one.
    Swap {
        /// Key.
        key: String,
        /// Expected version; 0 when the key is expected to be absent.
        expected: u64,
        /// New content.
        value: Bytes,
        /// Lease with which the key vanishes.
        lease: Option<u64>,
    },
}

/// What came of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The value that was read, perhaps an old one.
    Value(Option<Value>),
    /// The value was written and has this version.
    Swapped(u64),
    /// Nothing was written: this version stands.
    Conflict(u64),
    /// Surely without effect: not sent, or refused for now.
    Refused,
    /// No answer: the call may have taken effect, or may yet.
    Lost,
}

/// What a machine does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step<T> {
    /// Makes a call; its reply is due in [`Machine::take`].
    Call(Call),
    /// Waits until this time.
    Wait(Instant),
    /// Ends.
    Done(T),
}

/// A protocol over the service.
pub trait Machine {
    /// What the protocol ends with.
    type Output;

    /// Says what to do next.
    fn step(&mut self, now: Instant) -> Step<Self::Output>;

    /// Takes the reply to the call that was named last.
    fn take(&mut self, now: Instant, reply: Reply);
}
