//! The number of requests that may run, from what runners really finish.
//!
//! The pattern: the pool loses a third of its servers, or other instances send
//! it more. With a fixed limit the excess queues inside the engines, where it
//! is neither fair nor dropped at its deadline, and the first token slows for
//! everyone.
//!
//! The time to the first token is compared with the least mean of recent
//! windows. By Little's law `limit * (1 - least / mean)` requests queue at the
//! runners. While that is under [`QUEUED_LOW`] of the limit the limit grows;
//! above [`QUEUED_HIGH`] it shrinks. A refusal or timeout of a runner shrinks
//! it at once. Both factors are those of usual congestion control: a slow
//! rise, so that all instances together probe gently, and a faster fall.
//! Means of windows, not single samples, are compared: prompts differ in
//! length, and against the single fastest sample every mean looks slow.

use std::collections::VecDeque;

use crate::clock::Instant;
use crate::num::{float, whole};

/// Share of the limit that may queue at runners while the limit grows.
pub const QUEUED_LOW: f64 = 0.15;
/// Share of the limit queued at runners from which the limit shrinks.
pub const QUEUED_HIGH: f64 = 0.35;
/// Share by which the limit grows in one window.
const GROW: f64 = 0.05;
/// Factor by which the limit shrinks.
const SHRINK: f64 = 0.9;
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
    /// Seconds to the first token.
    First(f64),
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
    sum: f64,
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
            sum: 0.0,
            samples: 0,
            busiest: 0,
            means: VecDeque::new(),
        }
    }

    /// Changes the highest value.
    pub fn set_most(&mut self, most: usize) {
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
                    self.shrink(now);
                }
            }
            Sample::First(seconds) => {
                self.sum += seconds;
                self.samples += 1;
                let due = self.start.plus_millis(WINDOW_MS);
                if now >= due && self.samples >= SAMPLES {
                    self.close(now);
                }
            }
        }
    }

    fn close(&mut self, now: Instant) {
        let mean = self.sum / float(self.samples);
        let least = self.means.iter().copied().fold(mean, f64::min);
        let queued = 1.0 - least / mean.max(1e-9);
        // A limit that is not used says nothing about being too low.
        let used = float(self.busiest) >= self.value / 2.0;
        if queued > QUEUED_HIGH && used {
            self.shrink(now);
        } else if queued < QUEUED_LOW && used {
            let grown = self.value + (self.value * GROW).max(1.0);
            self.value = grown.min(float(self.most));
        }
        self.means.push_back(mean);
        if self.means.len() > WINDOWS {
            self.means.pop_front();
        }
        self.start = now;
        self.sum = 0.0;
        self.samples = 0;
        self.busiest = 0;
    }

    fn shrink(&mut self, now: Instant) {
        let least = Self::LEAST.min(float(self.most));
        self.value = (self.value * SHRINK).max(least);
        self.shrunk = now;
    }
}
