//! How far a request has come, and whether it may go further.

use std::sync::Arc;

use crate::attempt::Job;
use crate::clock::now;
use crate::node::Node;

/// How far a request has come.
#[derive(Debug, Default)]
pub struct Course {
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
}

/// Takes a further attempt from the route's attempts and the service's budget.
pub fn further(node: &Node, job: &Job, service: &Arc<str>, sent: u32, reason: &str) -> bool {
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
        id = job.ask.id,
        reason,
        taken = is_taken,
        sent,
        nodes
    );
    is_taken
}
