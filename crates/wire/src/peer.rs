//! Messages between instances, carried by JSON-RPC.

use fescuerack_core::{cascade, poison, rollout, session};
use serde::{Deserialize, Serialize};

/// Version of the protocol between instances.
pub const PROTOCOL: u32 = 1;

/// What one instance tells a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Version of the protocol.
    pub protocol: u32,
    /// Sender.
    pub instance: String,
    /// Revision of the configuration in force at the sender.
    pub revision: u64,
    /// Roll-outs: halts, steps and counts.
    #[serde(default)]
    pub rollouts: rollout::Digest,
    /// Ratings.
    #[serde(default)]
    pub quality: cascade::Digest,
    /// Sessions that the hash alone would move.
    #[serde(default)]
    pub sessions: session::Digest,
    /// Requests that crashed servers.
    #[serde(default)]
    pub suspects: poison::Digest,
}
