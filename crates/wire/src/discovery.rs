//! Service discovery: the platform's list of instances, `GET /v1/instances`.
//!
//! The list lags behind the actual state.

use fescuerack_core::route::State;
use serde::{Deserialize, Serialize};

/// One entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Identifier.
    pub id: String,
    /// Fleet: a backend of the configuration, or `fescuerack` for instances of the router.
    pub fleet: String,
    /// Availability zone.
    pub zone: String,
    /// Address of the service, in the form `host:port`.
    pub address: String,
    /// Whether the instance accepts new work.
    pub state: State,
}

/// The list of instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instances {
    /// Instances, in no particular order.
    pub instances: Vec<Instance>,
}
