//! Exponential backoff with full jitter, for retries while the key-value service is unavailable.
//!
//! At the end of an outage all instances return at the same time. With a fixed pause, all of them
//! and all their waiting requests would call the service in step and exceed its rate again. The
//! width of the pause therefore grows up to a bound, and each pause is drawn from the whole width,
//! so that the calls spread over the width of the last pause.

use crate::clock::Instant;

/// Width of the first pause, in milliseconds.
const INITIAL_MS: u64 = 20;
/// Maximum width, in milliseconds. The end of an outage of any length is detected within this time,
/// well under the 2 s in which a change must be active.
const MAX_MS: u64 = 1_000;

/// Backoff whose width doubles with every consecutive failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    width_ms: u64,
    state: u64,
}

impl Backoff {
    /// Creates a backoff whose jitter derives from `seed`.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self {
            width_ms: INITIAL_MS,
            state: seed,
        }
    }

    /// Returns when to retry after a failure at `now`.
    pub fn next(&mut self, now: Instant) -> Instant {
        let pause_ms = 1 + self.draw() % self.width_ms;
        self.width_ms = (self.width_ms * 2).min(MAX_MS);
        now.plus_millis(pause_ms)
    }

    /// Resets the width after a success.
    pub fn reset(&mut self) {
        self.width_ms = INITIAL_MS;
    }

    /// Performs one step of `SplitMix64`, which is sufficient for jitter and keeps the type `Copy`.
    fn draw(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
