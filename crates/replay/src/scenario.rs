//! The description of a load.

use std::collections::BTreeMap;
use std::path::Path;

use anyhow::{Context as _, Result, anyhow, ensure};
use fescuerack_config::limits;
use serde::Deserialize;

/// A load, the servers before which it comes and the policy to try.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    /// Seed of all randomness.
    pub seed: u64,
    /// Simulated seconds.
    pub seconds: u64,
    /// Seconds at the start that are not counted.
    pub warm_s: u64,
    /// Instances of the router.
    pub nodes: usize,
    /// Backend servers.
    pub servers: usize,
    /// Availability zones over which nodes and servers are spread.
    pub zones: usize,
    /// Requests that one server runs at a time.
    pub slots: u32,
    /// Milliseconds to the first token at an idle server, prompt aside.
    pub first_ms: f64,
    /// Milliseconds for one token.
    pub token_ms: f64,
    /// Milliseconds to compute 1,000 tokens of a prompt that is not cached.
    pub prefill_ms: f64,
    /// Prefixes that one server's cache holds.
    pub cached: usize,
    /// Requests that one instance runs at a time at most.
    pub places: usize,
    /// Milliseconds between two load reports of a server.
    pub report_ms: u64,
    /// Milliseconds by which a report is late.
    pub lag_ms: u64,
    /// What callers send.
    pub streams: Vec<Stream>,
    /// What fails.
    pub faults: Vec<Fault>,
    /// What callers do who are turned away.
    pub crowd: RefusedClients,
    /// The decisions to try.
    pub policy: Policy,
}

/// Requests of one organisation and class of work.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Stream {
    /// Name in the table.
    pub name: String,
    /// Organisation that sends it.
    pub organisation: String,
    /// Weight of the organisation.
    pub weight: u32,
    /// Requests a second.
    pub rate: f64,
    /// Second at which it begins.
    pub from_s: f64,
    /// Second at which it ends; 0 for never.
    pub to_s: f64,
    /// Tokens of an answer: the median.
    pub tokens: f64,
    /// Spread of the tokens: standard deviation of their logarithm.
    pub spread: f64,
    /// Tokens of a prompt.
    pub prompt: u32,
    /// Different prefixes of prompts; 0 for none that recur.
    pub prefixes: u32,
    /// Sessions; each request belongs to one.
    pub callers: u32,
    /// Exponent by which few sessions and prefixes get most requests.
    pub skew: f64,
    /// Milliseconds within which the whole answer is due.
    pub deadline_ms: u64,
    /// Priority; a lower number goes first.
    pub priority: u8,
    /// Whether it draws on the budget of long work.
    pub long: bool,
}

/// Something that fails for a while.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What fails.
    pub kind: FaultKind,
    /// Number of servers it befalls, the first ones.
    pub servers: usize,
    /// Second at which it begins.
    pub from_s: f64,
    /// Second at which it ends.
    pub to_s: f64,
}

/// Ways to fail.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum FaultKind {
    /// Everything takes this many times longer.
    Slow(f64),
    /// This share of attempts fails at the first token.
    Failing(f64),
    /// Attempts in flight break and new ones are refused connection.
    Down,
}

/// What callers do who are turned away.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RefusedClients {
    /// How often one comes back.
    pub returns: u32,
}

/// The decisions to try.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Admission.
    pub admission: Admission,
    /// Choice of servers.
    pub choice: Choice,
    /// Retries.
    pub retry: Retry,
    /// Limits by their name in the configuration.
    pub limits: BTreeMap<String, f64>,
}

/// Admission to try.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Admission {
    /// That of the product.
    #[default]
    Fair,
    /// First in, first out before a fixed number of places.
    Fifo,
}

/// Choice of servers to try.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Choice {
    /// That of the product.
    #[default]
    Scored,
    /// That of the product without homes of prefixes.
    Blind,
    /// The less loaded of two.
    Two,
    /// Each in turn.
    Round,
}

/// Retries to try.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Retry {
    /// Those of the product.
    #[default]
    Budget,
    /// Three for each request.
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
            crowd: RefusedClients::default(),
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
    /// Reads and checks a description.
    ///
    /// # Errors
    ///
    /// What is wrong with the file, with its line where it is known.
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

    /// Checks that the description makes sense.
    ///
    /// # Errors
    ///
    /// The first field that does not.
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

    /// Returns a limit: the one to try, or its default.
    #[must_use]
    pub fn limit(&self, name: &str) -> f64 {
        let tried = self.policy.limits.get(name).copied();
        let default = limits::find(name).map_or(0.0, |limit| limit.default);
        tried.unwrap_or(default)
    }
}
