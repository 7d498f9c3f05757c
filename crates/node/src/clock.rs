//! The process's clocks.

use std::time::{SystemTime, UNIX_EPOCH};

use fescuerack_core::clock::Instant;

/// A monotonic clock that starts with the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: std::time::Instant,
}

impl Clock {
    /// Starts the clock.
    #[must_use]
    pub fn new() -> Self {
        Self {
            origin: std::time::Instant::now(),
        }
    }

    /// Returns the time since the start.
    #[must_use]
    pub fn now(&self) -> Instant {
        Instant::ORIGIN + self.origin.elapsed()
    }

    /// Converts `at` to an instant of the async runtime's clock.
    #[must_use]
    pub fn tokio_instant(&self, at: Instant) -> tokio::time::Instant {
        let at = self.origin + at.since(Instant::ORIGIN);
        tokio::time::Instant::from_std(at)
    }
}

/// Returns the wall-clock time, for records that other instances read.
#[must_use]
pub fn wall() -> Instant {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Instant::ORIGIN + since.unwrap_or_default()
}
