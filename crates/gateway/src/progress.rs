//! The state of a request across its attempts.

use std::sync::Arc;

use fescuerack_core::clock::Instant;

use crate::attempt::{Job, OpenResponse};
use crate::clock::now;

/// The fallback answer is sent when the remaining time is the whole time of the request divided by
/// this. The answer is complete by then, so only its bytes have to reach the caller.
const FALLBACK_RESERVE_DIVISOR: u32 = 20;

/// The state of a request across its attempts.
#[derive(Default)]
pub struct RequestProgress {
    /// Servers that must not be tried again.
    pub tried: Vec<Arc<str>>,
    /// Attempts that reached a server.
    pub sent: u32,
    /// Attempts at servers that could not be reached.
    pub connect_failures: u32,
    /// Those of them that took long.
    pub slow_connect_failures: u32,
    /// Whether the request may have been run.
    pub may_have_run: bool,
    /// Index of the model for the next attempt.
    pub model: Option<usize>,
    /// Whether no peer takes the request.
    pub has_no_peer: bool,
    /// An answer of low confidence, kept until that of a larger model is received.
    pub fallback: Option<Fallback>,
}

/// An answer that is sent to the caller if no better one is received in time.
///
/// Its body is not read meanwhile. The server continues to write it, and the bytes are buffered by
/// the connection.
pub struct Fallback {
    /// The answer.
    pub response: OpenResponse,
    /// Index of the model that generated it.
    pub model: usize,
    /// When it is sent to the caller at the latest.
    pub until: Instant,
}

impl Fallback {
    /// Keeps the answer of `model` to `job`.
    #[must_use]
    pub fn new(mut response: OpenResponse, model: usize, job: &Job) -> Self {
        // Its outcome was counted when it was found to be of low confidence.
        response.tracking_guard = None;
        let rest = job.deadline.since(job.arrived) / FALLBACK_RESERVE_DIVISOR;
        let rest_ms = u64::try_from(rest.as_millis()).unwrap_or(u64::MAX);
        Self {
            response,
            model,
            until: job.deadline.minus_millis(rest_ms),
        }
    }
}

impl RequestProgress {
    /// Returns whether the fallback answer is due.
    #[must_use]
    pub fn is_fallback_due(&self) -> bool {
        self.fallback
            .as_ref()
            .is_some_and(|fallback| now() >= fallback.until)
    }
}
