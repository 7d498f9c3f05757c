//! The entry in the store by which nodes find each other.

use std::net::SocketAddr;

/// Prefix of the keys under which nodes enter themselves.
pub const NODES: &str = "fescuerack/node/";

/// Another node's entry, or this node's own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Where it listens for nodes.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// What its link carries, in megabits a second; zero if it does not say.
    pub link_mbps: u32,
}

impl Peer {
    /// Returns the entry's value in the store.
    #[must_use]
    pub fn value(&self) -> String {
        format!("{} {} {}", self.address, self.zone, self.link_mbps)
    }

    /// Reads the value of an entry; `None` if it is none.
    #[must_use]
    pub fn new(value: &str) -> Option<Self> {
        let mut words = value.split(' ');
        Some(Self {
            address: words.next()?.parse().ok()?,
            zone: words.next()?.to_owned(),
            // A program from before does not say.
            link_mbps: words.next().map_or(Some(0), |link| link.parse().ok())?,
        })
    }
}
