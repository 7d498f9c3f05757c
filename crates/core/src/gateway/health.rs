//! Ejection of backend servers that fail or do not answer, by the outcomes on one node.
//!
//! A server may fail part of its requests while it reports itself healthy, it may stop answering so
//! that each attempt on it costs a time-out, or it may answer many times slower. Without ejection
//! it would keep its share of the traffic, and each non-idempotent request that it fails is lost.
//!
//! Failures enter an exponentially weighted moving average of outcomes with a half-life of
//! [`HALF_LIFE_OUTCOMES`] outcomes. A server whose average exceeds one half is ejected, for a time
//! that doubles while its first attempts after a return fail again. This module does not limit how
//! many servers are ejected: [`affinity`](super::affinity) prefers healthy servers and falls back
//! to all of them.

use crate::clock::Instant;

/// Weight of the newest outcome in the average. With 0.25, three failures in a row, or four of six,
/// exceed [`EJECTION_THRESHOLD`]; a service that always fails 14 in 100 exceeds it about once in
/// 300 outcomes.
const NEWEST_WEIGHT: f64 = 0.25;
/// Number of outcomes after which the weight of an outcome has halved:
/// ln 0.5 / ln (1 - `NEWEST_WEIGHT`).
pub const HALF_LIFE_OUTCOMES: f64 = 2.4;
/// Average of failures from which a server is ejected.
const EJECTION_THRESHOLD: f64 = 0.55;
/// Duration of the first ejection, in milliseconds: about the time in which a crashed server has
/// restarted or has been removed from the list.
const BASE_EJECTION_MS: u64 = 1_000;
/// Longest duration of an ejection, in milliseconds.
const MAX_EJECTION_MS: u64 = 8_000;
/// Average with which a server returns: one more failure ejects it again.
const RETURN_AVERAGE: f64 = 0.45;

/// Outcome of an attempt on a server, as far as it concerns the server's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered.
    Succeeded,
    /// The attempt failed.
    Failed,
    /// The connection broke. The cause may be the path of the node.
    Broken,
    /// The server could not be reached. It is ejected immediately.
    Unreached,
    /// It sent bytes without end that were no answer. It is ejected immediately.
    Endless,
}

/// Health of one server, by the attempts of the local node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    failures: f64,
    ejected_until: Option<Instant>,
    ejection_ms: u64,
    /// Whether it is ejected because it could not be reached.
    is_unreached: bool,
    /// Whether it has sent bytes without end, and no whole answer since.
    is_on_trial: bool,
}

impl Health {
    /// Returns whether the server was ejected because it could not be reached.
    #[must_use]
    pub const fn is_unreached(&self) -> bool {
        self.is_unreached
    }

    /// Whether the server is not ejected.
    #[must_use]
    pub fn is_available(&self, now: Instant) -> bool {
        self.ejected_until.is_none_or(|until| now >= until)
    }

    /// Whether the server is available for one request at a time: its heads are good, and only a whole
    /// answer tells that what follows them is, too.
    #[must_use]
    pub const fn is_on_trial(&self) -> bool {
        self.is_on_trial
    }

    /// Records a whole answer.
    pub const fn confirm(&mut self) {
        self.is_on_trial = false;
    }

    /// Returns the average of failures, from 0 to 1.
    #[must_use]
    pub const fn failures(&self) -> f64 {
        self.failures
    }

    /// Records an outcome and returns whether it ejects the server.
    pub fn observe(&mut self, now: Instant, outcome: Outcome) -> bool {
        let failure = if outcome == Outcome::Succeeded {
            0.0
        } else {
            1.0
        };
        self.failures += NEWEST_WEIGHT * (failure - self.failures);
        if outcome == Outcome::Succeeded {
            self.is_unreached = false;
            if self.failures < RETURN_AVERAGE / 2.0 && !self.is_on_trial {
                self.ejection_ms = 0;
            }
            return false;
        }
        self.is_on_trial |= outcome == Outcome::Endless;
        let is_immediate = matches!(outcome, Outcome::Unreached | Outcome::Endless);
        let is_ejected = is_immediate || self.failures >= EJECTION_THRESHOLD;
        if is_ejected && self.is_available(now) {
            self.ejection_ms = (self.ejection_ms * 2).clamp(BASE_EJECTION_MS, MAX_EJECTION_MS);
            self.ejected_until = Some(now.plus_millis(self.ejection_ms));
            self.failures = RETURN_AVERAGE;
            self.is_unreached = outcome == Outcome::Unreached;
            return true;
        }
        false
    }
}
