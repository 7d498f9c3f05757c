//! Messages between instances, carried by JSON-RPC.

use serde::{Deserialize, Serialize};

/// Version of the protocol between instances.
pub const PROTOCOL: u32 = 1;

/// What one instance tells a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Version of the protocol.
    pub protocol: u32,
    /// Sender.
    pub instance: String,
    /// Revision of the configuration in force at the sender.
    pub revision: u64,
}
