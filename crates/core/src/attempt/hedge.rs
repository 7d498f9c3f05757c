//! When a second attempt runs beside the first.
//!
//! The pattern: one server in many is slow, and whoever is on it waits long
//! though another server would answer at once. A hedge is sent once the first
//! token is later than nearly all are, so it costs a few attempts in a hundred.
//!
//! It pays only while there is room: when requests wait for a place, a hedge
//! takes one from somebody else. It is for idempotent work only, at most one
//! per request, and comes out of the retry budget.
//!
//! None is sent unless the configuration asks for it (`attempt.hedge-ms`): with
//! one server ten times slower the choice of servers alone keeps the p99 of the
//! first token at that of a healthy pool (docs/BENCHMARKS.md).

use std::time::Duration;

use crate::num::{Mean, seconds};

/// Deviations above the mean first token from which it is late. Mean absolute
/// deviations: four are about three standard deviations.
const DEVIATIONS: f64 = 4.0;
/// Samples before lateness can be told.
const SAMPLES: u32 = 20;

/// Returns after which time without a first token a hedge pays, if ever before
/// `remaining` is over; never within `least_s` seconds, and never at all when
/// that is 0.
#[must_use]
pub fn delay(first: &Mean, least_s: f64, remaining: Duration) -> Option<Duration> {
    if first.samples < SAMPLES || least_s <= 0.0 {
        return None;
    }
    let late = seconds(first.upper(DEVIATIONS, least_s).max(least_s));
    // A hedge that cannot bring its first token in time only adds load.
    let useful = late + seconds(first.value) < remaining;
    useful.then_some(late)
}
