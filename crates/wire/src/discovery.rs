//! Service discovery: the platform's list of processes, `GET /v1/instances`.
//!
//! It contains the instances of the router and the backend servers; the platform calls both
//! instances. The list lags behind the actual state.

use fescuerack_core::route::State;
use serde::{Deserialize, Serialize};

/// One entry of the list: an instance of the router or a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Identifier.
    pub id: String,
    /// Fleet: a backend of the configuration, or `fescuerack` for instances of the router.
    pub fleet: String,
    /// Availability zone.
    pub zone: String,
    /// Address of the process, in the form `host:port`.
    pub address: String,
    /// Whether the process accepts new work.
    pub state: State,
}

/// The list of the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instances {
    /// Entries, in no particular order.
    pub instances: Vec<ListedInstance>,
}
