//! What backend servers state about themselves in their answers, besides the answer itself.
//!
//! Every answer to a routed request passes [`record`]: plain ones and refusals, heads of streams,
//! resumptions and escalations. Nodes pass on to each other what concerns all of them, behind their
//! [load reports](crate::load_report).

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::stated_limit;
use fescuerack_core::route::leaving;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};

use crate::node::Node;
use crate::pick::Pick;
use crate::platform::{ResponseHead, Stated};
use crate::{server_leaving, server_rest};

/// Source of a statement in the log, if it is an answer to this node.
pub const OWN_ANSWER: &str = "answer";

/// The statements in a message to a peer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Digest {
    /// Limits of requests a second.
    pub limits: stated_limit::Digest,
    /// Servers that are about to stop.
    pub leaving: leaving::Digest,
}

/// Records what the answer of `pick` to the request `id` states. The request was sent at `sent_at`.
pub fn record(
    node: &Node,
    pick: &Pick,
    id: &str,
    sent_at: Instant,
    status: StatusCode,
    head: &ResponseHead,
) {
    // Another server at the address answers with this status, and states nothing about `pick`.
    if !head.is_for_request || status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    log(pick, id, head);
    // What a part in front of the server answers for it does not say that the server is well again.
    let may_say = |is_absent: bool| head.is_proved || !is_absent;
    if may_say(head.limit == Stated::Absent) {
        record_limit(node, pick, sent_at, head.limit);
    }
    server_leaving::record_statement(node, pick, head.is_leaving);
    server_rest::record_statement(node, pick, head.rest_ms);
    if head.max_refusals == Stated::Unreadable {
        let mut unreadable = node.unreadable_headers.borrow_mut();
        unreadable.record(node, pick, "brittle");
    }
    if head.is_not_run && status == StatusCode::SERVICE_UNAVAILABLE {
        node.brittle
            .record_refusal(pick.identity, head.max_refusals);
    }
    if may_say(head.max_refusals == Stated::Absent) {
        node.brittle
            .record_statement(&pick.service, sent_at, head.max_refusals, OWN_ANSWER);
    }
}

fn record_limit(node: &Node, pick: &Pick, sent_at: Instant, limit: Stated<f64>) {
    let per_second = match limit {
        Stated::Absent => None,
        Stated::Value(per_second) => Some(per_second),
        Stated::Unreadable => {
            let mut unreadable = node.unreadable_headers.borrow_mut();
            unreadable.record(node, pick, "limit");
            return;
        }
    };
    node.limits.record_statement(pick, sent_at, per_second);
}

/// Returns the statements for `peer`.
pub fn digest(node: &Node, peer: &str) -> Digest {
    Digest {
        limits: node.limits.digest(peer),
        leaving: server_leaving::digest(node, peer),
    }
}

/// Returns all statements, for a node that starts.
pub fn all(node: &Node) -> Digest {
    Digest {
        limits: node.limits.all(),
        leaving: server_leaving::all(node),
    }
}

/// Receives the statements that the peer `source` has passed on.
pub fn receive(node: &Node, source: &str, digest: &Digest) {
    node.limits
        .receive(&node.view.borrow(), source, &digest.limits);
    server_leaving::receive(node, source, &digest.leaving);
}

/// Drops what is over, and updates the gauges.
pub fn sweep(node: &Node, now: Instant) {
    node.limits.sweep(&node.view.borrow(), now);
    server_leaving::sweep(node, now);
    server_rest::sweep(node, now);
    let brittle = node.brittle.sweep(&node.view.borrow(), now);
    let brittle = i64::try_from(brittle).unwrap_or(i64::MAX);
    node.metrics.servers.brittle_services.set(brittle);
}

fn log(pick: &Pick, id: &str, head: &ResponseHead) {
    let is_silent = head.limit == Stated::Absent
        && head.is_leaving == Stated::Absent
        && head.rest_ms == Stated::Absent;
    if is_silent {
        return;
    }
    let is_readable = head.limit != Stated::Unreadable
        && head.is_leaving != Stated::Unreadable
        && head.rest_ms != Stated::Unreadable;
    tracing::info!(
        event = "server-stated",
        id,
        server = &*pick.id,
        limit = head.limit.value(),
        leaving = head.is_leaving.value(),
        rest_ms = head.rest_ms.value(),
        readable = is_readable
    );
}
