//! When a second attempt runs beside the first.
//!
//! The pattern: one server in many is slow, and whoever is on it waits long
//! though another server would answer at once. A hedge is sent once the first
//! token is later than nearly all are, so it costs a few attempts in a hundred.
//!
//! It pays only while there is room: when requests wait for a place, a hedge
//! takes one from somebody else. It is for idempotent work only, at most one
//! per request, and comes out of the retry budget.

use std::time::Duration;

use crate::num::{Mean, seconds};

/// Deviations above the mean first token from which it is late. Mean absolute
/// deviations: four are about three standard deviations.
const DEVIATIONS: f64 = 4.0;
/// Seconds within which no hedge is sent: the usual first token is 0.35 s.
const LEAST_S: f64 = 0.2;
/// Samples before lateness can be told.
const SAMPLES: u32 = 20;

/// Returns after which time without a first token a hedge pays, if ever before
/// `remaining` is over.
#[must_use]
pub fn after(first: &Mean, remaining: Duration) -> Option<Duration> {
    if first.samples < SAMPLES {
        return None;
    }
    let late = seconds(first.upper(DEVIATIONS, LEAST_S).max(LEAST_S));
    // A hedge that cannot bring its first token in time only adds load.
    let useful = late + seconds(first.value) < remaining;
    useful.then_some(late)
}
