//! Limits on the requests that this node sends to backend servers that are warming up or have stated
//! a limit in their answers; see [`shared_limit`] and
//! [`stated_limit`](fescuerack_core::gateway::stated_limit).

use std::collections::HashMap;

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::shared_limit::{self, Limit, Target};
use fescuerack_core::gateway::stated_limit::{Change, Digest};

use crate::clock::now;
use crate::node::Node;
use crate::pick::Pick;
use crate::platform::Stated;
use crate::server::Server;
use crate::statements::OWN_ANSWER;
use crate::view::View;

/// Returns whether the limits allow this node to send `server` a request now.
pub fn admits(node: &Node, view: &View, server: &Server, now: Instant) -> bool {
    let Some(target) = target(node, view, server, now) else {
        return true;
    };
    let mut gate = node.gate.borrow_mut();
    let standing = view.membership.standing(now);
    gate.admits(now, standing, &target, || is_sender(node, view, &target))
}

/// Records that a request is sent to `server` now.
pub fn record_request(node: &Node, view: &View, server: &Server, now: Instant) {
    let Some(target) = target(node, view, server, now) else {
        return;
    };
    let mut gate = node.gate.borrow_mut();
    gate.record_send(now, &target, view.membership.count());
    let requests = if server.is_cold(now) {
        &node.metrics.servers.cold_requests
    } else {
        &node.metrics.servers.limited_requests
    };
    requests.with_label_values(&[&*server.entry.service]).inc();
    tracing::info!(
        event = "limited-request",
        server = &*server.entry.id,
        cold = server.is_cold(now),
        members = view.membership.count(),
        missing = view.membership.missing_count(),
        confirmed = view.membership.is_confirmed()
    );
}

/// Returns when a request to `server` may be admitted again, by this node or by another.
pub fn next_at(node: &Node, view: &View, server: &Server, now: Instant) -> Instant {
    let target = target(node, view, server, now);
    let gate = node.gate.borrow();
    target.map_or(now, |target| {
        gate.next_at(now, &target, view.membership.count())
    })
}

/// Records what the answer of `pick` to a request that was sent at `sent_at` states.
pub fn record_statement(node: &Node, pick: &Pick, sent_at: Instant, limit: Stated<f64>) {
    let per_second = match limit {
        Stated::Absent => None,
        Stated::Value(per_second) => Some(per_second),
        Stated::Unreadable => {
            node.unreadable_headers
                .borrow_mut()
                .record(node, pick, "limit");
            return;
        }
    };
    let mut limits = node.stated_limits.borrow_mut();
    if let Some(change) = limits.record(now(), sent_at, pick.identity, per_second) {
        log_change(node, &pick.id, change, OWN_ANSWER, 0);
    }
}

/// Merges the statements that the peer `source` has passed on.
pub fn receive(node: &Node, source: &str, digest: &Digest) {
    let changes = node.stated_limits.borrow_mut().merge(now(), digest);
    if changes.is_empty() {
        return;
    }
    let view = node.view.borrow();
    for (identity, change, age_ms) in changes {
        let mut servers = view.servers.values();
        let server = servers.find(|server| server.identity == identity);
        // A server whose entry has not arrived yet is logged by its hash.
        match server {
            Some(server) => log_change(node, &server.entry.id, change, source, age_ms),
            None => log_change(node, &format!("{identity:016x}"), change, source, age_ms),
        }
    }
}

/// Drops the state of servers that have no limit any more or are no longer listed.
pub fn sweep(node: &Node, now: Instant) {
    if node.stated_limits.borrow().is_empty() && node.gate.borrow().is_empty() {
        return;
    }
    let view = node.view.borrow();
    let listed: HashMap<u64, &Server> = view
        .servers
        .values()
        .map(|server| (server.identity, server))
        .collect();
    let mut limits = node.stated_limits.borrow_mut();
    limits.sweep(now, |identity| listed.contains_key(&identity));
    let is_cold = |identity| {
        let server: Option<&&Server> = listed.get(&identity);
        server.is_some_and(|server| server.is_cold(now))
    };
    node.gate
        .borrow_mut()
        .retain(|identity| is_cold(identity) || limits.target(now, identity).is_some());
    let count = i64::try_from(limits.limited_count()).unwrap_or(i64::MAX);
    node.metrics.servers.limited.set(count);
}

/// Returns whether this node is a sender for the server.
fn is_sender(node: &Node, view: &View, target: &Target) -> bool {
    let settings = node.settings.borrow();
    let names = view.membership.names();
    let senders = target.limit.senders(view.membership.count());
    shared_limit::is_sender(&settings.instance, names, target.hash(), senders)
}

/// Returns the server with the strictest of its limits; `None` if it has none.
fn target(node: &Node, view: &View, server: &Server, now: Instant) -> Option<Target> {
    let stated = node.stated_limits.borrow().target(now, server.identity);
    let Some(warmup) = warmup_limit(node, view, server, now) else {
        return stated;
    };
    let round = stated.map_or(0, |stated| stated.round);
    Some(Target {
        identity: server.identity,
        limit: stated.map_or(warmup, |stated| stated.limit.stricter(warmup)),
        round,
    })
}

/// Returns the limit of the server while it is cold; `None` if its service states none.
fn warmup_limit(node: &Node, view: &View, server: &Server, now: Instant) -> Option<Limit> {
    if !server.is_cold(now) {
        return None;
    }
    let catalog = view.catalog.as_ref()?;
    let warmup = catalog.services.get(&server.entry.service)?.warmup?;
    let excess = node.settings.borrow().warmup;
    Some(Limit::warmup(
        warmup.per_second,
        excess.overage,
        excess.slack,
    ))
}

fn log_change(node: &Node, server: &str, change: Change, source: &str, age_ms: u64) {
    let (label, limit) = match change {
        Change::Learnt(limit) => ("learnt", Some(limit)),
        Change::Changed(limit) => ("changed", Some(limit)),
        Change::Ended => ("ended", None),
    };
    node.metrics
        .servers
        .limit_changes
        .with_label_values(&[label])
        .inc();
    tracing::info!(
        event = "stated-limit",
        server,
        change = label,
        limit,
        source,
        age_ms
    );
}
