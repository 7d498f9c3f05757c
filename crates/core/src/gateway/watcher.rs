//! Selection of the nodes that watch the store for the others.
//!
//! Each change ends the pending watch call of every node that watches the store, and each call
//! costs money, so without a selection the number of calls grows with the product of nodes and
//! changes. In a region with large availability zones, those of more than [`MAX_DIRECT_NODES`]
//! nodes, only [`WATCHER_COUNT`] nodes watch the store. [`WATCHER_COUNT`] nodes of each such zone,
//! its hubs, poll the watchers, and the other nodes poll the hubs of their zone, which costs bytes
//! within the zone only.
//!
//! A watcher may be cut off from the store before it detects this. It therefore watches in short
//! calls and reports how long ago the store last answered it, and so do hubs. A node that receives
//! an age above [`MAX_AGE_MS`] polls the next watcher or hub.
//!
//! When the hubs of a zone are stale, because they are gone or the store refuses them, the nodes of
//! the next ranks, its deputies, watch the store and the others poll these. So the number of nodes
//! that call the store does not grow with the fleet then either. Only if all deputies are stale too
//! does a node call the store itself, and all nodes together make a bounded number of these calls.

use std::cmp::Reverse;
use std::collections::HashMap;

use super::affinity;
use super::rank::Instance;

/// Number of nodes up to which every node of an availability zone watches the store itself.
pub const MAX_DIRECT_NODES: usize = 4;
/// Number of watchers of a region, and of hubs of a zone: the second covers the loss of the first.
pub const WATCHER_COUNT: usize = 2;
/// Number of deputies of a zone: with the hubs, they cover a store that refuses a third of the nodes
/// but for one case in seven hundred.
pub const DEPUTY_COUNT: usize = 4;
/// Milliseconds between two calls to the store by nodes that have found neither a hub nor a deputy
/// fresh, for all nodes of the fleet together: a sixth of the calls that the smallest store allows.
const PROBE_SPACING_MS: u64 = 3;
/// Milliseconds that a watcher's call waits at the store.
pub const STORE_WAIT_MS: u64 = 400;
/// Milliseconds for which changes accumulate before a watcher's next call. In a large fleet,
/// entries of servers change several times a second, and each change ends a call.
pub const BATCH_MS: u64 = 400;
/// Milliseconds for which a node watches the store itself after no watcher was fresh. When the
/// store sends its watchers nothing for a second, all nodes do so at the same time.
pub const DIRECT_WATCH_MS: u64 = 1_000;
/// Milliseconds that a node's poll waits at a watcher or hub.
pub const PEER_WAIT_MS: u64 = 400;
/// Maximum age in milliseconds of the store's last answer at which a watcher or hub counts as
/// fresh: the watcher's call, the hub's poll, and 0.4 s for a slow store. Including the wait of its
/// own poll, a node detects within 1.7 s that it must poll elsewhere.
pub const MAX_AGE_MS: u64 = 1_200;

/// How a node receives changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role<'a> {
    /// It watches the store for itself only: its availability zone has few nodes.
    Direct,
    /// It watches the store for its region.
    Watcher,
    /// It polls the watchers or hubs, in this order, and then the deputies. A hub or deputy has no
    /// deputies; it watches the store itself then.
    Follower {
        /// Watchers of the region, or hubs of the zone.
        hubs: Vec<&'a str>,
        /// Deputies of the zone.
        deputies: Vec<&'a str>,
    },
}

/// Returns how the node `local` of `zone` receives changes.
///
/// `is_in_region` decides which zones are in its region. Nodes with the same list of nodes agree.
#[must_use]
pub fn role<'a>(
    local: &str,
    zone: &str,
    members: &[Instance<'a>],
    is_in_region: impl Fn(&str) -> bool,
) -> Role<'a> {
    let mut hubs = ranked(zone, members.iter().copied());
    if hubs.is_empty() {
        return Role::Direct;
    }
    let deputies = hubs.split_off(WATCHER_COUNT.min(hubs.len()));
    // A watcher is also a hub of its zone.
    if !hubs.contains(&local) {
        let deputies = if deputies.contains(&local) {
            Vec::new()
        } else {
            deputies
        };
        return Role::Follower { hubs, deputies };
    }
    let mut sizes: HashMap<&str, usize> = HashMap::new();
    for member in members {
        *sizes.entry(member.zone).or_default() += 1;
    }
    let region = members
        .iter()
        .filter(|member| is_in_region(member.zone) && sizes[member.zone] > MAX_DIRECT_NODES);
    let watchers = highest_ranked(region.copied().collect(), WATCHER_COUNT);
    if watchers.contains(&local) {
        Role::Watcher
    } else {
        Role::Follower {
            hubs: watchers,
            deputies: Vec::new(),
        }
    }
}

/// Returns the milliseconds between two calls to the store by a node of a fleet of `nodes` nodes that
/// has found neither a hub nor a deputy fresh.
#[must_use]
pub fn probe_interval_ms(nodes: usize) -> u64 {
    u64::try_from(nodes)
        .unwrap_or(u64::MAX)
        .saturating_mul(PROBE_SPACING_MS)
}

/// Returns the hubs of `zone`, in the order in which they are polled; empty where each node watches
/// the store itself.
#[must_use]
pub fn hubs<'a>(zone: &str, nodes: impl Iterator<Item = Instance<'a>>) -> Vec<&'a str> {
    let mut hubs = ranked(zone, nodes);
    hubs.truncate(WATCHER_COUNT);
    hubs
}

/// Returns the hubs of `zone`, followed by its deputies; empty where each node watches the store
/// itself.
fn ranked<'a>(zone: &str, nodes: impl Iterator<Item = Instance<'a>>) -> Vec<&'a str> {
    let members: Vec<Instance> = nodes.filter(|member| member.zone == zone).collect();
    if members.len() <= MAX_DIRECT_NODES {
        return Vec::new();
    }
    highest_ranked(members, WATCHER_COUNT + DEPUTY_COUNT)
}

/// Returns the `count` members with the highest rank. Those of a region are also the highest of
/// their zone.
fn highest_ranked(mut members: Vec<Instance<'_>>, count: usize) -> Vec<&str> {
    let salt = affinity::hash(b"watcher");
    members.sort_by_cached_key(|member| Reverse(member.rank(salt)));
    members.truncate(count);
    members.into_iter().map(|member| member.name).collect()
}
