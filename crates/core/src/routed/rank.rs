//! Which nodes do something for the others.
//!
//! The pattern: one node tells twenty others the same, and nodes are unlike: links of 10 and of
//! 200 Mbit/s, cores of 0.12 and 0.5. Chosen by hash alone, the work falls on the
//! smallest ones, since they are the most: their links fill, and all that they tell is late. So
//! the node with the larger link goes first, and the hash decides among equals. All nodes that
//! know the same others agree.

use super::affinity;

/// A node as it has entered itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Instance<'a> {
    /// Name of the instance.
    pub name: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// What its link carries, in megabits a second; zero if it does not say.
    pub link_mbps: u32,
}

/// Place in the order; the highest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    link_mbps: u32,
    hash: u64,
}

impl Instance<'_> {
    /// Returns the member's place for a duty, which `salt` tells from others: among equals each
    /// duty falls on another node.
    #[must_use]
    pub fn rank(&self, salt: u64) -> Rank {
        Rank {
            link_mbps: self.link_mbps,
            hash: affinity::mix(affinity::hash(self.name.as_bytes()) ^ salt),
        }
    }
}
