//! Pacing of recovery: how fast waiting work goes on when something is back.
//!
//! The pattern: the store was out for a minute, and every instance holds
//! writes that it tries again and again. The moment the store is back all of
//! them arrive together; at several hundred writes a second the store answers
//! late, clients time out and send again, and the outage goes on by itself.
//!
//! [`Backoff`] spreads the tries while it is out. [`Drain`] lets the backlog go
//! in bounded batches and stops while earlier ones are unanswered. Both ideas
//! are those of the Relier paper ("bounded scan batch", "recovery-queue
//! backpressure"). The first is supported where the batches of all instances
//! together stay under what the other side serves; the second shortens the
//! recovery from a batch twice too large and does not save one twenty times
//! too large (docs/BENCHMARKS.md). The product bounds the rate of each instance
//! in its store client (`core::store`), which comes to the same as the bounded
//! batch; the brake is not in the product.

use std::time::Duration;

use rand::{Rng, RngExt as _};

use fescuerack_core::clock::Instant;

/// When to try something again that is out.
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
    const LEAST_MS: u64 = 100;
    /// Milliseconds of the longest pause: the time by which recovery may be
    /// noticed late.
    const MOST_MS: u64 = 2_000;

    /// Returns a backoff before its first pause.
    #[must_use]
    pub fn new() -> Self {
        Self {
            pause_ms: Self::LEAST_MS,
        }
    }

    /// Returns the pause before the next try: random between the least and
    /// three times the last, so that those who failed together spread apart.
    pub fn next<R: Rng>(&mut self, rng: &mut R) -> Duration {
        let upper = (self.pause_ms * 3).min(Self::MOST_MS);
        self.pause_ms = rng.random_range(Self::LEAST_MS..=upper);
        Duration::from_millis(self.pause_ms)
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.pause_ms = Self::LEAST_MS;
    }
}

/// Lets a backlog go in bounded batches.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    batch: usize,
    unanswered: usize,
    due: Instant,
}

impl Drain {
    /// Milliseconds between two batches.
    const PERIOD_MS: u64 = 1_000;

    /// Creates a drain of at most `batch` pieces a second.
    #[must_use]
    pub fn new(batch: usize) -> Self {
        Self {
            batch: batch.max(1),
            unanswered: 0,
            due: Instant::ORIGIN,
        }
    }

    /// Returns how many of `waiting` pieces may go now. While pieces of the
    /// last batch are unanswered, only the remainder of a batch may: the other
    /// side is slower than expected and more would queue there.
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

    /// Counts a piece that was answered or given up.
    ///
    /// # Panics
    ///
    /// When more pieces are answered than were taken.
    pub fn answered(&mut self) {
        assert!(self.unanswered > 0, "a piece was answered that never left");
        self.unanswered -= 1;
    }
}
