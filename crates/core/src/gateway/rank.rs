//! Ranking of nodes for the duties that a few nodes have for the others.
//!
//! For such a duty one node sends the same data to twenty others, and nodes differ: links of 10 and
//! of 200 Mbit/s, 0.12 and 0.5 cores. If a hash alone selected them, most duties would fall on the
//! smallest nodes, since these are the most numerous: their links saturate, and all data that they
//! send is late. A node with a larger link therefore ranks first, and the hash decides among
//! equals. Nodes with the same list of nodes agree.

use super::affinity;

/// A node as it has registered itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Instance<'a> {
    /// Name of the instance.
    pub name: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// Bandwidth of its link in megabits a second; zero if it is not given.
    pub link_mbps: u32,
}

/// Rank of a node; the highest is selected first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    link_mbps: u32,
    hash: u64,
}

impl Instance<'_> {
    /// Returns the rank of the node for the duty that `salt` identifies. Among equal links,
    /// the hash spreads the duties over the nodes.
    #[must_use]
    pub fn rank(&self, salt: u64) -> Rank {
        Rank {
            link_mbps: self.link_mbps,
            hash: affinity::mix(affinity::hash(self.name.as_bytes()) ^ salt),
        }
    }
}
