//! Leaving out a backend server that fails or stays silent.
//!
//! The patterns: a server fails part of what it runs while it calls itself
//! healthy; a server falls silent, and each attempt on it costs a time-out; a
//! server answers many times slower. Without this each of them keeps its share
//! of the traffic, and a non-idempotent request that meets one is lost.
//!
//! Failures are weighed by recency: a mean of outcomes that halves with every
//! [`HALF`] outcomes. A server whose mean is over a half is left out, for a time that
//! doubles while its first attempts after a return fail again. How many may be
//! left out is for [`affinity`](super::affinity) to say: it prefers healthy servers, and
//! falls back on all.

use crate::clock::Instant;

/// Weight of the newest outcome. With 0.25 three failures in a row, or four of
/// six, pass [`FAILING`]; a service that fails 14 in 100 by itself passes it
/// about once in 300 outcomes.
const NEWEST: f64 = 0.25;
/// Outcomes after which an outcome counts for a half.
pub const HALF: f64 = 2.4;
/// Mean of failures from which a server is left out.
const FAILING: f64 = 0.55;
/// Milliseconds for which a server is left out at first: about the time in which
/// a crashed server is back or has left the list.
const FIRST_MS: u64 = 1_000;
/// Longest time in milliseconds for which a server is left out.
const LONGEST_MS: u64 = 8_000;
/// Mean that a server returns with: one more failure leaves it out again.
const RETURN: f64 = 0.45;

/// How an attempt on a server ended, as far as the server's health goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Good,
    /// Failed, or broke off.
    Failed,
    /// Could not be reached: left out at once.
    Unreached,
}

/// The health of one server as this node has seen it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    failures: f64,
    out_until: Option<Instant>,
    out_ms: u64,
}

impl Health {
    /// Whether the server may be chosen.
    #[must_use]
    pub fn is_in(&self, now: Instant) -> bool {
        self.out_until.is_none_or(|until| now >= until)
    }

    /// Mean of failures, from 0 to 1.
    #[must_use]
    pub const fn failures(&self) -> f64 {
        self.failures
    }

    /// Takes in an outcome; returns whether the server is left out because of it.
    pub fn observe(&mut self, now: Instant, outcome: Outcome) -> bool {
        let failure = if outcome == Outcome::Good { 0.0 } else { 1.0 };
        self.failures += NEWEST * (failure - self.failures);
        if outcome == Outcome::Good {
            if self.failures < RETURN / 2.0 {
                self.out_ms = 0;
            }
            return false;
        }
        let out = outcome == Outcome::Unreached || self.failures >= FAILING;
        if out && self.is_in(now) {
            self.out_ms = (self.out_ms * 2).clamp(FIRST_MS, LONGEST_MS);
            self.out_until = Some(now.plus_millis(self.out_ms));
            self.failures = RETURN;
            return true;
        }
        false
    }
}
