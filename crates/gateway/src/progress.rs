//! How far a request has come, and whether it may go further.

use std::sync::Arc;

use fescuerack_core::clock::Instant;

use crate::attempt::{Job, OpenResponse};
use crate::clock::now;
use crate::node::Node;

/// Part of a request's time that is left for passing on a kept answer. It has been made by
/// then, so only its bytes have to reach the caller.
const FALLBACK_RESERVE_DIVISOR: u32 = 20;

/// How far a request has come.
#[derive(Default)]
pub struct RequestProgress {
    /// Servers that must not be asked again.
    pub tried: Vec<Arc<str>>,
    /// Attempts that reached a server.
    pub sent: u32,
    /// Tries at servers that could not be reached.
    pub unreached: u32,
    /// Whether an attempt may have run.
    pub may_have_run: bool,
    /// Index of the model to ask.
    pub model: Option<usize>,
    /// A doubted answer that is kept until that of a larger model is there.
    pub fallback: Option<Fallback>,
}

/// An answer at hand, which the caller gets if no better one comes in time.
///
/// Nothing of its body is read meanwhile: its server writes on, and what it has written waits
/// in the connection.
pub struct Fallback {
    /// The answer.
    pub response: OpenResponse,
    /// Index of the model that made it.
    pub model: usize,
    /// When it goes to the caller at the latest.
    pub until: Instant,
}

impl Fallback {
    /// Keeps the answer of `model` to `job`.
    #[must_use]
    pub fn new(mut response: OpenResponse, model: usize, job: &Job) -> Self {
        // It has been counted with its doubt.
        response.watched = None;
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
    /// Whether the kept answer is due.
    #[must_use]
    pub fn is_fallback_due(&self) -> bool {
        self.fallback
            .as_ref()
            .is_some_and(|fallback| now() >= fallback.until)
    }
}

/// Takes a further attempt from the route's attempts and the service's budget.
pub fn take_retry(node: &Node, job: &Job, service: &Arc<str>, sent: u32, reason: &str) -> bool {
    if sent >= job.route.attempts {
        return false;
    }
    let bound = node.settings.borrow().retries;
    let nodes = node.view.borrow().node_count();
    let is_taken = node
        .budgets
        .borrow_mut()
        .entry(service.clone())
        .or_default()
        .take(now(), &bound, nodes);
    let word = if is_taken { reason } else { "over-budget" };
    node.metrics
        .further
        .with_label_values(&[&**service, word])
        .inc();
    tracing::info!(
        event = "further-attempt",
        id = job.head.id,
        reason,
        taken = is_taken,
        sent,
        nodes
    );
    is_taken
}
