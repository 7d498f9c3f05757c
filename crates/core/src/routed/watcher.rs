//! Which nodes watch the store for the others.
//!
//! The pattern: each change wakes the waiting call of every node, and each call is
//! paid for; with 91 nodes the calls cost a tenth of what the whole day is worth. So in
//! an availability zone with more than [`FEW`] nodes, [`WATCHERS`] of them watch and the
//! others ask these, which costs bytes within the zone only.
//!
//! A watcher may be cut off from the store without knowing it yet. So it watches in
//! short waits and says how long ago the store last answered it; a node that hears more
//! than [`FRESH_MS`] asks the other watcher, and then the store itself.

use std::cmp::Reverse;

use super::home;
use super::rank::Member;

/// Nodes of an availability zone that each watch for themselves.
pub const FEW: usize = 4;
/// Nodes that watch for the others: a second covers the loss of the first.
pub const WATCHERS: usize = 2;
/// Milliseconds that a watcher's own call waits at the store.
pub const WAIT_MS: u64 = 600;
/// Milliseconds for which changes gather at a watcher before its next call. Servers' entries
/// change several times a second in a large fleet and each change ends a call;
/// with 250 the watchers alone made 1,400 calls in 44 s.
pub const GATHER_MS: u64 = 400;
/// Milliseconds for which a node watches for itself after no watcher was fresh. When the
/// store tells its watchers nothing for a second, every node does so at once.
pub const OWN_MS: u64 = 1_000;
/// Milliseconds that a node's question waits at a watcher.
pub const ASK_MS: u64 = 400;
/// Milliseconds since the store's last answer up to which a watcher is believed: its
/// wait, and a store that is slow. With the question's own wait a node knows within
/// 1.5 s that it must ask elsewhere.
pub const FRESH_MS: u64 = 1_000;

/// Returns the nodes that watch for `zone`, in the order in which they are asked;
/// empty where each node watches for itself. All nodes that know the same others agree.
#[must_use]
pub fn choose<'a>(zone: &str, nodes: impl Iterator<Item = Member<'a>>) -> Vec<&'a str> {
    let mut members: Vec<Member> = nodes.filter(|member| member.zone == zone).collect();
    if members.len() <= FEW {
        return Vec::new();
    }
    let salt = home::hash(b"watcher");
    members.sort_by_key(|member| Reverse(member.rank(salt)));
    members.truncate(WATCHERS);
    members.into_iter().map(|member| member.name).collect()
}
