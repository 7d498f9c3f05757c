//! The source from which a node receives changes; see [`watcher`].

use std::collections::HashMap;
use std::net::SocketAddr;

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::watcher::{self, Role};

use crate::clock::now;
use crate::node::Node;

/// Milliseconds for which a node that failed is asked last. This is a quarter of the 16 s for
/// which the entry of a node without power remains, so such a node delays four requests at most.
const AVOIDANCE_MS: u64 = 4_000;

/// Milliseconds after a start for which the parent is polled before the store: by then all nodes of
/// the fleet have started.
const PARENT_MS: u64 = 10_000;

/// Source of changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store, for this node alone.
    Store,
    /// The store, as a watcher that other nodes poll.
    StoreAsWatcher,
    /// Other nodes.
    Peers(Peers),
}

/// Other nodes that a node polls, by name and address.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Peers {
    /// Watchers or hubs, in the order in which they are polled.
    pub hubs: Vec<(String, SocketAddr)>,
    /// Nodes that are polled when no hub is fresh; empty for a node that watches the store then.
    pub deputies: Vec<(String, SocketAddr)>,
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
        Role::Follower { hubs, deputies } => {
            let addresses = |names: Vec<&str>| {
                let names = names.into_iter();
                let peers = names.map(|name| (name.to_owned(), view.nodes[name].address));
                peers.collect()
            };
            Source::Peers(Peers {
                hubs: addresses(hubs),
                deputies: addresses(deputies),
            })
        }
    }
}

/// The node that gave this one its first state.
///
/// While a fleet starts, a node knows few of the others, and the watchers that it derives from them
/// may not have a state yet. If all nodes watched the store until then, each entry of a node that
/// registers would end the calls of all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Parent {
    /// Address on which it listens for its peers.
    pub address: SocketAddr,
    /// Until when it is polled before the store.
    pub until: Instant,
}

impl Parent {
    /// Creates the parent at `address` of a node that starts at `now`.
    #[must_use]
    pub const fn new(now: Instant, address: SocketAddr) -> Self {
        Self {
            address,
            until: now.plus_millis(PARENT_MS),
        }
    }
}

/// Nodes that recently failed: watchers without fresh updates, or nodes that did not answer.
///
/// The entry of a node that does not answer remains until its lease expires. If it were asked first
/// each time, every change would be most of a second late until then.
#[derive(Debug, Default)]
pub struct FailedNodes(HashMap<SocketAddr, Instant>);

impl FailedNodes {
    /// Records that the node at `address` failed.
    pub fn record(&mut self, address: SocketAddr) {
        self.0.retain(|_, until| now() < *until);
        self.0.insert(address, now().plus_millis(AVOIDANCE_MS));
    }

    /// Whether the node at `address` recently failed.
    #[must_use]
    pub fn contains(&self, address: SocketAddr) -> bool {
        self.0.get(&address).is_some_and(|until| now() < *until)
    }

    /// Returns the nodes in the order in which they are polled: those that recently failed are last.
    #[must_use]
    pub fn ordered(&self, nodes: &[(String, SocketAddr)]) -> Vec<(String, SocketAddr)> {
        let mut nodes = nodes.to_vec();
        nodes.sort_by_key(|(_, address)| self.contains(*address));
        nodes
    }
}
