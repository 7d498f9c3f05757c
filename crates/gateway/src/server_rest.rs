//! Backend servers that have turned this node away and asked it for rest; see [`rest`].
//!
//! [`rest`]: fescuerack_core::gateway::rest

use fescuerack_core::clock::Instant;
use rand::RngExt as _;

use crate::clock::now;
use crate::node::Node;
use crate::pick::Pick;
use crate::platform::Stated;
use crate::server::Server;
use crate::statements::OWN_ANSWER;

/// Records what the answer of `pick` states.
pub fn record_statement(node: &Node, pick: &Pick, rest_ms: Stated<u64>) {
    let rest_ms = match rest_ms {
        Stated::Absent => return,
        Stated::Value(rest_ms) => rest_ms,
        Stated::Unreadable => {
            let mut unreadable = node.unreadable_headers.borrow_mut();
            unreadable.record(node, pick, "rest");
            return;
        }
    };
    let now = now();
    let spread = node.random.borrow_mut().random::<f64>();
    let mut rests = node.rests.borrow_mut();
    let was_resting = rests.end(now, pick.identity).is_some();
    let Some(end) = rests.record(now, pick.identity, rest_ms, spread) else {
        return;
    };
    if !was_resting {
        node.metrics
            .servers
            .rests
            .with_label_values(&[&*pick.service])
            .inc();
    }
    tracing::info!(
        event = "stated-rest",
        server = &*pick.id,
        service = &*pick.service,
        change = if was_resting { "changed" } else { "learnt" },
        rest_ms,
        kept_ms = end.since(now).as_secs_f64() * 1_000.0,
        source = OWN_ANSWER
    );
}

/// Returns when the rest of `server` ends; `None` if it does not rest.
pub fn end(node: &Node, server: &Server, now: Instant) -> Option<Instant> {
    node.rests.borrow().end(now, server.identity)
}

/// Drops the rests that have ended, and updates the gauge.
pub fn sweep(node: &Node, now: Instant) {
    let mut rests = node.rests.borrow_mut();
    let ended = rests.remove_ended(now);
    let count = i64::try_from(rests.len()).unwrap_or(i64::MAX);
    node.metrics.servers.resting.set(count);
    if ended.is_empty() {
        return;
    }
    let view = node.view.borrow();
    let servers = view.servers.values();
    for server in servers.filter(|server| ended.contains(&server.identity)) {
        tracing::info!(
            event = "stated-rest",
            server = &*server.entry.id,
            service = &*server.entry.service,
            change = "ended"
        );
    }
}
