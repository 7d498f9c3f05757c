//! The source from which a node receives changes; see [`watcher`].

use std::collections::HashMap;
use std::net::SocketAddr;

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::watcher::{self, Role};

use crate::clock::now;
use crate::node::Node;

/// Milliseconds for which a watcher that failed is polled last. This is a quarter of the 16 s for
/// which the entry of a node without power remains, so such a node delays four polls at most.
const AVOIDANCE_MS: u64 = 4_000;

/// Source of changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store, for this node alone.
    Store,
    /// The store, as a watcher that other nodes poll.
    StoreAsWatcher,
    /// Other nodes, by name and address, in this order.
    Peers(Vec<(String, SocketAddr)>),
}

/// Returns the source of changes of this node, given its current list of nodes.
pub fn current(node: &Node) -> Source {
    let view = node.view.borrow();
    let settings = node.settings.borrow();
    let members: Vec<_> = view.instances().collect();
    let region = settings.regions.get(&settings.zone);
    let is_in_region = |zone: &str| settings.regions.get(zone) == region;
    match watcher::role(&settings.instance, &settings.zone, &members, is_in_region) {
        Role::Direct => Source::Store,
        Role::Watcher => Source::StoreAsWatcher,
        Role::Follower(names) => {
            let peers = names.into_iter();
            let peers = peers.map(|name| (name.to_owned(), view.nodes[name].address));
            Source::Peers(peers.collect())
        }
    }
}

/// Watchers that recently had no fresh updates.
///
/// The entry of a watcher that does not answer remains until its lease expires. If it were polled
/// first each time, every change would be most of a second late until then.
#[derive(Debug, Default)]
pub struct FailedWatchers(HashMap<SocketAddr, Instant>);

impl FailedWatchers {
    /// Records that the watcher at `address` had no fresh updates.
    pub fn record(&mut self, address: SocketAddr) {
        self.0.insert(address, now().plus_millis(AVOIDANCE_MS));
    }

    /// Returns the watchers in the order in which they are polled: those that recently failed are
    /// last.
    #[must_use]
    pub fn ordered(&mut self, watchers: &[(String, SocketAddr)]) -> Vec<(String, SocketAddr)> {
        self.0.retain(|_, until| now() < *until);
        let mut watchers = watchers.to_vec();
        watchers.sort_by_key(|(_, address)| self.0.contains_key(address));
        watchers
    }
}
