//! The process's clocks.

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

    /// Returns the point of the async runtime's clock that `at` stands for.
    #[must_use]
    pub fn tokio(&self, at: Instant) -> tokio::time::Instant {
        let at = self.origin + at.since(Instant::ORIGIN);
        tokio::time::Instant::from_std(at)
    }
}
