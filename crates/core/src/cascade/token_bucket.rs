//! What an instance may ask of the rating service.
//!
//! The service is rate-limited and shared by all instances. When it cannot
//! rate everything, a judgement that a caller waits for goes first, then the
//! candidate of a roll-out, whose exposure is counted, then samples of the
//! rest: each takes from the same bucket, and only as long as more is left
//! than those before it may need.

use crate::clock::Instant;

/// What a rating is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A cascade waits for it.
    Cascade,
    /// The answer is a candidate's.
    Candidate,
    /// A sample of the usual traffic.
    Sample,
}

/// Tokens of one instance.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    at: Instant,
}

impl TokenBucket {
    /// Seconds of the rate that may be saved up.
    const SAVED_S: f64 = 2.0;

    /// Creates a full bucket of `rate` ratings a second.
    #[must_use]
    pub fn new(now: Instant, rate: f64) -> Self {
        Self {
            tokens: Self::size(rate),
            at: now,
        }
    }

    fn size(rate: f64) -> f64 {
        (rate * Self::SAVED_S).max(1.0)
    }

    /// Takes a rating if there is room for its purpose.
    pub fn take(&mut self, now: Instant, rate: f64, purpose: Purpose) -> bool {
        let size = Self::size(rate);
        let earned = now.since(self.at).as_secs_f64() * rate;
        self.tokens = (self.tokens + earned).min(size);
        self.at = self.at.max(now);
        let kept = match purpose {
            Purpose::Cascade => 0.0,
            Purpose::Candidate => size * 0.25,
            Purpose::Sample => size * 0.5,
        };
        let room = self.tokens >= kept.min(size - 1.0) + 1.0;
        if room {
            self.tokens -= 1.0;
        }
        room
    }
}
