//! The number of requests that may run, from what runners really finish.
//!
//! The pattern: the pool loses a third of its servers, or other instances send
//! it more. With a fixed limit the excess queues inside the engines, where it
//! is neither fair nor dropped at its deadline, and the first token slows for
//! everyone.
//!
//! The time to the first token is compared with the least mean of recent
//! windows; what it exceeds that by is time in the engines' queues. Over the
//! mean time that a request holds a place, it is the share of the limit that
//! queues there (Little's law). While that is under [`QUEUED_LOW`] the limit
//! grows; above [`QUEUED_HIGH`] it shrinks. A refusal or timeout of a runner
//! shrinks it at once. The rise is slower than the fall, so that all instances
//! together probe gently.
//!
//! Ruled out: the ratio of first-token times alone. A first token takes 0.1 s
//! and an answer seconds, so a queue of a fiftieth of the slots already
//! doubles it, and the limit fell to two thirds of what the pool could carry.
//! Means of windows, not single samples, are compared: prompts differ in
//! length, and against the single fastest sample every mean looks slow.

use std::collections::VecDeque;

use crate::clock::Instant;
use crate::num::{float, whole};

/// Share of the limit that may queue at runners while the limit grows.
pub const QUEUED_LOW: f64 = 0.02;
/// Share of the limit queued at runners from which the limit shrinks.
pub const QUEUED_HIGH: f64 = 0.06;
/// Share by which the limit grows in one window.
const GROW: f64 = 0.02;
/// Factor by which the limit shrinks when requests queue at the runners.
const SHRINK: f64 = 0.96;
/// Factor by which the limit shrinks when a runner refuses.
const REFUSED: f64 = 0.9;
/// Milliseconds of a window at least.
const WINDOW_MS: u64 = 250;
/// Samples of a window at least.
const SAMPLES: usize = 10;
/// Windows whose least mean is the reference. At 250 ms and more each they
/// cover 30 s, so a pool that became slower for good is accepted after that.
const WINDOWS: usize = 120;

/// What one request tells of the runners.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sample {
    /// A request was answered.
    Answered {
        /// Seconds to its first token.
        first: f64,
        /// Seconds to its end.
        whole: f64,
    },
    /// A runner refused it or let it run out of time.
    Overloaded,
}

/// An adaptive limit.
#[derive(Clone, Debug)]
pub struct Limit {
    most: usize,
    value: f64,
    start: Instant,
    shrunk: Instant,
    first: f64,
    whole: f64,
    samples: usize,
    busiest: usize,
    means: VecDeque<f64>,
}

impl Limit {
    /// Smallest limit: one request must always be able to find out whether the
    /// pool is back.
    const LEAST: f64 = 4.0;

    /// Creates a limit that starts at its highest value.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self {
            most,
            value: float(most),
            start: Instant::ORIGIN,
            shrunk: Instant::ORIGIN,
            first: 0.0,
            whole: 0.0,
            samples: 0,
            busiest: 0,
            means: VecDeque::new(),
        }
    }

    /// Changes the highest value.
    pub fn set_max(&mut self, most: usize) {
        let was_highest = self.get() >= self.most;
        self.most = most;
        if was_highest || self.value > float(most) {
            self.value = float(most);
        }
    }

    /// Returns the present limit.
    #[must_use]
    pub fn get(&self) -> usize {
        whole(self.value).clamp(1, self.most)
    }

    /// Takes in a sample; `running` requests ran when it ended.
    pub fn add(&mut self, now: Instant, sample: Sample, running: usize) {
        self.busiest = self.busiest.max(running);
        match sample {
            Sample::Overloaded => {
                // One fall per window: a burst of refusals is one event.
                if now >= self.shrunk.plus_millis(WINDOW_MS) {
                    self.shrink(now, REFUSED);
                }
            }
            Sample::Answered { first, whole } => {
                self.first += first;
                self.whole += whole;
                self.samples += 1;
                let due = self.start.plus_millis(WINDOW_MS);
                if now >= due && self.samples >= SAMPLES {
                    self.close(now);
                }
            }
        }
    }

    fn close(&mut self, now: Instant) {
        let mean = self.first / float(self.samples);
        let held = self.whole / float(self.samples);
        let least = self.means.iter().copied().fold(mean, f64::min);
        let queued = (mean - least) / held.max(1e-9);
        // A limit that is not used says nothing about being too low.
        let used = float(self.busiest) >= self.value / 2.0;
        if queued > QUEUED_HIGH && used {
            self.shrink(now, SHRINK);
        } else if queued < QUEUED_LOW && used {
            let grown = self.value + (self.value * GROW).max(1.0);
            self.value = grown.min(float(self.most));
        }
        self.means.push_back(mean);
        if self.means.len() > WINDOWS {
            self.means.pop_front();
        }
        self.start = now;
        self.first = 0.0;
        self.whole = 0.0;
        self.samples = 0;
        self.busiest = 0;
    }

    fn shrink(&mut self, now: Instant, factor: f64) {
        let least = Self::LEAST.min(float(self.most));
        self.value = (self.value * factor).max(least);
        self.shrunk = now;
    }
}
