//! Escalation from the smallest to the largest model of a route.
//!
//! Small models answer fast and cheaply, but are too weak for hard requests. Large models are ten
//! times slower, and a fleet that sends every request to them has queues of seconds. The smallest
//! model therefore gets each request first. The head of its answer contains the model's confidence;
//! below a threshold the answer is discarded before any of it is sent to the caller, and the
//! largest model gets the request.
//!
//! Models between the two are skipped: a request for which the smallest model has low confidence is
//! mostly too hard for the middle one as well, and then two answers would be discarded.
//!
//! The threshold decreases under load: a weaker answer in time is better than a strong one that is
//! too late.

/// Confidence in percent below which a request escalates while the servers have spare capacity.
pub const CONFIDENCE_THRESHOLD: u8 = 50;

/// Pressure, as defined at [`next`], up to which the full threshold applies: less than one long
/// prompt on each server.
pub const LOW_PRESSURE: f64 = 30.0;
/// Pressure from which only [`MIN_THRESHOLD_SHARE`] of the threshold applies: four long prompts on
/// each server, so that another one waits for two seconds or more.
pub const HIGH_PRESSURE: f64 = 75.0;
/// Minimum share of the threshold, which applies at [`HIGH_PRESSURE`] and above.
pub const MIN_THRESHOLD_SHARE: f64 = 0.2;

/// Returns the model to use first, as an index into a list ordered from small to large.
#[must_use]
pub const fn first(models: usize) -> Option<usize> {
    if models == 0 { None } else { Some(0) }
}

/// Returns the model to use next when `model` has answered with `confidence`, or `None` when the
/// answer is kept. An answer without a confidence is kept.
///
/// `pressure` is the mean load, in requests of usual size, of the servers that would run the larger
/// model.
#[must_use]
pub fn next(models: usize, model: usize, confidence: Option<u8>, pressure: f64) -> Option<usize> {
    let largest = models.checked_sub(1)?;
    if model >= largest {
        return None;
    }
    let is_too_low =
        f64::from(confidence?) < f64::from(CONFIDENCE_THRESHOLD) * threshold_share(pressure);
    is_too_low.then_some(largest)
}

/// Returns the share of the threshold that applies at `pressure`.
fn threshold_share(pressure: f64) -> f64 {
    let excess = (pressure - LOW_PRESSURE) / (HIGH_PRESSURE - LOW_PRESSURE);
    1.0 - excess.clamp(0.0, 1.0) * (1.0 - MIN_THRESHOLD_SHARE)
}
