//! Which entries of a long list the next message to a peer names.
//!
//! Messages between nodes are bounded, so entries take turns. Each peer has its own turn: if all had
//! one, and a hub answered its members in the same order each time, each member could get the same
//! entries again and again and never hear of the others.

use std::collections::HashMap;

use crate::gateway::affinity;

/// Maximum number of peers that have a turn of their own: the members of a group and the hubs. With
/// more, all begin anew.
const MAX_PEERS: usize = 128;

/// The key of the entry that each peer was told last.
#[derive(Clone, Debug, Default)]
pub struct Turns {
    told: HashMap<u64, u64>,
}

impl Turns {
    /// Sorts `entries` by their keys, beginning behind the one that `peer` was told last.
    pub fn sort<T>(&self, peer: &str, entries: &mut [T], key: impl Fn(&T) -> u64) {
        entries.sort_unstable_by_key(&key);
        let peer = affinity::hash(peer.as_bytes());
        if let Some(&told) = self.told.get(&peer) {
            let first = entries.partition_point(|entry| key(entry) <= told);
            entries.rotate_left(first);
        }
    }

    /// Records the key of the entry that `peer` is told last.
    pub fn record(&mut self, peer: &str, key: u64) {
        let peer = affinity::hash(peer.as_bytes());
        if self.told.len() >= MAX_PEERS && !self.told.contains_key(&peer) {
            self.told.clear();
        }
        self.told.insert(peer, key);
    }
}
