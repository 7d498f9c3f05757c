//! Faults to switch on.

use std::sync::atomic::{AtomicU64, Ordering};

/// What a stand-in does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Connections end without an answer and without effect.
    Down,
    /// Calls take effect and their answers are lost.
    DropAnswers,
    /// Answers wait this many milliseconds.
    DelayMs,
    /// Every n-th read shows the value before the last write.
    StaleReads,
    /// Watch events come this many milliseconds late.
    WatchDelayMs,
    /// Watch events do not come at all.
    DropWatchEvents,
    /// Calls over this number in one second are refused with status 429.
    RateLimit,
}

impl Fault {
    const COUNT: usize = 7;
}

/// The faults of one stand-in; a value of 0 switches a fault off.
#[derive(Debug, Default)]
pub struct Faults {
    cells: [AtomicU64; Fault::COUNT],
}

impl Faults {
    /// Returns no faults.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn cell(&self, fault: Fault) -> &AtomicU64 {
        &self.cells[fault as usize]
    }

    /// Switches a fault.
    pub fn set(&self, fault: Fault, value: u64) {
        self.cell(fault).store(value, Ordering::SeqCst);
    }

    /// Returns the value of a fault.
    #[must_use]
    pub fn get(&self, fault: Fault) -> u64 {
        self.cell(fault).load(Ordering::SeqCst)
    }
}
