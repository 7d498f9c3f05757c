//! The platform's list of instances: `GET /v1/instances`. It lags.

use fescuerack_core::route::State;
use serde::{Deserialize, Serialize};

/// One line of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Identifier.
    pub id: String,
    /// Fleet: a backend of the configuration, or `fescuerack` for our own.
    pub fleet: String,
    /// Availability zone.
    pub zone: String,
    /// Address of its service, as `host:port`.
    pub address: String,
    /// Whether it takes new work.
    pub state: State,
}

/// The list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instances {
    /// Instances in no particular order.
    pub instances: Vec<Instance>,
}
