//! The load report of a model engine: `GET /load`.
//!
//! A report lags behind the actual load; [`Report::age_ms`] states by how much.

use serde::{Deserialize, Serialize};

/// A load report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// Age of the report in milliseconds.
    pub age_ms: u64,
    /// Tokens of the running and waiting requests.
    pub work: u64,
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Loaded adapters.
    pub adapters: Vec<String>,
    /// Whether the engine is leaving and accepts no new work.
    pub leaving: bool,
}
