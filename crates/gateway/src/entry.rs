//! The entries in the store by which nodes discover each other.

use std::net::SocketAddr;

/// Prefix of the keys of the entries.
pub const NODES: &str = "fescuerack/node/";

/// The entry of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Address on which the node listens for its peers.
    pub address: SocketAddr,
    /// Availability zone of the node.
    pub zone: String,
    /// Bandwidth of its link in megabits a second; zero if unknown.
    pub link_mbps: u32,
}

impl Peer {
    /// Returns the entry's value in the store.
    #[must_use]
    pub fn value(&self) -> String {
        format!("{} {} {}", self.address, self.zone, self.link_mbps)
    }

    /// Parses the value of an entry; `None` if it is malformed.
    #[must_use]
    pub fn new(value: &str) -> Option<Self> {
        let mut words = value.split(' ');
        Some(Self {
            address: words.next()?.parse().ok()?,
            zone: words.next()?.to_owned(),
            // Earlier versions do not write the bandwidth.
            link_mbps: words.next().map_or(Some(0), |link| link.parse().ok())?,
        })
    }
}
