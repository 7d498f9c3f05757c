//! How long an attempt waits for the head of a response.

use std::time::Duration;

use fescuerack_core::clock::Instant;

use crate::attempt::Job;
use crate::catalog::Kind;
use crate::clock::now;
use crate::progress::RequestProgress;

/// Time-out of an attempt at a repeatable request without a stream, as a multiple of its latency
/// target. Any earlier, a server that does not answer cannot be distinguished from a slow one.
const PLAIN_TIMEOUT_FACTOR: f64 = 2.5;
/// Minimum time-out until the head of a stream, as a multiple of its latency target; the server
/// reads the prompt meanwhile.
const STREAM_MIN_TIMEOUT_FACTOR: f64 = 0.9;
/// Maximum time-out until the head of a stream, as a multiple of its latency target. An engine that
/// reads long prompts is as silent as one that hangs, and abandoning it discards the prefill that
/// it has done.
const STREAM_MAX_TIMEOUT_FACTOR: f64 = 2.0;

/// Returns until when an attempt waits for a head before another server is tried or the fallback
/// answer is sent.
#[must_use]
pub fn of(job: &Job, progress: &RequestProgress) -> Instant {
    let latest = progress.answer_until(job);
    let is_last = progress.sent + 1 >= job.route.attempts;
    let (Some(target_ms), false, true) = (
        job.route.target_latency_ms,
        is_last,
        job.route.is_repeatable(),
    ) else {
        return latest;
    };
    let target = Duration::from_millis(target_ms);
    let timeout = match job.route.kind {
        Kind::Streaming => stream_timeout(target, job.deadline.since(now())),
        Kind::Idempotent | Kind::NonIdempotent => target.mul_f64(PLAIN_TIMEOUT_FACTOR),
    };
    (now() + timeout).min(latest)
}

/// Returns the time-out until the head of a stream, with `remaining` until the deadline. Unless
/// the minimum is longer, it is at most half of `remaining`, since the next server needs as long.
fn stream_timeout(target: Duration, remaining: Duration) -> Duration {
    let upper = target.mul_f64(STREAM_MAX_TIMEOUT_FACTOR).min(remaining / 2);
    upper.max(target.mul_f64(STREAM_MIN_TIMEOUT_FACTOR))
}
