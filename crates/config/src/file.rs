//! The schema of a configuration file.
//!
//! Every section is optional and every entry has a name. Unknown fields are
//! refused, so that a misspelt field cannot silently fall back to a default.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// One file of the folder; the merge of all files has the same type.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct File {
    /// Operators by name.
    pub operators: BTreeMap<String, Operator>,
    /// Organisations by name.
    pub organisations: BTreeMap<String, Organisation>,
    /// Models by name.
    pub models: BTreeMap<String, Model>,
    /// Versions by `model@version`.
    pub versions: BTreeMap<String, Version>,
    /// Classes of work and their quality targets, by name.
    pub targets: BTreeMap<String, Target>,
    /// Roll-outs by the name of their model.
    pub rollouts: BTreeMap<String, Rollout>,
    /// Plain services by name.
    pub services: BTreeMap<String, Service>,
    /// Fleets of backend servers by name.
    pub backends: BTreeMap<String, Backend>,
    /// Limits by name; a later file overrides an earlier one.
    pub limits: BTreeMap<String, f64>,
}

/// A person or a program that uses the operators' port.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// SHA-256 digests of its tokens, in hex.
    pub tokens: Vec<String>,
    /// Names of the files that it may change; `*` means all.
    pub files: Vec<String>,
    /// Names of the organisations that it may change; `*` means all.
    pub organisations: Vec<String>,
    /// Whether it may change the section `operators`.
    pub admin: bool,
}

/// An organisation and what it may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// SHA-256 digests of the keys that its callers present, in hex.
    #[serde(default)]
    pub keys: Vec<String>,
    /// Names of models (every version) or `model@version` (that version only).
    #[serde(default)]
    pub allow: Vec<String>,
    /// Plain services that it may call.
    #[serde(default)]
    pub services: Vec<String>,
    /// Share of capacity relative to other organisations, at least 1.
    #[serde(default = "one")]
    pub weight: u32,
    /// Requests a second that it may send through all instances together;
    /// unlimited if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<f64>,
    /// Whether the organisation accepts an answer below the quality target
    /// rather than none.
    #[serde(default)]
    pub below_target: bool,
}

/// A model.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Model {
    /// What the model is for.
    pub note: String,
}

/// A version of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Cost of 1,000 input tokens, in micro-euro.
    pub cost_input: u64,
    /// Cost of 1,000 output tokens, in micro-euro.
    pub cost_output: u64,
    /// Expected quality by class of work, 0 to 1; `default` applies to all
    /// other classes.
    #[serde(default)]
    pub quality: BTreeMap<String, f64>,
    /// Weight of the expected quality against measured ratings, as a number of
    /// ratings.
    #[serde(default = "prior_weight")]
    pub prior_weight: f64,
    /// Whether the version accepts work.
    #[serde(default)]
    pub state: State,
}

/// Whether a version accepts work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Accepts all work.
    #[default]
    Open,
    /// Accepts no new session and keeps serving its current ones.
    Closed,
    /// Accepts no new work at all.
    Withdrawn,
}

/// A class of work and its quality target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Minimum expected quality of an answer, 0 to 1.
    pub quality: f64,
    /// Models to choose from.
    pub models: Vec<String>,
    /// Deadline of the first token, in milliseconds.
    #[serde(default = "first_token_ms")]
    pub first_token_ms: u64,
    /// Deadline of the whole answer, in milliseconds.
    #[serde(default = "deadline_ms")]
    pub deadline_ms: u64,
    /// Whether the work is long and is admitted within the share of long work.
    #[serde(default)]
    pub long: bool,
    /// Whether a cheap answer may be rated, and escalated to a better version,
    /// before it is returned to the caller.
    #[serde(default)]
    pub cascade: bool,
    /// Rating below which an answer counts as bad, 0 to 1; three quarters of
    /// `quality` if absent.
    #[serde(default)]
    pub bad_quality: Option<f64>,
    /// Share of requests, 0 to 0.2, that may explore a version whose quality
    /// estimate is still uncertain, where no unrated answer can reach the caller.
    #[serde(default = "explore")]
    pub explore: f64,
    /// Priority; lower numbers are served first.
    #[serde(default = "priority")]
    pub priority: u8,
}

/// A roll-out of a new version of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// Current version, used by all sessions outside the candidate's share.
    pub current: String,
    /// Version that is being rolled out.
    #[serde(default)]
    pub candidate: Option<String>,
    /// Share of new sessions that start on the candidate at each stage: rising,
    /// each over 0 and at most 1.
    #[serde(default = "stages")]
    pub stages: Vec<f64>,
    /// Index into `stages`, from 0.
    #[serde(default)]
    pub stage: usize,
    /// Whether the roll-out is held at its current stage.
    #[serde(default)]
    pub paused: bool,
    /// The roll-out's generation. It rises when a roll-out is opened, and only
    /// then: a step or a pause by an operator who has not yet seen a halt must
    /// not clear it. A halt applies to all generations up to the one it
    /// stopped; only a higher one lets the same candidate start again.
    #[serde(default)]
    pub word: u64,
    /// Number of bad answers that may reach callers before the roll-out halts.
    #[serde(default = "exposure")]
    pub exposure: u32,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Fleet that serves it.
    pub backend: String,
    /// Whether a call may be retried.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether a call that may not be retried is accepted without an
    /// `Idempotency-Key`; a repeated call then counts as a new one.
    #[serde(default)]
    pub keyless: bool,
    /// Deadline of the answer, in milliseconds.
    #[serde(default = "deadline_ms")]
    pub deadline_ms: u64,
}

/// A fleet of interchangeable backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// What the servers run.
    pub kind: Kind,
    /// Versions that the servers of an engine fleet serve.
    #[serde(default)]
    pub versions: Vec<String>,
    /// Availability zones of its servers.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Requests that one server runs concurrently.
    #[serde(default = "slots")]
    pub slots: u32,
    /// Whether its engines refuse an order with an outdated fencing token.
    #[serde(default)]
    pub fences: bool,
    /// Servers that receive no new work, by identifier.
    #[serde(default)]
    pub retired: Vec<String>,
}

/// What the servers of a fleet run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

fn one() -> u32 {
    1
}

fn prior_weight() -> f64 {
    20.0
}

fn first_token_ms() -> u64 {
    350
}

fn deadline_ms() -> u64 {
    30_000
}

fn priority() -> u8 {
    5
}

fn stages() -> Vec<f64> {
    vec![0.01, 0.05, 0.2, 0.5, 1.0]
}

fn explore() -> f64 {
    0.02
}

fn exposure() -> u32 {
    20
}

fn slots() -> u32 {
    16
}
