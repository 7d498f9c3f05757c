//! Protocols over the platform's key-value service, without network I/O.
//!
//! A protocol is a state machine ([`Machine`]): it returns the next call, receives the reply and
//! ends with an output. In the process, one driver makes the calls. Randomised tests make them
//! against a store with faults, in any order and with crashes between any two calls.
//!
//! Every protocol must handle a write that takes effect although its answer is lost.
//! [`Reply::Lost`] therefore never means "failed": the protocol reads the value back and recognises
//! its own write by a nonce.

mod backoff;
mod budget;

pub use backoff::Backoff;
pub use budget::{Budget, Lane, Rate};

use bytes::Bytes;

use crate::clock::Instant;

/// Maximum size of a value in the service, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A version that no value ever has.
///
/// A swap that expects it cannot take effect, and its conflict returns the current version: a read
/// that is never stale, at the cost of a write.
pub const NO_VERSION: u64 = u64::MAX;

/// A value with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// Version, to be expected by the next swap.
    pub version: u64,
    /// Content.
    pub bytes: Bytes,
}

/// A call of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Reads a value; the answer may be stale.
    Get {
        /// Key.
        key: String,
    },
    /// Writes a value if its current version is the expected one (compare-and-swap).
    Swap {
        /// Key.
        key: String,
        /// Expected version; 0 when the key is expected to be absent.
        expected: u64,
        /// New content.
        value: Bytes,
        /// Lease with which the key expires.
        lease: Option<u64>,
    },
}

/// Result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The value that was read, which may be stale.
    Value(Option<Value>),
    /// The value was written and has this version.
    Swapped(u64),
    /// Nothing was written: this is the current version.
    Conflict(u64),
    /// The call has no effect: it was not sent, or the service refused it for now.
    Refused,
    /// No answer: the call may have taken effect, or may still take effect.
    Lost,
}

/// Next step of a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step<T> {
    /// Make a call and pass its reply to [`Machine::take`].
    Call(Call),
    /// Wait until this time.
    Wait(Instant),
    /// The protocol has ended with this output.
    Done(T),
}

/// A protocol over the service, as a state machine.
pub trait Machine {
    /// Output of the protocol.
    type Output;

    /// Returns the next step.
    fn step(&mut self, now: Instant) -> Step<Self::Output>;

    /// Processes the reply to the call that [`Machine::step`] returned last.
    fn take(&mut self, now: Instant, reply: Reply);
}
