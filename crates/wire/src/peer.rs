//! Messages between instances, carried by JSON-RPC.

use fescuerack_core::admission::rate;
use fescuerack_core::attempt::pools;
use fescuerack_core::route::word;
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
    /// Shares of organisations' limits.
    #[serde(default)]
    pub rates: rate::Digest,
    /// Pools that fail.
    #[serde(default)]
    pub pools: pools::Digest,
    /// Servers that leave.
    #[serde(default)]
    pub words: word::Digest,
}
