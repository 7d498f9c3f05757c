//! The compiled configuration: references are checked and names are replaced
//! by keys.
//!
//! This module defines the types. `compile` has one module per section, which
//! checks the entries of the section and adds them.

mod compile;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use slotmap::SecondaryMap;

use crate::file::{Kind, State};
use crate::permission::Scope;
use crate::{Merged, Names, Problem, key, limits};

/// A compiled configuration, in the form in which routing decisions read it.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Revision of the manifest that it was compiled from.
    pub revision: u64,
    /// Organisations.
    pub organisations: SecondaryMap<key::Organisation, Organisation>,
    /// Organisations by the digest of a caller's key.
    pub organisation_by_key: HashMap<String, key::Organisation>,
    /// Versions.
    pub versions: SecondaryMap<key::Version, Version>,
    /// Versions of each model.
    pub models: SecondaryMap<key::Model, Vec<key::Version>>,
    /// Classes of work.
    pub classes: SecondaryMap<key::Class, Class>,
    /// Roll-outs by model.
    pub rollouts: SecondaryMap<key::Model, Rollout>,
    /// Fleets of engines and of plain services.
    pub fleets: SecondaryMap<key::Fleet, Fleet>,
    /// Plain services by name.
    pub services: BTreeMap<String, Service>,
    /// Limits by name.
    pub limits: BTreeMap<String, f64>,
    /// Operators by the digest of a token.
    pub operator_by_token: HashMap<String, Arc<Operator>>,
}

/// A user of the operators' port and what it may change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Operator {
    /// Name that is recorded with each change.
    pub name: String,
    /// Files that it may change.
    pub files: Scope,
    /// Organisations that it may change.
    pub organisations: Scope,
    /// Whether it may change the operators themselves.
    pub admin: bool,
}

/// An organisation and what it may use.
#[derive(Clone, Debug)]
pub struct Organisation {
    /// Versions that it may use.
    pub allowed: BTreeSet<key::Version>,
    /// Plain services that it may call.
    pub services: BTreeSet<String>,
    /// Share of capacity relative to other organisations.
    pub weight: u32,
    /// Requests a second that it may send through all instances together.
    pub rate: Option<f64>,
    /// Whether it accepts an answer below the quality target rather than none.
    pub below_target: bool,
}

/// Cost of 1,000 tokens, in micro-euro.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cost {
    /// Cost of 1,000 input tokens.
    pub input: u64,
    /// Cost of 1,000 output tokens.
    pub output: u64,
}

impl Cost {
    /// Returns the cost of a request in micro-euro, rounded up.
    #[must_use]
    pub fn for_tokens(self, input_tokens: u64, output_tokens: u64) -> u64 {
        (self.input * input_tokens + self.output * output_tokens).div_ceil(1000)
    }
}

/// A version of a model.
#[derive(Clone, Debug)]
pub struct Version {
    /// Its model.
    pub model: key::Model,
    /// Cost of its tokens.
    pub cost: Cost,
    /// Expected quality by class; absent classes use `quality`.
    pub quality_by_class: SecondaryMap<key::Class, f64>,
    /// Expected quality of all other classes.
    pub quality: f64,
    /// Weight of the expected quality against measured ratings, as a number of
    /// ratings.
    pub prior_weight: f64,
    /// Whether it accepts work.
    pub state: State,
    /// Fleets that serve it.
    pub fleets: Vec<key::Fleet>,
}

/// A class of work.
#[derive(Clone, Debug)]
pub struct Class {
    /// Minimum expected quality of an answer.
    pub quality: f64,
    /// Models to choose from.
    pub models: Vec<key::Model>,
    /// Deadline of the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Deadline of the whole answer, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the work is long.
    pub long: bool,
    /// Whether a cheap answer may be escalated.
    pub cascade: bool,
    /// Rating below which an answer counts as bad.
    pub bad_quality: f64,
    /// Share of requests that may explore a version of uncertain quality.
    pub explore: f64,
    /// Priority; lower numbers are served first.
    pub priority: u8,
}

/// A roll-out.
#[derive(Clone, Debug)]
pub struct Rollout {
    /// Current version.
    pub current: key::Version,
    /// Version that is being rolled out.
    pub candidate: Option<key::Version>,
    /// Share of new sessions that start on the candidate at each stage.
    pub stages: Vec<f64>,
    /// Index into `stages`, from 0.
    pub stage: usize,
    /// Whether it is held at its current stage.
    pub paused: bool,
    /// The roll-out's generation; a higher one clears a halt.
    pub word: u64,
    /// Number of bad answers that may reach callers before the roll-out halts.
    pub exposure: u32,
}

/// A fleet of backend servers.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// What its servers run.
    pub kind: Kind,
    /// Versions that it serves.
    pub versions: Vec<key::Version>,
    /// Requests that one server runs concurrently.
    pub slots: u32,
    /// Whether its engines refuse an order with an outdated fencing token.
    pub fences: bool,
    /// Servers that receive no new work, by identifier.
    pub retired: BTreeSet<String>,
}

/// A plain service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Fleet that serves it.
    pub fleet: key::Fleet,
    /// Whether a call may be retried.
    pub idempotent: bool,
    /// Whether a call that may not be retried is accepted without an
    /// `Idempotency-Key`.
    pub keyless: bool,
    /// Deadline of the answer, in milliseconds.
    pub deadline_ms: u64,
}

impl Catalog {
    /// Checks all references of `merged` and compiles it.
    ///
    /// # Errors
    ///
    /// All problems of the merge; `names` may then contain unused names.
    pub fn new(revision: u64, merged: &Merged, names: &mut Names) -> Result<Self, Vec<Problem>> {
        compile::compile(revision, merged, names)
    }

    /// Returns the value of a limit listed in [`crate::limits`]: the configured
    /// one or its default.
    ///
    /// # Panics
    ///
    /// If the limit is not listed.
    #[must_use]
    pub fn limit(&self, name: &str) -> f64 {
        let known = limits::find(name).expect("the limit is listed");
        self.limits.get(name).copied().unwrap_or(known.default)
    }

    /// Returns the expected quality of `version` for `class`.
    #[must_use]
    pub fn quality(&self, version: key::Version, class: key::Class) -> f64 {
        self.versions.get(version).map_or(0.0, |entry| {
            entry
                .quality_by_class
                .get(class)
                .copied()
                .unwrap_or(entry.quality)
        })
    }
}
