//! Adaptive concurrency limit, derived from what the backend servers finish.
//!
//! The pool can lose a third of its servers, or other instances can send it more. With a fixed
//! limit the excess queues inside the engines, where the queue is neither fair nor bounded by
//! deadlines, and the time to first token rises for every request.
//!
//! The mean time to first token of a window is compared with the minimum over recent windows; the
//! excess is time spent in the engines' queues. Divided by the mean time that a request holds a
//! permit, it gives the share of the limit that is queued there (Little's law). While that share
//! is below [`QUEUED_SHARE_LOW`] the limit grows; above [`QUEUED_SHARE_HIGH`] it shrinks. A refusal
//! or timeout of a backend server shrinks it at once. The limit grows more slowly than it shrinks,
//! so that all instances together probe for capacity gently.
//!
//! The ratio of times to first token alone is not enough. A first token takes 0.1 s and an answer
//! takes seconds, so a queue of a fiftieth of the slots already doubles the time to first token;
//! with the ratio, the limit fell to two thirds of what the pool could carry. Means of windows are
//! compared rather than single samples, because prompts differ in length and every mean looks slow
//! against the single fastest sample.

use std::collections::VecDeque;

use crate::clock::Instant;
use crate::num::{float, whole};

/// Share of the limit that is queued at backend servers, below which the limit grows.
pub const QUEUED_SHARE_LOW: f64 = 0.02;
/// Share of the limit that is queued at backend servers, above which the limit shrinks.
pub const QUEUED_SHARE_HIGH: f64 = 0.06;
/// Share by which the limit grows in one window.
const GROWTH_SHARE: f64 = 0.02;
/// Factor by which the limit shrinks when requests queue at backend servers.
const QUEUED_SHRINK_FACTOR: f64 = 0.96;
/// Factor by which the limit shrinks when a backend server refuses a request or times out.
const REFUSED_SHRINK_FACTOR: f64 = 0.9;
/// Minimum length of a window in milliseconds.
const MIN_WINDOW_MS: u64 = 250;
/// Minimum number of samples in a window.
const MIN_WINDOW_SAMPLES: usize = 10;
/// Number of windows whose minimum mean is the reference. At 250 ms or more each they cover at
/// least 30 s; after that, a pool that has become permanently slower is the new reference.
const REFERENCE_WINDOWS: usize = 120;

/// What one request shows about the load of the backend servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sample {
    /// A request was answered.
    Answered {
        /// Seconds to its first token.
        first: f64,
        /// Seconds to its end.
        whole: f64,
    },
    /// A backend server refused it or did not answer in time.
    Overloaded,
}

/// Adaptive concurrency limit.
#[derive(Clone, Debug)]
pub struct Limit {
    max: usize,
    value: f64,
    window_start: Instant,
    last_shrink: Instant,
    first_token_sum_s: f64,
    service_sum_s: f64,
    samples: usize,
    max_running: usize,
    window_means_s: VecDeque<f64>,
}

impl Limit {
    /// Minimum limit: requests must always be able to run, to detect that the pool has recovered.
    const MIN_LIMIT: f64 = 4.0;

    /// Creates a limit that starts at its maximum.
    #[must_use]
    pub fn new(max: usize) -> Self {
        Self {
            max,
            value: float(max),
            window_start: Instant::ORIGIN,
            last_shrink: Instant::ORIGIN,
            first_token_sum_s: 0.0,
            service_sum_s: 0.0,
            samples: 0,
            max_running: 0,
            window_means_s: VecDeque::new(),
        }
    }

    /// Changes the maximum.
    pub fn set_max(&mut self, max: usize) {
        let was_highest = self.get() >= self.max;
        self.max = max;
        if was_highest || self.value > float(max) {
            self.value = float(max);
        }
    }

    /// Returns the current limit.
    #[must_use]
    pub fn get(&self) -> usize {
        whole(self.value).clamp(1, self.max)
    }

    /// Adds a sample; `running` is the number of requests that ran when it ended.
    pub fn add(&mut self, now: Instant, sample: Sample, running: usize) {
        self.max_running = self.max_running.max(running);
        match sample {
            Sample::Overloaded => {
                // At most one reduction per window: a burst of refusals counts once.
                if now >= self.last_shrink.plus_millis(MIN_WINDOW_MS) {
                    self.shrink(now, REFUSED_SHRINK_FACTOR);
                }
            }
            Sample::Answered { first, whole } => {
                self.first_token_sum_s += first;
                self.service_sum_s += whole;
                self.samples += 1;
                let due = self.window_start.plus_millis(MIN_WINDOW_MS);
                if now >= due && self.samples >= MIN_WINDOW_SAMPLES {
                    self.close_window(now);
                }
            }
        }
    }

    fn close_window(&mut self, now: Instant) {
        let mean = self.first_token_sum_s / float(self.samples);
        let held = self.service_sum_s / float(self.samples);
        let min = self.window_means_s.iter().copied().fold(mean, f64::min);
        let queued = (mean - min) / held.max(1e-9);
        // A limit of which less than half is used gives no evidence that it is too low.
        let used = float(self.max_running) >= self.value / 2.0;
        if queued > QUEUED_SHARE_HIGH && used {
            self.shrink(now, QUEUED_SHRINK_FACTOR);
        } else if queued < QUEUED_SHARE_LOW && used {
            let grown = self.value + (self.value * GROWTH_SHARE).max(1.0);
            self.value = grown.min(float(self.max));
        }
        self.window_means_s.push_back(mean);
        if self.window_means_s.len() > REFERENCE_WINDOWS {
            self.window_means_s.pop_front();
        }
        self.window_start = now;
        self.first_token_sum_s = 0.0;
        self.service_sum_s = 0.0;
        self.samples = 0;
        self.max_running = 0;
    }

    fn shrink(&mut self, now: Instant, factor: f64) {
        let min = Self::MIN_LIMIT.min(float(self.max));
        self.value = (self.value * factor).max(min);
        self.last_shrink = now;
    }
}
