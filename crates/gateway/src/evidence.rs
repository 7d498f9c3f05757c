//! What the ends of attempts say of their requests: whether a request crashes the servers that run it.

use fescuerack_core::gateway::load;

use crate::attempt::Job;
use crate::clock::now;
use crate::node::Node;
use crate::pick::Pick;

/// Records that the server at `pick` broke off while it ran `job`.
pub fn record_crash(node: &Node, job: &Job, pick: &Pick) {
    let server = load::short_id(pick.identity);
    let mut suspects = node.suspects.borrow_mut();
    suspects.record_crash(now(), job.fingerprint, server);
    tracing::info!(
        event = "crash-counted",
        id = job.head.id,
        digest = job.fingerprint,
        server = &*pick.id,
        is_refused = suspects.is_refused(now(), job.fingerprint)
    );
}
