//! Permission to send a request once more, and the attempts and the retry budget that this takes.
//!
//! Whether a request may be executed again is decided here alone: no further attempt is
//! [taken](take_retry) without a permission, and there are two ways to get one.

use std::sync::Arc;

use crate::attempt::{Job, NotRunReason};
use crate::catalog::Route;
use crate::clock::{age_ms, now};
use crate::node::Node;

/// Permission to send a request to a further server.
#[derive(Clone, Copy, Debug)]
pub struct Permission(());

impl Permission {
    /// Returns the permission that a route gives for all of its requests; `None` if they may run only once.
    #[must_use]
    pub fn of_route(route: &Route) -> Option<Self> {
        route.is_repeatable().then_some(Self(()))
    }

    /// Returns the permission that follows from an attempt which has not run the request.
    #[must_use]
    pub const fn of_not_run(_reason: NotRunReason) -> Self {
        Self(())
    }
}

/// Takes a further attempt from the attempts of the route and the retry budget of the service, after `sent`
/// attempts that reached a server. Returns whether it is allowed; without a permission it is not.
#[must_use]
pub fn take_retry(
    permission: Option<Permission>,
    node: &Node,
    job: &Job,
    service: &Arc<str>,
    sent: u32,
    reason: &str,
) -> bool {
    if permission.is_none() {
        count_retry(node, service, "not-repeatable");
        return false;
    }
    if sent >= job.route.attempts {
        count_retry(node, service, "over-attempts");
        return false;
    }
    let suspects = node.suspects.borrow();
    if suspects.is_refused(now(), &job.keys) || suspects.is_suspected(now(), &job.keys) {
        count_retry(node, service, "crashing");
        return false;
    }
    let bound = node.settings.borrow().retries;
    let share = node.retry_share.borrow();
    let part = share.of(now(), bound.slack, bound.window_ms);
    let account = node
        .retry_budgets
        .borrow_mut()
        .entry(service.clone())
        .or_default()
        .take(now(), &bound, part);
    let label = if account.is_taken {
        reason
    } else {
        "over-budget"
    };
    count_retry(node, service, label);
    tracing::info!(
        event = "further-attempt",
        id = job.head.id,
        service = &**service,
        reason,
        taken = account.is_taken,
        sent,
        requests = account.requests,
        further = account.further,
        max = account.max,
        share = part.attempts,
        rounding = part.rounding,
        nodes = share.nodes(),
        confirmed_ms = share.confirmed_at().map(age_ms),
        registered_ms = share.registered_at().map(age_ms)
    );
    account.is_taken
}

fn count_retry(node: &Node, service: &str, label: &str) {
    node.metrics
        .further_attempts
        .with_label_values(&[service, label])
        .inc();
}
