//! Which nodes watch the store for the others.
//!
//! The pattern: each change wakes the waiting call of every node, and each call is paid for, so that
//! calls grow with the product of nodes and changes. So in a region with large
//! availability zones, those of more than [`FEW`] nodes, [`WATCHERS`] nodes watch the store.
//! [`WATCHERS`] nodes of each such zone, its hubs, ask these, and the others ask the hubs of their
//! zone, which costs bytes within the zone only.
//!
//! A watcher may be cut off from the store without knowing it yet. So it watches in
//! short waits and says how long ago the store last answered it, and so do hubs; a node that hears
//! more than [`FRESH_MS`] asks the next one, and then the store itself.

use std::cmp::Reverse;
use std::collections::HashMap;

use super::affinity;
use super::rank::Instance;

/// Nodes of an availability zone that each watch for themselves.
pub const FEW: usize = 4;
/// Nodes that watch for the others: a second covers the loss of the first.
pub const WATCHERS: usize = 2;
/// Milliseconds that a watcher's own call waits at the store.
pub const WAIT_MS: u64 = 400;
/// Milliseconds for which changes gather at a watcher before its next call. Servers' entries
/// change several times a second in a large fleet and each change ends a call.
pub const GATHER_MS: u64 = 400;
/// Milliseconds for which a node watches for itself after no watcher was fresh. When the
/// store tells its watchers nothing for a second, every node does so at once.
pub const OWN_MS: u64 = 1_000;
/// Milliseconds that a node's question waits at a watcher.
pub const ASK_MS: u64 = 400;
/// Milliseconds since the store's last answer up to which a watcher or a hub is believed: the
/// watcher's wait, the hub's question, and 0.4 s for a store that is slow. With the question's own
/// wait a node knows within 1.7 s that it must ask elsewhere.
pub const FRESH_MS: u64 = 1_200;

/// How a node hears of changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role<'a> {
    /// It watches the store for itself: its availability zone has few nodes.
    Alone,
    /// It watches the store for its region.
    Watcher,
    /// It asks these, in this order.
    Follower(Vec<&'a str>),
}

/// Returns how `own` hears of changes, a node of `zone`; `is_near` tells which zones are in its
/// region. All nodes that know the same others agree.
#[must_use]
pub fn role<'a>(
    own: &str,
    zone: &str,
    members: &[Instance<'a>],
    is_near: impl Fn(&str) -> bool,
) -> Role<'a> {
    let hubs = choose(zone, members.iter().copied());
    if hubs.is_empty() {
        return Role::Alone;
    }
    // A watcher is the first of its zone too.
    if !hubs.contains(&own) {
        return Role::Follower(hubs);
    }
    let mut sizes: HashMap<&str, usize> = HashMap::new();
    for member in members {
        *sizes.entry(member.zone).or_default() += 1;
    }
    let region = members
        .iter()
        .filter(|member| is_near(member.zone) && sizes[member.zone] > FEW);
    let watchers = first(region.copied().collect());
    if watchers.contains(&own) {
        Role::Watcher
    } else {
        Role::Follower(watchers)
    }
}

/// Returns the hubs of `zone`, in the order in which they are asked; empty where each node watches
/// for itself.
#[must_use]
pub fn choose<'a>(zone: &str, nodes: impl Iterator<Item = Instance<'a>>) -> Vec<&'a str> {
    let members: Vec<Instance> = nodes.filter(|member| member.zone == zone).collect();
    if members.len() <= FEW {
        return Vec::new();
    }
    first(members)
}

/// The first of `members` in the order of links; in a region they are the first of their zone too.
fn first(mut members: Vec<Instance<'_>>) -> Vec<&str> {
    let salt = affinity::hash(b"watcher");
    members.sort_by_cached_key(|member| Reverse(member.rank(salt)));
    members.truncate(WATCHERS);
    members.into_iter().map(|member| member.name).collect()
}
