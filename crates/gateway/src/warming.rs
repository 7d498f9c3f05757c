//! Limits on the requests that this node sends to backend servers that are warming up; see
//! [`warmup`].

use std::collections::HashMap;

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::warmup::{self, Limit, Pacer, SETTLE_MS};

use crate::node::Node;
use crate::server::Server;
use crate::view::View;

/// Milliseconds for which a node caches whether it is a sender for a server. Servers are picked
/// more often than nodes join and leave.
const MEMBERSHIP_TTL_MS: u64 = 500;

/// Whether this node is a sender for each server that is warming up, by the hash of the server's
/// identity.
#[derive(Debug)]
pub struct Warming {
    /// Time from which this node may be a sender.
    ready_at: Instant,
    memberships: HashMap<u64, Membership>,
}

/// Whether this node is a sender for one server, and when it may send the next request.
#[derive(Clone, Copy, Debug)]
struct Membership {
    is_sender: bool,
    /// Time until which `is_sender` is valid.
    until: Instant,
    pacer: Pacer,
}

impl Warming {
    /// Creates the state of a node that starts at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            ready_at: now.plus_millis(SETTLE_MS),
            memberships: HashMap::new(),
        }
    }

    /// Drops the state of servers that are warm or no longer listed.
    pub fn sweep(&mut self, now: Instant, view: &View) {
        let cold = view.servers.values().filter(|server| server.is_cold(now));
        let cold: Vec<u64> = cold.map(|server| server.identity).collect();
        self.memberships
            .retain(|identity, _| cold.contains(identity));
    }
}

/// Returns whether the warm-up limit allows this node to send `server` a request now.
pub fn admits(node: &Node, view: &View, server: &Server, now: Instant) -> bool {
    if !server.is_cold(now) {
        return true;
    }
    let Some(limit) = limit(node, view, server) else {
        return true;
    };
    let mut warming = node.warming.borrow_mut();
    if now < warming.ready_at {
        return false;
    }
    let cached = warming.memberships.get(&server.identity).copied();
    let cached = cached.filter(|cached| now < cached.until);
    let membership = cached.unwrap_or_else(|| {
        let pacer = warming
            .memberships
            .get(&server.identity)
            .map(|cached| cached.pacer);
        let membership = Membership {
            is_sender: is_sender(node, view, server, limit),
            until: now.plus_millis(MEMBERSHIP_TTL_MS),
            pacer: pacer.unwrap_or_default(),
        };
        warming.memberships.insert(server.identity, membership);
        membership
    });
    membership.is_sender && membership.pacer.is_due(now)
}

/// Records that a request is sent to `server` now.
pub fn record_request(node: &Node, view: &View, server: &Server, now: Instant) {
    if !server.is_cold(now) {
        return;
    }
    let Some(limit) = limit(node, view, server) else {
        return;
    };
    let spacing_ms = limit.spacing_ms(view.node_count());
    if let Some(membership) = node
        .warming
        .borrow_mut()
        .memberships
        .get_mut(&server.identity)
    {
        membership.pacer.record_send(now, spacing_ms);
    }
    let service = &*server.entry.service;
    node.metrics
        .cold_requests
        .with_label_values(&[service])
        .inc();
}

/// Returns whether this node is a sender for the server.
fn is_sender(node: &Node, view: &View, server: &Server, limit: Limit) -> bool {
    let settings = node.settings.borrow();
    let names = view.nodes.keys().map(String::as_str);
    let senders = limit.senders(view.node_count());
    warmup::is_sender(&settings.instance, names, server.identity, senders)
}

/// Returns the limit of the server while it is cold; `None` if its service states none.
fn limit(node: &Node, view: &View, server: &Server) -> Option<Limit> {
    let catalog = view.catalog.as_ref()?;
    let warmup = catalog.services.get(&server.entry.service)?.warmup?;
    let excess = node.settings.borrow().warmup;
    Some(Limit::new(warmup.per_second, excess.overage, excess.slack))
}
