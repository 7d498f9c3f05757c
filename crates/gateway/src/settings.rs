//! Settings of one node.

use std::collections::HashMap;
use std::net::SocketAddr;

use fescuerack_core::routed::budget::Bound;

/// Where and within which bounds a node runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance.
    pub instance: String,
    /// Availability zone.
    pub zone: String,
    /// What the instance's link carries, in megabits a second; zero if that is not known.
    pub link_mbps: u32,
    /// Region by availability zone.
    pub regions: HashMap<String, String>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address that answers whether the node takes callers.
    pub readiness: SocketAddr,
    /// Path that is asked on the readiness address.
    pub readiness_path: String,
    /// Address for other nodes.
    pub peers: SocketAddr,
    /// Address that serves metrics, if any.
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Shortest lease in milliseconds that the store grants.
    pub lease_ms: u64,
    /// Milliseconds that a stopped process has until it is killed.
    pub grace_ms: u64,
    /// Further attempts of all nodes together.
    pub retries: Bound,
    /// Milliseconds within which the next request of a session comes.
    pub session_ms: u64,
    /// Part of a service's requests that a new version on trial may get.
    pub exposure: f64,
    /// How far the rate that a service states for its cold servers may be exceeded.
    pub warmup: Excess,
}

/// How far a rate may be exceeded before it counts as broken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Excess {
    /// Factor on the rate.
    pub overage: f64,
    /// Requests beyond that.
    pub slack: f64,
}
