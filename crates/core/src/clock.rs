//! Points in time.
//!
//! State stores deadlines as an [`Instant`]; durations appear only in settings and in computations
//! of deadlines.

use std::ops::Add;
use std::time::Duration;

/// A point in time, in microseconds since an origin that the process chooses.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct Instant(pub u64);

impl Instant {
    /// The origin.
    pub const ORIGIN: Self = Self(0);

    /// Creates an instant from milliseconds since the origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1000)
    }

    /// Returns the duration from `earlier` to `self`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the whole milliseconds from `earlier` to `self`, or zero if `earlier` is later.
    #[must_use]
    pub const fn millis_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0) / 1000
    }

    /// Returns the instant `millis` milliseconds earlier, at least the origin.
    #[must_use]
    pub const fn minus_millis(self, millis: u64) -> Self {
        Self(self.0.saturating_sub(millis.saturating_mul(1000)))
    }

    /// Returns the instant `millis` milliseconds later.
    #[must_use]
    pub const fn plus_millis(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis * 1000))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}
