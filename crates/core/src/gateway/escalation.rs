//! Escalation from the smallest to the largest model of a route.
//!
//! Small models answer fast and cheaply, but are too weak for hard requests. Large models are ten
//! times slower, and a fleet that sends every request to them has queues of seconds. The smallest
//! model therefore gets each request first. The head of its answer contains the model's confidence;
//! below a threshold the answer is discarded before any of it is sent to the caller, and the
//! largest model gets the request.
//!
//! How far the confidence is below the threshold decides which larger model gets the request under
//! load: the largest at very low confidence, one in between where the smallest model is nearly sure.
//! That one takes half of the time. An idle service uses the largest model.
//!
//! The threshold decreases under load: a weaker answer in time is better than a strong one that is
//! too late. For the same reason a larger model is used only if its answer is expected to end before
//! the deadline ([`select`]); an answer that is at hand is not discarded for one that will not be there.
//!
//! A request that may run only once cannot escalate: whichever model runs it gives the answer. Its model
//! is chosen before it runs ([`only`]).

use std::time::Duration;

use crate::clock::Instant;
use crate::num::{float, whole};

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

/// Confidence in percent below which an answer is hardly ever right. A right one is then better even
/// if its first token is later than the target.
const MIN_USEFUL_CONFIDENCE: u8 = 20;
/// Doubt that is added while the service is idle: a model in between, which is right less often than
/// the largest, then saves nobody time.
const IDLE_DOUBT: f64 = 0.5;
/// Share of the time until the expected end that is added to it: engines get further prompts
/// meanwhile, and length hints are often too low.
const END_MARGIN: f64 = 0.25;

/// What is expected of the answer of a larger model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outlook {
    /// When its first token is received.
    pub first_token: Instant,
    /// When it ends, if that is known.
    pub end: Option<Instant>,
}

/// Times that an answer should keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// When the first token is late, if the route has a target.
    pub target: Option<Instant>,
    /// When nobody waits for the answer any more.
    pub deadline: Instant,
}

impl Limits {
    /// Returns whether the first token is expected after the target.
    fn is_late(&self, outlook: Outlook) -> bool {
        let target = self.target;
        target.is_some_and(|target| outlook.first_token > target)
    }
}

/// Returns the model to use first, as an index into a list ordered from small to large.
#[must_use]
pub const fn first(models: usize) -> Option<usize> {
    if models == 0 { None } else { Some(0) }
}

/// Returns the model of a request that may run only once: the largest one while the servers have spare
/// capacity, smaller ones under load, and the smallest if no larger one is expected to answer in time.
///
/// `pressure` is the mean load, in requests of usual size, of the servers that would run the largest
/// model. A model without an outlook has no server.
#[must_use]
pub fn only(
    models: usize,
    pressure: f64,
    now: Instant,
    limits: Limits,
    outlook: impl Fn(usize) -> Option<Outlook>,
) -> Option<usize> {
    let largest = models.checked_sub(1)?;
    let step_down = whole((excess(pressure) * float(largest)).ceil());
    let wanted = largest.saturating_sub(step_down);
    let is_in_time = |rank: usize| {
        outlook(rank).is_some_and(|outlook| {
            ends_in_time(now, limits.deadline, outlook) && !limits.is_late(outlook)
        })
    };
    let chosen = (1..=wanted).rev().find(|rank| is_in_time(*rank));
    chosen.or(first(models))
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
    let confidence = f64::from(confidence?);
    let threshold = f64::from(CONFIDENCE_THRESHOLD);
    if confidence >= threshold * threshold_share(pressure) {
        return None;
    }
    // An idle service has time for the largest model at any doubt.
    let idle = 1.0 - (pressure / LOW_PRESSURE).clamp(0.0, 1.0);
    let doubt = (1.0 - confidence / threshold + IDLE_DOUBT * idle).min(1.0);
    let step = whole((doubt * float(largest - model)).ceil()).max(1);
    Some((model + step).min(largest))
}

/// Returns the largest model, up to `next` and larger than `model`, whose answer is expected in time;
/// `None` if there is none, and the answer with `confidence` is kept. A model without an outlook is
/// taken as it is.
#[must_use]
pub fn select(
    next: usize,
    model: usize,
    confidence: Option<u8>,
    now: Instant,
    limits: Limits,
    outlook: impl Fn(usize) -> Option<Outlook>,
) -> Option<usize> {
    let is_useful = confidence.is_some_and(|confidence| confidence >= MIN_USEFUL_CONFIDENCE);
    let is_in_time = |rank: usize| {
        outlook(rank).is_none_or(|outlook| {
            let is_late = limits.is_late(outlook);
            ends_in_time(now, limits.deadline, outlook) && !(is_late && is_useful)
        })
    };
    (model + 1..=next).rev().find(|rank| is_in_time(*rank))
}

fn ends_in_time(now: Instant, deadline: Instant, outlook: Outlook) -> bool {
    let end = outlook.end.unwrap_or(outlook.first_token);
    let margin: Duration = end.since(now).mul_f64(END_MARGIN);
    end + margin <= deadline
}

/// Returns the share of the threshold that applies at `pressure`.
fn threshold_share(pressure: f64) -> f64 {
    1.0 - excess(pressure) * (1.0 - MIN_THRESHOLD_SHARE)
}

/// Returns where `pressure` lies between [`LOW_PRESSURE`], zero, and [`HIGH_PRESSURE`], one.
fn excess(pressure: f64) -> f64 {
    let excess = (pressure - LOW_PRESSURE) / (HIGH_PRESSURE - LOW_PRESSURE);
    excess.clamp(0.0, 1.0)
}
