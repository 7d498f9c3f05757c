//! Where a node hears of changes; see [`watcher`].

use std::collections::HashMap;
use std::net::SocketAddr;

use fescuerack_core::clock::Instant;
use fescuerack_core::routed::watcher::{self, Role};

use crate::clock::now;
use crate::node::Node;

/// Milliseconds for which a watcher that had no fresh news is asked last: a quarter of the 16 s for
/// which the entry of a node without power stays, so it costs four late questions at most.
const AVOID_MS: u64 = 4_000;

/// Where a node hears of changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store, for this node alone.
    Store,
    /// The store, for others as well.
    StoreForOthers,
    /// Other nodes, by name and address, in this order.
    Others(Vec<(String, SocketAddr)>),
}

/// Where this node hears of changes.
pub fn source(node: &Node) -> Source {
    let view = node.view.borrow();
    let settings = node.settings.borrow();
    let members: Vec<_> = view.instances().collect();
    let region = settings.regions.get(&settings.zone);
    let is_near = |zone: &str| settings.regions.get(zone) == region;
    match watcher::role(&settings.instance, &settings.zone, &members, is_near) {
        Role::Direct => Source::Store,
        Role::Watcher => Source::StoreForOthers,
        Role::Follower(names) => {
            let others = names.into_iter();
            let others = others.map(|name| (name.to_owned(), view.nodes[name].address));
            Source::Others(others.collect())
        }
    }
}

/// Watchers that had no fresh news lately. The entry of one that is silent stays until its lease
/// lapses; asked first each time, it makes every change most of a second late until then.
#[derive(Debug, Default)]
pub struct Failed(HashMap<SocketAddr, Instant>);

impl Failed {
    /// Notes that the watcher at `address` had no fresh news.
    pub fn note(&mut self, address: SocketAddr) {
        self.0.insert(address, now().plus_millis(AVOID_MS));
    }

    /// The order in which to ask: those that failed lately come last.
    #[must_use]
    pub fn ordered(&mut self, watchers: &[(String, SocketAddr)]) -> Vec<(String, SocketAddr)> {
        self.0.retain(|_, until| now() < *until);
        let mut watchers = watchers.to_vec();
        watchers.sort_by_key(|(_, address)| self.0.contains_key(address));
        watchers
    }
}
