//! Retry budget: further attempts as a share of the traffic.
//!
//! When a pool fails for a moment, a fixed number of retries per request triples the load just when
//! the capacity is lowest. A budget allows the usual few failures to be retried at once, and bounds
//! the load on a failing pool to `1 + retry_ratio` times the traffic.

/// Retry budget of one pool, as a token bucket.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens: f64,
}

/// Thresholds of retries; each can be set in the configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Thresholds {
    /// Further attempts per first attempt. With 0.1 the load is amplified by at most 1.1, and one
    /// failure in ten is still hidden from callers.
    pub retry_ratio: f64,
    /// Maximum number of further attempts that accumulate. They cover the few failures at times of
    /// low traffic, when the share of the traffic does not amount to one attempt.
    pub max_saved: f64,
    /// Share of failed attempts from which a pool counts as failing. Below a half, another server
    /// is still likely to answer.
    pub failing_share: f64,
}

impl Default for Thresholds {
    fn default() -> Self {
        Self {
            retry_ratio: 0.1,
            max_saved: 10.0,
            failing_share: 0.5,
        }
    }
}

impl Budget {
    /// Returns a full budget.
    #[must_use]
    pub fn new(thresholds: &Thresholds) -> Self {
        Self {
            tokens: thresholds.max_saved,
        }
    }

    /// Adds the share of one first attempt.
    pub fn deposit(&mut self, thresholds: &Thresholds) {
        self.tokens = (self.tokens + thresholds.retry_ratio).min(thresholds.max_saved);
    }

    /// Takes one further attempt if at least `reserve` remain after it.
    pub fn withdraw(&mut self, reserve: f64) -> bool {
        let enough = self.tokens >= reserve + 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    /// Returns how many further attempts remain.
    #[must_use]
    pub fn remaining(&self) -> f64 {
        self.tokens
    }
}
