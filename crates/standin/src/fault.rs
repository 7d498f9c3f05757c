//! Faults to switch on.

use std::sync::atomic::{AtomicU64, Ordering};

/// What a stand-in does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Connections end without an answer and without effect.
    Down,
    /// Calls take effect and their answers are lost.
    LoseAnswers,
    /// Answers wait this many milliseconds.
    SlowMs,
}

/// The faults of one stand-in; a value of 0 switches a fault off.
#[derive(Debug, Default)]
pub struct Faults {
    down: AtomicU64,
    lose_answers: AtomicU64,
    slow_ms: AtomicU64,
}

impl Faults {
    /// Returns no faults.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn cell(&self, fault: Fault) -> &AtomicU64 {
        match fault {
            Fault::Down => &self.down,
            Fault::LoseAnswers => &self.lose_answers,
            Fault::SlowMs => &self.slow_ms,
        }
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
