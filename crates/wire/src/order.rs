//! Orders to model engines: `POST /v1/orders`, and `GET /v1/loaded`.

use serde::{Deserialize, Serialize};

/// What an engine is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Load a version from the weight store.
    Load,
    /// Unload a version.
    Unload,
}

/// An order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number; an engine that fences refuses one that is lower than
    /// the highest it has seen.
    #[serde(rename = "number")]
    pub fencing_token: u64,
    /// What to do.
    pub action: Action,
    /// Version, as `model@version`.
    pub version: String,
}

/// What an engine has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loaded {
    /// Versions that it has or is loading.
    pub versions: Vec<String>,
}
