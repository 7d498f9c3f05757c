//! The entries in the store by which nodes discover each other.
//!
//! Each node has an entry under [`NODES`]. Under [`PROVIDERS`] are the records of the nodes that read
//! the store for the others at a start; see [`bootstrap`](fescuerack_core::gateway::bootstrap).

use std::net::SocketAddr;

/// Prefix of the keys of the entries.
pub const NODES: &str = "fescuerack/node/";

/// Prefix of the keys of the records of providers. The availability zone and the number of the
/// record follow.
pub const PROVIDERS: &str = "fescuerack/provider/";

/// The entry of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Address on which the node listens for its peers.
    pub address: SocketAddr,
    /// Availability zone of the node.
    pub zone: String,
    /// Bandwidth of its link in megabits a second; zero if unknown.
    pub link_mbps: u32,
    /// Lease of the entry. A process that restarts goes on with it.
    pub lease: Option<u64>,
}

impl Peer {
    /// Returns the entry's value in the store.
    #[must_use]
    pub fn value(&self) -> String {
        let Self {
            address,
            zone,
            link_mbps,
            lease,
        } = self;
        match lease {
            Some(lease) => format!("{address} {zone} {link_mbps} {lease}"),
            None => format!("{address} {zone} {link_mbps}"),
        }
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
            lease: words.next().and_then(|lease| lease.parse().ok()),
        })
    }
}
