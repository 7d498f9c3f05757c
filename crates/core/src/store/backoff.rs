//! Pauses between tries while the service is out.
//!
//! Pattern of load: an outage ends and every instance comes back at once.
//! With a fixed pause all of them, and all their waiting requests, hit the
//! service in step and push it over its rate again. The pause therefore grows
//! to a bound and is drawn from its whole width ("full jitter"), so that the
//! return spreads over the width of the last pause.

use crate::clock::Instant;

/// First width of a pause.
const FIRST_MS: u64 = 20;
/// Largest width: an outage of any length is noticed to be over within this
/// time, well under the 2 s in which a change is to be in force.
const LARGEST_MS: u64 = 1_000;

/// Grows with every failure in a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    width_ms: u64,
    state: u64,
}

impl Backoff {
    /// Creates pauses whose jitter derives from `seed`.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self {
            width_ms: FIRST_MS,
            state: seed,
        }
    }

    /// Returns when to try again after a failure at `now`.
    pub fn next(&mut self, now: Instant) -> Instant {
        let pause_ms = 1 + self.draw() % self.width_ms;
        self.width_ms = (self.width_ms * 2).min(LARGEST_MS);
        now.plus_millis(pause_ms)
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.width_ms = FIRST_MS;
    }

    /// One step of `SplitMix64`: enough for jitter, and it fits in a copy.
    fn draw(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
