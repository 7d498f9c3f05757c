//! Whether one server is trusted with work.
//!
//! A server that fails a few times in a row, or that is an outlier in speed
//! (found by the sweep over its pool), is ejected for a while, then on
//! probation: one attempt at a time until a few went well. Each further
//! ejection lasts twice as long, so a sick server costs fewer and fewer
//! requests; a server that stays well for long starts over.

use super::Outcome;
use crate::clock::Instant;

/// Thresholds of ejection; every one may be set in the configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Thresholds {
    /// Failures in a row that eject. One or two happen to healthy servers,
    /// when a request is at fault.
    pub consecutive_failures: u32,
    /// Times slower than the pool's median that ejects. Under three, batches
    /// of long prompts look like sickness.
    pub slow_factor: f64,
    /// Largest share of a pool that is ejected at a time. More than a third at
    /// once has a common cause, which ejection would only make worse.
    pub max_ejected_share: f64,
    /// Milliseconds of the first ejection.
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

/// Attempts that must go well on probation.
const PROOF: u32 = 3;
/// Doublings of the time of ejection at most: 5 s to 80 s.
const DOUBLINGS: u32 = 4;
/// Milliseconds without trouble after which ejections start over.
const FORGIVEN_MS: u64 = 300_000;

/// Whether a server is trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case", tag = "trust")]
enum Trust {
    /// It takes its share.
    Trusted,
    /// It takes no work until then.
    Ejected {
        /// When probation begins.
        until: Instant,
    },
    /// It takes one attempt at a time.
    Probation {
        /// Attempts that went well.
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

/// What the end of an attempt changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    None,
    /// It has proved itself and joins like a new server.
    Recovered,
    /// It is to be ejected if the pool allows it.
    Failing,
}

impl Default for Health {
    fn default() -> Self {
        Self::new()
    }
}

impl Health {
    /// Returns the health of a server that is trusted.
    #[must_use]
    pub fn new() -> Self {
        Self {
            trust: Trust::Trusted,
            failures: 0,
            ejections: 0,
            ejected: Instant::ORIGIN,
        }
    }

    /// Returns whether it takes no work.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        matches!(self.trust, Trust::Ejected { .. })
    }

    /// Returns whether it takes its share.
    #[must_use]
    pub fn is_trusted(&self) -> bool {
        self.trust == Trust::Trusted
    }

    /// Returns whether it takes another attempt beside those in flight.
    #[must_use]
    pub fn takes(&self, in_flight: u32) -> bool {
        // An ejected server is asked only when the pool has no other.
        !matches!(self.trust, Trust::Probation { .. }) || in_flight == 0
    }

    /// Takes in how an attempt ended.
    pub fn ended(&mut self, now: Instant, thresholds: &Thresholds, ended: Outcome) -> Change {
        match (ended, self.trust) {
            (Outcome::Ignored, _) | (_, Trust::Ejected { .. }) => Change::None,
            (Outcome::Success, Trust::Trusted) => {
                self.failures = 0;
                if now >= self.ejected.plus_millis(FORGIVEN_MS) {
                    self.ejections = 0;
                }
                Change::None
            }
            (Outcome::Success, Trust::Probation { proofs }) => {
                if proofs + 1 < PROOF {
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
                // It was not counted as trusted before, so the floor of the
                // pool does not suffer.
                self.eject(now, thresholds);
                Change::None
            }
        }
    }

    /// Ejects it.
    pub fn eject(&mut self, now: Instant, thresholds: &Thresholds) {
        let factor = 1 << self.ejections.min(DOUBLINGS);
        let until = now.plus_millis(thresholds.ejection_ms * factor);
        self.trust = Trust::Ejected { until };
        self.ejections += 1;
        self.ejected = now;
        self.failures = 0;
    }

    /// Begins probation when the time of ejection is over; returns whether it
    /// did.
    pub fn review(&mut self, now: Instant) -> bool {
        match self.trust {
            Trust::Ejected { until } if until <= now => {
                self.trust = Trust::Probation { proofs: 0 };
                true
            }
            _ => false,
        }
    }
}
