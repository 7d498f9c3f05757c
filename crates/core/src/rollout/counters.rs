//! Counters of the outcomes of a version's answers.
//!
//! Every counter only increases and is written by one incarnation of one instance. Two states of it
//! are merged by taking the larger value (a grow-only counter), so repeated, reordered and old
//! messages do no harm.

use serde::{Deserialize, Serialize};

/// The outcomes that one incarnation counted for one version in one canary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Counters {
    /// Attempts that ended, successfully or not.
    #[serde(rename = "a", skip_serializing_if = "is_zero")]
    pub answers: u32,
    /// Attempts that ended with an error.
    #[serde(rename = "e", skip_serializing_if = "is_zero")]
    pub errors: u32,
    /// Attempts whose backend server crashed.
    #[serde(rename = "c", skip_serializing_if = "is_zero")]
    pub crashes: u32,
    /// Answers whose time to first token exceeded the target.
    #[serde(rename = "l", skip_serializing_if = "is_zero")]
    pub missed_targets: u32,
    /// Answers that were rated.
    #[serde(rename = "r", skip_serializing_if = "is_zero")]
    pub rated: u32,
    /// Rated answers that were bad.
    #[serde(rename = "b", skip_serializing_if = "is_zero")]
    pub bad: u32,
    /// Sum of the ratings, in thousandths.
    #[serde(rename = "q", skip_serializing_if = "is_zero")]
    pub quality_milli: u32,
}

/// Returns whether a counter is omitted from messages.
fn is_zero<T: Default + PartialEq>(count: &T) -> bool {
    *count == T::default()
}

impl Counters {
    fn zip(self, other: Self, merge: fn(u32, u32) -> u32) -> Self {
        Self {
            answers: merge(self.answers, other.answers),
            errors: merge(self.errors, other.errors),
            crashes: merge(self.crashes, other.crashes),
            missed_targets: merge(self.missed_targets, other.missed_targets),
            rated: merge(self.rated, other.rated),
            bad: merge(self.bad, other.bad),
            quality_milli: merge(self.quality_milli, other.quality_milli),
        }
    }

    /// Returns the later of two states of the same counters.
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        self.zip(other, u32::max)
    }

    /// Returns the sum.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        self.zip(other, u32::saturating_add)
    }

    /// Returns what was added since `earlier`.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        self.zip(earlier, u32::saturating_sub)
    }

    /// Returns the mean rating from 0 to 1, if there is any.
    #[must_use]
    pub fn quality(self) -> Option<f64> {
        (self.rated > 0).then(|| f64::from(self.quality_milli) / f64::from(self.rated) / 1000.0)
    }
}

/// Counters of both versions of a canary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PairedCounters {
    /// The current version.
    pub current: Counters,
    /// The candidate.
    pub candidate: Counters,
}

impl PairedCounters {
    /// Returns the later of two states.
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        Self {
            current: self.current.join(other.current),
            candidate: self.candidate.join(other.candidate),
        }
    }

    /// Returns the sum.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            current: self.current.plus(other.current),
            candidate: self.candidate.plus(other.candidate),
        }
    }

    /// Returns what was added since `earlier`.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self {
            current: self.current.since(earlier.current),
            candidate: self.candidate.since(earlier.candidate),
        }
    }
}
