//! Pacing of recovery: the rate at which a backlog is sent after an outage.
//!
//! The store was unavailable for a minute, and every instance holds writes that
//! it retries. When the store returns, all of them arrive together. At several
//! hundred writes a second the store answers late, clients time out and send
//! again, and the overload sustains itself.
//!
//! [`Backoff`] spreads the attempts during the outage. [`Drain`] sends the
//! backlog in bounded batches and pauses while earlier ones are unanswered. Both
//! ideas are from the Relier paper ("bounded scan batch", "recovery-queue
//! backpressure"). The results support the bounded batch where the batches of
//! all instances together stay below the capacity of the store. Backpressure
//! shortens the recovery from a batch that is twice too large and does not save
//! one that is twenty times too large (docs/BENCHMARKS.md). The product bounds
//! the rate of each instance in its store client (`core::store`), which is
//! equivalent to the bounded batch. It does not use backpressure.

use std::time::Duration;

use rand::{Rng, RngExt as _};

use fescuerack_core::clock::Instant;

/// Exponential backoff with jitter for calls to an unavailable service.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    pause_ms: u64,
}

impl Default for Backoff {
    fn default() -> Self {
        Self::new()
    }
}

impl Backoff {
    /// Milliseconds of the first pause.
    const MIN_MS: u64 = 100;
    /// Milliseconds of the longest pause, which is also the maximum delay until
    /// a recovery is noticed.
    const MAX_MS: u64 = 2_000;

    /// Returns a backoff before its first pause.
    #[must_use]
    pub fn new() -> Self {
        Self {
            pause_ms: Self::MIN_MS,
        }
    }

    /// Returns the pause before the next attempt, random between the minimum and
    /// three times the last pause, so that clients that failed together spread
    /// out.
    pub fn next<R: Rng>(&mut self, rng: &mut R) -> Duration {
        let upper = (self.pause_ms * 3).min(Self::MAX_MS);
        self.pause_ms = rng.random_range(Self::MIN_MS..=upper);
        Duration::from_millis(self.pause_ms)
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.pause_ms = Self::MIN_MS;
    }
}

/// Sends a backlog in bounded batches.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    batch: usize,
    unanswered: usize,
    due: Instant,
}

impl Drain {
    /// Milliseconds between two batches.
    const PERIOD_MS: u64 = 1_000;

    /// Creates a drain of at most `batch` items a second.
    #[must_use]
    pub fn new(batch: usize) -> Self {
        Self {
            batch: batch.max(1),
            unanswered: 0,
            due: Instant::ORIGIN,
        }
    }

    /// Returns how many of `waiting` items may be sent now. While items of
    /// earlier batches are unanswered, only the rest of a batch may be sent: the
    /// store is slower than expected, and more would queue there.
    pub fn take(&mut self, now: Instant, waiting: usize) -> usize {
        if now < self.due {
            return 0;
        }
        let room = self.batch.saturating_sub(self.unanswered);
        let taken = room.min(waiting);
        if taken > 0 {
            self.due = now.plus_millis(Self::PERIOD_MS);
            self.unanswered += taken;
        }
        taken
    }

    /// Records that an item was answered or abandoned.
    ///
    /// # Panics
    ///
    /// When more items are answered than were sent.
    pub fn answered(&mut self) {
        assert!(
            self.unanswered > 0,
            "an item was answered that was never sent"
        );
        self.unanswered -= 1;
    }
}
