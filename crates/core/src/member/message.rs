//! The message of an exchange. Field names are short because a message is
//! sent every second for as long as the fleet lives.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::State;
use crate::clock::Instant;

/// Version of the protocol that this process speaks.
///
/// A later version may add fields and slices, which earlier ones pass over. It rises only when that does not suffice.
pub const PROTOCOL: u32 = 1;
/// Oldest version of the protocol that this process still understands.
pub const OLDEST_PROTOCOL: u32 = 1;

/// One direction of an exchange between two instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Version of the protocol.
    #[serde(rename = "v")]
    pub protocol: u32,
    /// Name of the fleet; a message of another fleet is refused.
    #[serde(rename = "f")]
    pub fleet: String,
    /// Sender.
    #[serde(rename = "o")]
    pub origin: String,
    /// Availability zone of the sender.
    #[serde(rename = "z")]
    pub zone: String,
    /// Address of the sender's port for peers.
    #[serde(rename = "a")]
    pub address: String,
    /// Start of the sender's process; a later start has a higher number.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Position among the messages of that start.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// In an answer, the request that it answers: its sender and position.
    #[serde(rename = "re", default, skip_serializing_if = "Option::is_none")]
    pub answers: Option<(String, u64)>,
    /// Wall-clock time of the sender.
    #[serde(rename = "t")]
    pub sent: Instant,
    /// Whether the sender takes part.
    #[serde(rename = "s")]
    pub state: State,
    /// Revision of the configuration in force at the sender.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Hash of the shared state of each slice.
    #[serde(rename = "h", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub hashes: BTreeMap<String, u64>,
    /// Shared state of slices that changed or differ.
    #[serde(rename = "d", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub states: BTreeMap<String, Value>,
    /// Digests of slices: what the sender tells of itself or passes on.
    #[serde(rename = "p", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub digests: BTreeMap<String, Value>,
}
