//! Faults that can be switched on in a stand-in.

use std::sync::atomic::{AtomicU64, Ordering};

/// A fault of a stand-in. The meaning of its value is stated at the variant; 0 switches it off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Connections are closed without an answer, and requests have no effect. Any value above 0
    /// switches it on.
    Down,
    /// Requests take effect and their answers are lost. Any value above 0 switches it on.
    DropAnswers,
    /// Answers are delayed by this many milliseconds.
    DelayMs,
    /// Every n-th read returns the value before the last write; the value is n.
    StaleReads,
    /// Watch events are delayed by this many milliseconds.
    WatchDelayMs,
    /// Watch events are not sent. Any value above 0 switches it on.
    DropWatchEvents,
    /// Requests above this number in one second are refused with status 429.
    RateLimit,
    /// Requests are refused with status 503 and ask for this many seconds of rest.
    RestS,
}

impl Fault {
    const KIND_COUNT: usize = 8;
}

/// Values of the faults of one stand-in; 0 means that the fault is off.
#[derive(Debug, Default)]
pub struct Faults {
    values: [AtomicU64; Fault::KIND_COUNT],
}

impl Faults {
    /// Creates faults that are all off.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn value(&self, fault: Fault) -> &AtomicU64 {
        &self.values[fault as usize]
    }

    /// Sets the value of a fault.
    pub fn set(&self, fault: Fault, value: u64) {
        self.value(fault).store(value, Ordering::SeqCst);
    }

    /// Returns the value of a fault.
    #[must_use]
    pub fn get(&self, fault: Fault) -> u64 {
        self.value(fault).load(Ordering::SeqCst)
    }
}
