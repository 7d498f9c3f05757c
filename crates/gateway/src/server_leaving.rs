//! Backend servers that have stated in an answer that they are about to stop; see
//! [`leaving`](fescuerack_core::route::leaving).

use std::collections::HashSet;

use fescuerack_core::clock::Instant;
use fescuerack_core::route::leaving::Digest;

use crate::clock::now;
use crate::node::Node;
use crate::pick::Pick;
use crate::platform::Stated;
use crate::server::{Server, leaving_key};
use crate::statements::OWN_ANSWER;
use crate::view::View;

/// Milliseconds for which a notice is passed on to peers. By then each has received it many times.
pub const SHARE_MS: u64 = 10_000;
/// Maximum number of notices in a message to a peer.
pub const MAX_SHARED: usize = 24;

/// Records what the answer of `pick` states. Only another start of the server ends a notice.
pub fn record_statement(node: &Node, pick: &Pick, is_leaving: Stated<bool>) {
    match is_leaving {
        Stated::Absent | Stated::Value(false) => return,
        Stated::Value(true) => {}
        Stated::Unreadable => {
            let mut unreadable = node.unreadable_headers.borrow_mut();
            unreadable.record(node, pick, "leaving");
            return;
        }
    }
    let mut view = node.view.borrow_mut();
    if view.leaving.record(now(), &leaving_key(pick.identity)) {
        mark(&mut view, &leaving_key(pick.identity), OWN_ANSWER, 0);
    }
}

/// Returns the notices for `peer`.
pub fn digest(node: &Node, peer: &str) -> Digest {
    let mut view = node.view.borrow_mut();
    view.leaving.in_turn(now(), SHARE_MS, MAX_SHARED, peer)
}

/// Returns the notices of all servers that are listed, for a node that starts.
pub fn all(node: &Node) -> Digest {
    node.view.borrow().leaving.digest(now())
}

/// Merges the notices that the peer `source` has passed on.
pub fn receive(node: &Node, source: &str, digest: &Digest) {
    let mut view = node.view.borrow_mut();
    for (key, age_ms) in view.leaving.merge_new(now(), digest) {
        mark(&mut view, &key, source, age_ms);
    }
}

/// Drops expired notices of servers that are no longer listed.
pub fn sweep(node: &Node, now: Instant) {
    let mut view = node.view.borrow_mut();
    let leaving = view.servers.values().filter(|server| server.is_leaving);
    let listed: HashSet<String> = leaving.map(Server::leaving_key).collect();
    node.metrics
        .servers
        .leaving
        .set(i64::try_from(listed.len()).unwrap_or(i64::MAX));
    view.leaving
        .remove_expired_unless(now, |key| listed.contains(key));
}

/// Marks the server with `key`, if it is listed, as leaving.
fn mark(view: &mut View, key: &str, source: &str, age_ms: u64) {
    let Ok(identity) = u64::from_str_radix(key, 16) else {
        tracing::warn!(event = "leaving-key-unreadable", key, source);
        return;
    };
    let mut servers = view.servers.values_mut();
    let Some(server) = servers.find(|server| server.identity == identity) else {
        return;
    };
    server.is_leaving = true;
    tracing::info!(
        event = "stated-leaving",
        server = &*server.entry.id,
        service = &*server.entry.service,
        source,
        age_ms
    );
}
