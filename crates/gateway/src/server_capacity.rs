//! What a backend server may get from this node now: all limits of one server in one place.
//!
//! | limit | source | kept by |
//! | --- | --- | --- |
//! | rest | a refusal to this node | this node, until the rest ends ([`server_rest`]) |
//! | warm-up | its entry | few senders, each at intervals ([`server_limit`](crate::server_limit)) |
//! | stated rate | its answers to any node | the same senders |
//! | brittle | its answers to any node | its owner, one request a slot ([`server_brittle`](crate::server_brittle)) |
//!
//! The strictest counts. The page on limits of servers in `docs/design` says how they work together.

use fescuerack_core::clock::Instant;

use crate::node::Node;
use crate::server::Server;
use crate::server_rest;
use crate::view::View;

/// Why a server may get no request from this node now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withheld {
    /// It has asked this node for rest until the given time.
    Resting(Instant),
    /// It is cold, and its limit does not allow this node a request now.
    Cold,
    /// It has stated a limit, which does not allow this node a request now.
    Limited,
    /// It is brittle, and this node does not own it, or all its slots are taken.
    NoPlace,
}

/// Returns why `server` may get no request from this node now; `None` if it may.
#[must_use]
pub fn withheld(node: &Node, view: &View, server: &Server, now: Instant) -> Option<Withheld> {
    if let Some(end) = server_rest::end(node, server, now) {
        return Some(Withheld::Resting(end));
    }
    if !node.brittle.has_place(view, server, now) {
        return Some(Withheld::NoPlace);
    }
    let excess = node.settings.borrow().warmup;
    if node.limits.admits(view, server, excess, now) {
        return None;
    }
    Some(if server.is_cold(now) {
        Withheld::Cold
    } else {
        Withheld::Limited
    })
}
