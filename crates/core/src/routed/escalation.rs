//! Which of a route's models answers.
//!
//! The pattern: small models answer fast and cheaply but too weakly for hard
//! requests; large ones are ten times slower, and a fleet that sends everything
//! to them queues for seconds. The smallest model is asked first. Its answer's
//! head carries the model's own confidence; below a threshold the answer is
//! dropped before the caller has any of it, and the largest model is asked.
//!
//! Models between the two are left out: an answer that the smallest doubts is
//! mostly too hard for the middle one as well, and then two answers are thrown
//! away.
//!
//! Under load the threshold falls: a weaker answer now beats a strong one that
//! comes too late.

/// Confidence in percent below which an answer is asked for again while engines
/// have room.
pub const THRESHOLD: u8 = 50;

/// Pressure up to which the threshold stands: less than a long prompt at each server.
pub const CALM: f64 = 30.0;
/// Pressure from which only [`LEAST`] of it stands: four long prompts at each server, so
/// that another waits for two seconds and more.
pub const FULL: f64 = 75.0;
/// Part of the threshold that stands whatever the pressure.
pub const LEAST: f64 = 0.2;

/// Returns the model to ask first, as an index into a list ordered by size.
#[must_use]
pub const fn first(models: usize) -> Option<usize> {
    if models == 0 { None } else { Some(0) }
}

/// Returns the model to ask next when `model` has answered with `confidence`, or
/// `None` when the answer should stand.
///
/// `pressure` is the mean work, in requests of usual size, of the servers that would run
/// the larger model.
#[must_use]
pub fn next(models: usize, model: usize, confidence: Option<u8>, pressure: f64) -> Option<usize> {
    let largest = models.checked_sub(1)?;
    if model >= largest {
        return None;
    }
    let doubted = f64::from(confidence?) < f64::from(THRESHOLD) * room(pressure);
    doubted.then_some(largest)
}

/// Part of the threshold that stands under `pressure`.
fn room(pressure: f64) -> f64 {
    let over = (pressure - CALM) / (FULL - CALM);
    1.0 - over.clamp(0.0, 1.0) * (1.0 - LEAST)
}
