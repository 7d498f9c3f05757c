//! The load that a model engine reports: `GET /load`. It lags.

use serde::{Deserialize, Serialize};

/// A report of load.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// Milliseconds since the report was made.
    pub age_ms: u64,
    /// Tokens of the requests that run and wait.
    pub work: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Adapters that are loaded.
    pub adapters: Vec<String>,
    /// Whether the engine takes no new work.
    pub leaving: bool,
}
