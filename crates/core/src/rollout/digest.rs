//! What instances tell each other about roll-outs.

use serde::{Deserialize, Serialize};

use super::canary::Id;
use super::counters::PairedCounters;

/// Counters of one incarnation in one trial.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The trial.
    #[serde(rename = "trial")]
    pub canary: Id,
    /// Incarnation that counted.
    pub source: String,
    /// Its counters.
    pub pair: PairedCounters,
}

/// What one instance tells a peer. Peers pass on what they heard, so that a
/// halt and the counts behind it reach everyone in a few rounds also when two
/// instances cannot reach each other or the store is down.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Digest {
    /// Whether the sender has heard of a record from the store or from others.
    pub informed: bool,
    /// Counters: the sender's own and some that it heard.
    pub reports: Vec<Report>,
}
