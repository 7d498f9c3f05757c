//! Message of an exchange. Its encoded field names are short because every
//! instance sends messages every second.
//!
//! A slice is a named part of the soft state. A message carries hashes, shared
//! states and digests by the name of the slice.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::State;
use crate::clock::Instant;

/// Version of the protocol that this process sends.
///
/// A later release may add fields and slices, which earlier ones ignore, at the
/// same version. The version rises only for other changes.
pub const PROTOCOL_VERSION: u32 = 1;
/// Oldest version of the protocol that this process accepts.
pub const OLDEST_PROTOCOL: u32 = 1;

/// One message of an exchange between two instances: the request or its answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Version of the protocol.
    #[serde(rename = "v")]
    pub protocol: u32,
    /// Name of the fleet; a message of another fleet is refused.
    #[serde(rename = "f")]
    pub fleet: String,
    /// Name of the sender.
    #[serde(rename = "o")]
    pub origin: String,
    /// Availability zone of the sender.
    #[serde(rename = "z")]
    pub zone: String,
    /// Address on which the sender accepts messages of peers.
    #[serde(rename = "a")]
    pub address: String,
    /// Incarnation of the sender: a later start of its process has a higher
    /// number.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Position among the messages of that incarnation.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// In an answer, the sender and the sequence number of the request.
    #[serde(rename = "re", default, skip_serializing_if = "Option::is_none")]
    pub answers: Option<(String, u64)>,
    /// Wall-clock time of the sender when it sent the message.
    #[serde(rename = "t")]
    pub sent: Instant,
    /// Whether the sender accepts work.
    #[serde(rename = "s")]
    pub state: State,
    /// Revision of the sender's active configuration.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Hash of the shared state of each slice.
    #[serde(rename = "h", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub hashes: BTreeMap<String, u64>,
    /// Shared state of the slices that changed or differ.
    #[serde(rename = "d", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub states: BTreeMap<String, Value>,
    /// Digest of each slice: what the sender reports of itself or relays.
    #[serde(rename = "p", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub digests: BTreeMap<String, Value>,
}
