//! What nodes tell each other of keys.

use serde::{Deserialize, Serialize};

use super::blame::Weight;
use super::key::Key;
use crate::gateway::affinity;

/// Number of nodes that are told of each crash under a key.
const OWNERS_OF_KEY: usize = 2;

/// How a run ended, as it is told to the owners of one of its keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Key of the request.
    pub key: Key,
    /// How the run ended.
    pub end: End,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// A server crashed.
    Crashed {
        /// Its [short identifier](crate::gateway::load::short_id).
        server: u32,
        /// Milliseconds since then.
        age_ms: u64,
        /// Milliseconds that it had run the request.
        ran_ms: u64,
        /// What that says against the key.
        weight: Weight,
        /// Milliseconds since the latest proof that this node knows of.
        proved_ms: Option<u64>,
    },
    /// The key is sound.
    Proved {
        /// Milliseconds since the run began that proves it.
        age_ms: u64,
    },
}

impl Observation {
    /// Returns the observation as of `millis` milliseconds later.
    #[must_use]
    pub const fn aged(mut self, millis: u64) -> Self {
        match &mut self.end {
            End::Crashed {
                age_ms, proved_ms, ..
            } => {
                *age_ms += millis;
                if let Some(proved_ms) = proved_ms {
                    *proved_ms += millis;
                }
            }
            End::Proved { age_ms } => *age_ms += millis,
        }
        self
    }
}

/// What a message to a peer says of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The key.
    pub key: Key,
    /// Crashes under it, as many as it takes to refuse it, or all.
    pub crashes: Vec<MarkedCrash>,
    /// Milliseconds since the latest proof.
    pub proved_ms: Option<u64>,
}

/// A crash in a [`Mark`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MarkedCrash {
    /// Short identifier of the server's start.
    pub server: u32,
    /// Milliseconds since then.
    pub age_ms: u64,
    /// What it says against the key.
    pub weight: Weight,
}

/// Returns the owners of a key among the nodes, by the hash of names: the same on all nodes that have
/// the same list, and others for another key.
#[must_use]
pub fn owners<'a>(key: Key, nodes: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> = nodes
        .map(|name| (affinity::mix(affinity::hash(name.as_bytes()) ^ key.0), name))
        .collect();
    ranked.sort_unstable();
    ranked
        .into_iter()
        .map(|(_, name)| name)
        .take(OWNERS_OF_KEY)
        .collect()
}
