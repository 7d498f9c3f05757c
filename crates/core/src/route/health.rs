//! Health of one server: trusted, ejected or on probation.
//!
//! A server that fails several times in a row, or that the sweep over its pool finds to be slow, is
//! ejected for some time. Then it is on probation: it gets one attempt at a time until several have
//! succeeded. Each further ejection lasts twice as long, so a server that stays faulty costs fewer
//! and fewer requests. The ejection time is reset after a long time without trouble.

use super::Outcome;
use crate::clock::Instant;

/// Thresholds of ejection; each can be set in the configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Thresholds {
    /// Number of consecutive failures that ejects a server. One or two also happen to healthy
    /// servers, when the request is the cause.
    pub consecutive_failures: u32,
    /// Multiple of the pool's median time to first token that ejects a server. Below three, batches
    /// of long prompts would eject healthy servers.
    pub slow_factor: f64,
    /// Maximum share of a pool that is ejected at a time. If more than a third fails at once there
    /// is a common cause, which ejection would only make worse.
    pub max_ejected_share: f64,
    /// Duration of the first ejection, in milliseconds.
    pub ejection_ms: u64,
}

impl Default for Thresholds {
    fn default() -> Self {
        Self {
            consecutive_failures: 3,
            slow_factor: 3.0,
            max_ejected_share: 0.34,
            ejection_ms: 5_000,
        }
    }
}

/// Successful attempts that end a probation.
const PROBATION_SUCCESSES: u32 = 3;
/// Maximum number of doublings of the ejection time: from 5 s to 80 s.
const MAX_DOUBLINGS: u32 = 4;
/// Milliseconds without an ejection after which the ejection time is reset.
const EJECTION_RESET_MS: u64 = 300_000;

/// Whether a server is trusted with work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case", tag = "trust")]
enum Trust {
    /// It gets its share of the work.
    Trusted,
    /// It gets no work.
    Ejected {
        /// When probation begins.
        until: Instant,
    },
    /// It gets one attempt at a time.
    Probation {
        /// Attempts that succeeded.
        proofs: u32,
    },
}

/// The health of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Health {
    #[serde(flatten)]
    trust: Trust,
    failures: u32,
    ejections: u32,
    ejected: Instant,
}

/// How the end of an attempt changes the health of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// No change.
    None,
    /// The server has passed its probation and joins like a new server.
    Recovered,
    /// The server is to be ejected if the pool allows it.
    Failing,
}

impl Default for Health {
    fn default() -> Self {
        Self::new()
    }
}

impl Health {
    /// Creates the health of a trusted server.
    #[must_use]
    pub fn new() -> Self {
        Self {
            trust: Trust::Trusted,
            failures: 0,
            ejections: 0,
            ejected: Instant::ORIGIN,
        }
    }

    /// Returns whether the server is ejected.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        matches!(self.trust, Trust::Ejected { .. })
    }

    /// Returns whether the server is neither ejected nor on probation.
    #[must_use]
    pub fn is_trusted(&self) -> bool {
        self.trust == Trust::Trusted
    }

    /// Returns whether the server may get another attempt in addition to those in flight.
    #[must_use]
    pub fn accepts(&self, in_flight: u32) -> bool {
        // An ejected server is considered only when the pool has no other.
        !matches!(self.trust, Trust::Probation { .. }) || in_flight == 0
    }

    /// Records the outcome of an attempt.
    pub fn record(&mut self, now: Instant, thresholds: &Thresholds, outcome: Outcome) -> Change {
        match (outcome, self.trust) {
            (Outcome::Ignored, _) | (_, Trust::Ejected { .. }) => Change::None,
            (Outcome::Success, Trust::Trusted) => {
                self.failures = 0;
                if now >= self.ejected.plus_millis(EJECTION_RESET_MS) {
                    self.ejections = 0;
                }
                Change::None
            }
            (Outcome::Success, Trust::Probation { proofs }) => {
                if proofs + 1 < PROBATION_SUCCESSES {
                    self.trust = Trust::Probation { proofs: proofs + 1 };
                    return Change::None;
                }
                self.trust = Trust::Trusted;
                self.failures = 0;
                Change::Recovered
            }
            (Outcome::Failure, Trust::Trusted) => {
                self.failures += 1;
                if self.failures >= thresholds.consecutive_failures {
                    Change::Failing
                } else {
                    Change::None
                }
            }
            (Outcome::Failure, Trust::Probation { .. }) => {
                // A server on probation already counts towards the ejected share of the pool, so
                // that share does not grow.
                self.eject(now, thresholds);
                Change::None
            }
        }
    }

    /// Ejects the server.
    pub fn eject(&mut self, now: Instant, thresholds: &Thresholds) {
        let factor = 1 << self.ejections.min(MAX_DOUBLINGS);
        let until = now.plus_millis(thresholds.ejection_ms * factor);
        self.trust = Trust::Ejected { until };
        self.ejections += 1;
        self.ejected = now;
        self.failures = 0;
    }

    /// Starts the probation if the ejection time is over; returns whether it did.
    pub fn start_due_probation(&mut self, now: Instant) -> bool {
        match self.trust {
            Trust::Ejected { until } if until <= now => {
                self.trust = Trust::Probation { proofs: 0 };
                true
            }
            _ => false,
        }
    }
}
