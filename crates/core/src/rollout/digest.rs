//! The messages that instances exchange about roll-outs.

use serde::{Deserialize, Serialize};

use super::canary::Id;
use super::counters::PairedCounters;

/// Counters of one incarnation in one canary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The canary.
    #[serde(rename = "trial")]
    pub canary: Id,
    /// Incarnation that counted.
    pub source: String,
    /// Its counters.
    pub pair: PairedCounters,
}

/// A digest that one instance sends to a peer.
///
/// Peers forward the reports that they receive, so that a halt and the counters behind it reach
/// every instance in a few rounds even if two instances cannot reach each other or the store is
/// down.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Digest {
    /// Whether the sender has received the records from the store or from peers.
    pub informed: bool,
    /// Counters of the sender and some that it received from others.
    pub reports: Vec<Report>,
}
