//! Settings of one node.

use std::collections::HashMap;
use std::net::SocketAddr;

use fescuerack_core::gateway::budget::Bound;

/// Addresses and limits of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance.
    pub instance: String,
    /// Availability zone.
    pub zone: String,
    /// Bandwidth of the instance's link in megabits a second; zero if unknown.
    pub link_mbps: u32,
    /// Memory of the instance in bytes; zero if unknown.
    pub memory_bytes: usize,
    /// Descriptors that the process may open; zero if unknown.
    pub descriptors: usize,
    /// Region by availability zone.
    pub regions: HashMap<String, String>,
    /// Address on which the node listens for callers.
    pub callers: SocketAddr,
    /// Address of the readiness check, which reports whether the node accepts callers.
    pub readiness: SocketAddr,
    /// Path of the readiness check.
    pub readiness_path: String,
    /// Address on which the node listens for its peers.
    pub peers: SocketAddr,
    /// Address that serves metrics, if any.
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Shortest time to live of a lease that the store grants, in milliseconds.
    pub lease_ms: u64,
    /// Milliseconds from the stop signal until the process is killed.
    pub grace_ms: u64,
    /// Limit on the retries of all nodes together.
    pub retries: Bound,
    /// Maximum number of milliseconds between two requests of a session.
    pub session_ms: u64,
    /// Share of a service's requests that a canary version may get.
    pub exposure: f64,
    /// How far the rate that a service allows for its cold servers may be exceeded.
    pub warmup: Excess,
}

/// How far a rate may be exceeded before it counts as violated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Excess {
    /// Factor by which the rate may be exceeded.
    pub overage: f64,
    /// Number of requests beyond that.
    pub slack: f64,
}
