//! Token bucket that limits the calls of an instance to the rating service, by priority.
//!
//! The service is rate-limited and shared by all instances. When it cannot rate everything, a
//! rating that a caller waits for has priority, then the candidate of a roll-out, whose answers
//! count towards the exposure budget, then samples of other traffic. All purposes draw from the
//! same bucket; a purpose of lower priority must leave a reserve for those above it.

use crate::clock::Instant;

/// The purpose of a rating, by descending priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A cascade waits for the rating.
    Cascade,
    /// The answer is from the candidate of a roll-out.
    Candidate,
    /// The answer is a sample of other traffic.
    Sample,
}

/// The token bucket of one instance.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Size of the bucket, in seconds of the rate.
    const BURST_S: f64 = 2.0;

    /// Creates a full bucket of `rate` ratings a second.
    #[must_use]
    pub fn new(now: Instant, rate: f64) -> Self {
        Self {
            tokens: Self::capacity(rate),
            refilled_at: now,
        }
    }

    fn capacity(rate: f64) -> f64 {
        (rate * Self::BURST_S).max(1.0)
    }

    /// Takes a token if enough are left for `purpose`; returns whether it did.
    pub fn take(&mut self, now: Instant, rate: f64, purpose: Purpose) -> bool {
        let capacity = Self::capacity(rate);
        let refill = now.since(self.refilled_at).as_secs_f64() * rate;
        self.tokens = (self.tokens + refill).min(capacity);
        self.refilled_at = self.refilled_at.max(now);
        let reserve = match purpose {
            Purpose::Cascade => 0.0,
            Purpose::Candidate => capacity * 0.25,
            Purpose::Sample => capacity * 0.5,
        };
        let is_granted = self.tokens >= reserve.min(capacity - 1.0) + 1.0;
        if is_granted {
            self.tokens -= 1.0;
        }
        is_granted
    }
}
