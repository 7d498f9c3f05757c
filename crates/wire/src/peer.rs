//! Messages between instances of the router, sent by JSON-RPC.
//!
//! Every message carries a seal: an HMAC-SHA-256 of its exact text, under a key that all instances
//! share. Without it, any process could report to an instance that a peer is leaving or
//! that a roll-out was halted. Messages are authenticated but not encrypted. Replayed messages are
//! refused by [`fescuerack_core::member::ReplayWindow`].

use std::collections::BTreeMap;

use fescuerack_core::admission::rate;
use fescuerack_core::attempt::pools;
use fescuerack_core::route::leaving;
use fescuerack_core::{cascade, poison, rollout};
use hmac::{Hmac, KeyInit as _, Mac as _};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_json::value::{RawValue, to_raw_value};
use sha2::Sha256;
use thiserror::Error;

/// Name of the JSON-RPC method that exchanges messages.
pub const EXCHANGE_METHOD: &str = "exchange";
/// Minimum length of the shared key.
pub const MIN_KEY_BYTES: usize = 16;

/// Soft state that an instance sends to its peers with each message. Each field is one slice. An
/// instance of another release may support more or fewer slices.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Digest {
    /// Shares of the organisations' rate limits.
    pub rates: rate::Digest,
    /// Failing pools.
    pub pools: pools::Digest,
    /// Servers that are leaving.
    #[serde(rename = "words")]
    pub leaving_servers: leaving::Digest,
    /// Counters of roll-outs.
    pub rollouts: rollout::Digest,
    /// Ratings of versions.
    pub quality: cascade::Digest,
    /// Requests that crash servers.
    pub suspects: poison::Digest,
}

/// Soft state that is replicated to all instances. Each field is one slice.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SharedState {
    /// Halts and steps of roll-outs, by model.
    #[serde(default)]
    pub rollouts: BTreeMap<String, rollout::Record>,
}

/// Returns the fields of `all` by name, without those that have their default value and so contain
/// nothing to report.
#[must_use]
pub fn non_default_slices<T: Serialize + Default>(all: &T) -> BTreeMap<String, Value> {
    let defaults = all_slices(&T::default());
    let mut slices = all_slices(all);
    slices.retain(|slice, state| defaults.get(slice) != Some(state));
    slices
}

/// Returns the fields of `all` by name.
#[must_use]
pub fn all_slices<T: Serialize>(all: &T) -> BTreeMap<String, Value> {
    match serde_json::to_value(all) {
        Ok(Value::Object(slices)) => slices.into_iter().collect(),
        Ok(_) | Err(_) => BTreeMap::new(),
    }
}

/// Returns the value whose fields are `slices`. A slice that is malformed or unknown is ignored, so
/// that one slice of another release does not invalidate the others.
#[must_use]
pub fn from_slices<T: DeserializeOwned + Default>(slices: BTreeMap<String, Value>) -> T {
    let mut valid = serde_json::Map::new();
    for (slice, state) in slices {
        let single = Value::Object(std::iter::once((slice.clone(), state.clone())).collect());
        if serde_json::from_value::<T>(single).is_ok() {
            valid.insert(slice, state);
        }
    }
    serde_json::from_value(Value::Object(valid)).unwrap_or_default()
}

/// A message with its seal.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Sealed {
    /// HMAC-SHA-256 of the body, in hexadecimal.
    pub seal: String,
    /// Text of the message.
    pub body: Box<RawValue>,
}

/// Reason why a sealed message cannot be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The seal does not match the message and the instances' key.
    #[error("the seal is wrong")]
    Seal,
    /// The message is malformed.
    #[error("the message is malformed")]
    Malformed,
}

fn mac(key: &[u8], body: &str) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC accepts keys of any length");
    mac.update(body.as_bytes());
    mac
}

/// Serialises a message and seals it.
///
/// # Panics
///
/// Never: messages contain only fields that JSON can represent.
#[must_use]
pub fn seal(key: &[u8], message: &impl Serialize) -> Sealed {
    let body =
        to_raw_value(message).expect("a message contains only fields that JSON can represent");
    let seal = mac(key, body.get()).finalize().into_bytes();
    Sealed {
        seal: hex::encode(seal),
        body,
    }
}

/// Verifies a sealed message and deserialises it.
///
/// # Errors
///
/// Returns a [`Refusal`] if the seal is wrong or the message is malformed.
pub fn open<T: DeserializeOwned>(key: &[u8], sealed: &Sealed) -> Result<T, Refusal> {
    let seal = hex::decode(&sealed.seal).map_err(|_| Refusal::Seal)?;
    mac(key, sealed.body.get())
        .verify_slice(&seal)
        .map_err(|_| Refusal::Seal)?;
    serde_json::from_str(sealed.body.get()).map_err(|_| Refusal::Malformed)
}
