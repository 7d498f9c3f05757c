//! Orders to model engines, `POST /v1/orders`, and the list of loaded versions, `GET /v1/loaded`.

use serde::{Deserialize, Serialize};

/// Action that an order requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Load a version from the weight store.
    Load,
    /// Unload a version.
    Unload,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing token. An engine that supports fencing refuses an order whose token is lower than
    /// the highest one that it has received.
    #[serde(rename = "number")]
    pub fencing_token: u64,
    /// What the engine is to do.
    pub action: Action,
    /// Version, in the form `model@version`.
    pub version: String,
}

/// Versions at an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loaded {
    /// Versions that are loaded or being loaded.
    pub versions: Vec<String>,
}
