//! Hedged requests: when a second attempt runs in parallel with the first.
//!
//! If one server of many is slow, the requests on it wait although another server would answer at
//! once. A hedge is sent when the first token is later than nearly all others, so hedges add only a
//! few attempts per hundred.
//!
//! A hedge is useful only while there is free capacity: when requests wait, it takes capacity
//! from another request. Only idempotent requests are hedged, at most once each, and every
//! hedge is taken from the retry budget.
//!
//! Hedges are off unless the configuration sets `attempt.hedge-ms`: with one server that is ten
//! times slower, server selection alone keeps the p99 time to first token at that of a healthy pool
//! (docs/BENCHMARKS.md).

use std::time::Duration;

use crate::num::{Mean, seconds};

/// Number of mean absolute deviations above the mean from which a first token is late; four are
/// about three standard deviations.
const LATE_DEVIATIONS: f64 = 4.0;
/// Minimum number of samples before a first token can be judged late.
const MIN_SAMPLES: u32 = 20;

/// Returns the time without a first token after which a hedge is sent.
///
/// The time is at least `min_s` seconds. Returns `None` if a hedge could not produce its first
/// token within `remaining`, if there are too few samples, or if `min_s` is 0, which turns hedges
/// off.
#[must_use]
pub fn delay(first_token: &Mean, min_s: f64, remaining: Duration) -> Option<Duration> {
    if first_token.samples < MIN_SAMPLES || min_s <= 0.0 {
        return None;
    }
    let late = seconds(first_token.upper(LATE_DEVIATIONS, min_s).max(min_s));
    // A hedge that cannot produce its first token in time only adds load.
    let useful = late + seconds(first_token.value) < remaining;
    useful.then_some(late)
}
