//! A budget of further attempts, as a share of traffic.
//!
//! The pattern: a pool fails for a moment. With a fixed number of retries the
//! load triples just when capacity is least. A budget lets the usual few
//! failures be retried at once and bounds what a failing pool gets to
//! `1 + share` times the traffic.

/// A budget.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens: f64,
}

/// Thresholds of retries; every one may be set in the configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Thresholds {
    /// Further attempts per first attempt. With 0.1 amplification stays within
    /// 1.1, and one failure in ten is still hidden from callers.
    pub retry_ratio: f64,
    /// Further attempts that may be saved up; covers the few failures of a
    /// quiet hour, in which no share of traffic would amount to one.
    pub max_saved: f64,
    /// Share of failed attempts from which a pool counts as failing. Under a
    /// half, another server is still likely to answer.
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

    /// Counts a first attempt.
    pub fn deposit(&mut self, thresholds: &Thresholds) {
        self.tokens = (self.tokens + thresholds.retry_ratio).min(thresholds.max_saved);
    }

    /// Takes one further attempt if more than `kept` remain.
    pub fn withdraw(&mut self, kept: f64) -> bool {
        let enough = self.tokens >= kept + 1.0;
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
