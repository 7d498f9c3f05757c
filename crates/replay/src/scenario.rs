//! Scenario files: description of a load, the servers and the policy.
//!
//! The fields have the names of the keys in the file.

use std::collections::BTreeMap;
use std::path::Path;

use anyhow::{Context as _, Result, anyhow, ensure};
use fescuerack_config::limits;
use serde::Deserialize;

/// A load, the servers that it runs on and the policy to try.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Simulated time, in seconds.
    pub seconds: u64,
    /// Warm-up period at the start that is not measured, in seconds.
    pub warm_s: u64,
    /// Number of nodes: processes of the router, one on each instance.
    pub nodes: usize,
    /// Number of backend servers.
    pub servers: usize,
    /// Number of availability zones over which nodes and servers are spread.
    pub zones: usize,
    /// Number of requests that a server runs at a time.
    pub slots: u32,
    /// Time to the first token on an idle server without the computation of the prompt, in
    /// milliseconds.
    pub first_ms: f64,
    /// Time per token of the answer, in milliseconds.
    pub token_ms: f64,
    /// Time to compute 1,000 tokens of a prompt that is not cached, in milliseconds.
    pub prefill_ms: f64,
    /// Number of prefixes that the cache of a server holds.
    pub cached: usize,
    /// Maximum number of requests that a node runs at a time.
    pub places: usize,
    /// Interval between two load reports of a server, in milliseconds.
    pub report_ms: u64,
    /// Delay until a report reaches the nodes, in milliseconds.
    pub lag_ms: u64,
    /// Requests that callers send.
    pub streams: Vec<Stream>,
    /// Faults of the servers.
    pub faults: Vec<Fault>,
    /// Behaviour of callers whose requests are refused.
    pub crowd: RefusedCallers,
    /// Policy to try.
    pub policy: Policy,
}

/// Requests of one organisation and one class of work.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Stream {
    /// Name in the table, and class of the requests.
    pub name: String,
    /// Organisation that sends the requests.
    pub organisation: String,
    /// Weight of the organisation.
    pub weight: u32,
    /// Mean number of requests per second.
    pub rate: f64,
    /// Time at which the stream starts, in seconds.
    pub from_s: f64,
    /// Time at which the stream ends, in seconds; 0 for no end.
    pub to_s: f64,
    /// Median number of tokens in an answer.
    pub tokens: f64,
    /// Standard deviation of the logarithm of the number of tokens.
    pub spread: f64,
    /// Number of tokens in a prompt.
    pub prompt: u32,
    /// Number of different prompt prefixes; 0 if prefixes do not recur.
    pub prefixes: u32,
    /// Number of sessions. Each request belongs to one.
    pub callers: u32,
    /// Skew of the requests towards few sessions and prefixes; 0 for a uniform distribution.
    pub skew: f64,
    /// Time within which the complete answer is due, in milliseconds.
    pub deadline_ms: u64,
    /// Priority; lower numbers are served first.
    pub priority: u8,
    /// Whether the requests count against the concurrency share for long work.
    pub long: bool,
}

/// A temporary fault of some servers.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Number of affected servers; these are the first in the list.
    pub servers: usize,
    /// Time at which the fault starts, in seconds.
    pub from_s: f64,
    /// Time at which the fault ends, in seconds.
    pub to_s: f64,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum FaultKind {
    /// Every attempt takes this many times longer.
    Slow(f64),
    /// This share of attempts fails at the first token.
    Failing(f64),
    /// Running and queued attempts fail, and new connections are refused.
    Down,
}

/// Behaviour of callers whose requests are refused.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RefusedCallers {
    /// Maximum number of times that a refused request returns.
    pub returns: u32,
}

/// Policy to try.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Admission control.
    pub admission: Admission,
    /// Choice of the server.
    pub choice: Choice,
    /// Retry policy.
    pub retry: Retry,
    /// Limits that differ from their defaults, by their names in the configuration.
    pub limits: BTreeMap<String, f64>,
}

/// Admission control to try.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Admission {
    /// Admission control of the product.
    #[default]
    Fair,
    /// Baseline: a first-in, first-out queue with a fixed concurrency limit.
    Fifo,
}

/// Server choice to try.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Choice {
    /// Server choice of the product.
    #[default]
    Scored,
    /// Server choice of the product without prefix-cache affinity.
    Blind,
    /// Baseline: the less loaded of two random servers.
    Two,
    /// Baseline: round robin.
    Round,
}

/// Retry policy to try.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Retry {
    /// Retry budget of the product.
    #[default]
    Budget,
    /// Baseline: up to three retries for each request, without a budget or backoff.
    Three,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            seed: 1,
            seconds: 60,
            warm_s: 10,
            nodes: 9,
            servers: 12,
            zones: 4,
            slots: 32,
            first_ms: 80.0,
            token_ms: 20.0,
            prefill_ms: 100.0,
            cached: 200,
            places: 64,
            report_ms: 1_000,
            lag_ms: 1_000,
            streams: Vec::new(),
            faults: Vec::new(),
            crowd: RefusedCallers::default(),
            policy: Policy::default(),
        }
    }
}

impl Default for Stream {
    fn default() -> Self {
        Self {
            name: "chat".to_owned(),
            organisation: "one".to_owned(),
            weight: 1,
            rate: 10.0,
            from_s: 0.0,
            to_s: 0.0,
            tokens: 60.0,
            spread: 0.4,
            prompt: 500,
            prefixes: 0,
            callers: 100,
            skew: 0.0,
            deadline_ms: 10_000,
            priority: 1,
            long: false,
        }
    }
}

impl Scenario {
    /// Reads and checks a scenario file.
    ///
    /// # Errors
    ///
    /// Returns an error that says what is wrong with the file, with the line where it is known.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("read load {}", path.display()))?;
        let scenario: Self = serde_saphyr::from_str(&text)
            .map_err(|error| anyhow!("{}: {error}", path.display()))?;
        scenario
            .check()
            .with_context(|| path.display().to_string())?;
        Ok(scenario)
    }

    /// Checks that the values are valid.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first invalid field.
    pub fn check(&self) -> Result<()> {
        ensure!(self.nodes > 0, "nodes: must be at least 1");
        ensure!(self.servers > 0, "servers: must be at least 1");
        ensure!(self.zones > 0, "zones: must be at least 1");
        ensure!(self.slots > 0, "slots: must be at least 1");
        ensure!(self.places > 0, "places: must be at least 1");
        ensure!(self.token_ms > 0.0, "token_ms: must be above 0");
        ensure!(self.report_ms > 0, "report_ms: must be above 0");
        ensure!(
            self.warm_s < self.seconds,
            "warm_s: must be under `seconds`"
        );
        ensure!(!self.streams.is_empty(), "streams: must not be empty");
        for stream in &self.streams {
            let name = &stream.name;
            ensure!(
                stream.rate > 0.0 && stream.rate <= 100_000.0,
                "streams: {name}: rate must lie above 0 and at most 100000"
            );
            ensure!(
                stream.callers > 0,
                "streams: {name}: callers must be at least 1"
            );
            ensure!(
                stream.weight > 0,
                "streams: {name}: weight must be at least 1"
            );
        }
        for (name, value) in &self.policy.limits {
            let known = limits::find(name);
            let limit = known.with_context(|| format!("policy: no limit is named {name}"))?;
            ensure!(
                (limit.min..=limit.max).contains(value),
                "policy: {name} must lie between {} and {}",
                limit.min,
                limit.max
            );
        }
        Ok(())
    }

    /// Returns the value of a limit: the one in the policy, or its default.
    #[must_use]
    pub fn limit(&self, name: &str) -> f64 {
        let overridden = self.policy.limits.get(name).copied();
        let default = limits::find(name).map_or(0.0, |limit| limit.default);
        overridden.unwrap_or(default)
    }
}
