//! Messages between instances, carried by JSON-RPC.
//!
//! Every message is sealed with a key that all instances of a fleet share, so
//! that nobody else can tell an instance that a peer leaves or that a roll-out
//! was halted. The seal covers the exact text of the message; repeated
//! messages are refused by [`fescuerack_core::member::ReplayWindow`].

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
/// Least number of characters of the shared key.
pub const MIN_KEY_BYTES: usize = 16;

/// What an instance tells its peers with its messages. Each field is one
/// slice; an instance of another version may know more or fewer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Digest {
    /// Shares of organisations' limits.
    pub rates: rate::Digest,
    /// Pools that fail.
    pub pools: pools::Digest,
    /// Servers that leave.
    #[serde(rename = "words")]
    pub leaving_servers: leaving::Digest,
    /// Counts of roll-outs.
    pub rollouts: rollout::Digest,
    /// Ratings.
    pub quality: cascade::Digest,
    /// Requests that crashed servers.
    pub suspects: poison::Digest,
}

/// Soft state that every instance should hold alike. Each field is one slice.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SharedState {
    /// Halts and steps of roll-outs, by model.
    #[serde(default)]
    pub rollouts: BTreeMap<String, rollout::Record>,
}

/// Returns each field of `all` by its name; a slice that has nothing to tell is
/// left out.
#[must_use]
pub fn non_default_slices<T: Serialize + Default>(all: &T) -> BTreeMap<String, Value> {
    let nothing = all_slices(&T::default());
    let mut slices = all_slices(all);
    slices.retain(|slice, state| nothing.get(slice) != Some(state));
    slices
}

/// Returns each field of `all` by its name.
#[must_use]
pub fn all_slices<T: Serialize>(all: &T) -> BTreeMap<String, Value> {
    match serde_json::to_value(all) {
        Ok(Value::Object(slices)) => slices.into_iter().collect(),
        Ok(_) | Err(_) => BTreeMap::new(),
    }
}

/// Returns what holds `slices`; a slice that is malformed or not known is left
/// out, so that one slice of another version does not silence the rest.
#[must_use]
pub fn from_slices<T: DeserializeOwned + Default>(slices: BTreeMap<String, Value>) -> T {
    let mut known = serde_json::Map::new();
    for (slice, state) in slices {
        let alone = Value::Object(std::iter::once((slice.clone(), state.clone())).collect());
        if serde_json::from_value::<T>(alone).is_ok() {
            known.insert(slice, state);
        }
    }
    serde_json::from_value(Value::Object(known)).unwrap_or_default()
}

/// A message with the seal of the fleet's key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Sealed {
    /// Seal, in hex.
    pub seal: String,
    /// Text of the message.
    pub body: Box<RawValue>,
}

/// Why a sealed message cannot be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The seal is not that of the fleet's key.
    #[error("the seal is wrong")]
    Seal,
    /// The message is malformed.
    #[error("the message is malformed")]
    Malformed,
}

fn mac(key: &[u8], body: &str) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("a key of any length is taken");
    mac.update(body.as_bytes());
    mac
}

/// Seals a message.
///
/// # Panics
///
/// Never: a message has only fields that JSON can hold.
#[must_use]
pub fn seal(key: &[u8], message: &impl Serialize) -> Sealed {
    let body = to_raw_value(message).expect("a message has only plain fields");
    let seal = mac(key, body.get()).finalize().into_bytes();
    Sealed {
        seal: hex::encode(seal),
        body,
    }
}

/// Opens a sealed message.
///
/// # Errors
///
/// When its seal is wrong or it is malformed.
pub fn open<T: DeserializeOwned>(key: &[u8], sealed: &Sealed) -> Result<T, Refusal> {
    let seal = hex::decode(&sealed.seal).map_err(|_| Refusal::Seal)?;
    mac(key, sealed.body.get())
        .verify_slice(&seal)
        .map_err(|_| Refusal::Seal)?;
    serde_json::from_str(sealed.body.get()).map_err(|_| Refusal::Malformed)
}
