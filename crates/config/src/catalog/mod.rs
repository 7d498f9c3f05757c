//! The compiled configuration: references checked, names turned into keys.
//!
//! The types stand here; `compile` holds one file per section that checks the
//! entries of the section and adds them.

mod compile;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use slotmap::SecondaryMap;

use crate::file::{Kind, State};
use crate::permission::Scope;
use crate::{Merged, Names, Problem, key, limits};

/// The configuration in force, ready for decisions.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Revision of the manifest that it was compiled from.
    pub revision: u64,
    /// Organisations.
    pub organisations: SecondaryMap<key::Organisation, Organisation>,
    /// Organisation by the digest of a caller's key.
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

/// Who may use the operators' port, and what for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Operator {
    /// Name, as it is recorded with a change.
    pub name: String,
    /// Files that it may change.
    pub files: Scope,
    /// Organisations that it may change.
    pub organisations: Scope,
    /// Whether it may change the operators themselves.
    pub admin: bool,
}

/// What an organisation may use.
#[derive(Clone, Debug)]
pub struct Organisation {
    /// Versions it may use.
    pub allowed: BTreeSet<key::Version>,
    /// Plain services it may call.
    pub services: BTreeSet<String>,
    /// Share of capacity relative to other organisations.
    pub weight: u32,
    /// Requests a second that it may send through all instances together.
    pub rate: Option<f64>,
    /// Whether an answer below the target is better than none.
    pub below_target: bool,
}

/// Cost in micro-euro of 1,000 tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cost {
    /// Of 1,000 input tokens.
    pub input: u64,
    /// Of 1,000 output tokens.
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
    /// What it costs.
    pub cost: Cost,
    /// Expected quality by class; classes that are missing use `quality`.
    pub quality_by_class: SecondaryMap<key::Class, f64>,
    /// Expected quality of all other classes.
    pub quality: f64,
    /// Number of ratings that the expected quality is worth.
    pub prior_weight: f64,
    /// Whether it takes work.
    pub state: State,
    /// Fleets that serve it.
    pub fleets: Vec<key::Fleet>,
}

/// A class of work.
#[derive(Clone, Debug)]
pub struct Class {
    /// Least expected quality of an answer.
    pub quality: f64,
    /// Models to choose from.
    pub models: Vec<key::Model>,
    /// Milliseconds within which the first token is due.
    pub first_token_ms: u64,
    /// Milliseconds within which the whole answer is due.
    pub deadline_ms: u64,
    /// Whether the work is long.
    pub long: bool,
    /// Whether a cheap answer may be escalated.
    pub cascade: bool,
    /// Rating under which an answer counts as bad.
    pub bad_quality: f64,
    /// Share of requests that may try a version of uncertain quality.
    pub explore: f64,
    /// Priority; a lower number goes first.
    pub priority: u8,
}

/// A roll-out.
#[derive(Clone, Debug)]
pub struct Rollout {
    /// Version of today.
    pub current: key::Version,
    /// Version that is being rolled out.
    pub candidate: Option<key::Version>,
    /// Shares of new sessions.
    pub stages: Vec<f64>,
    /// Position in `stages`.
    pub stage: usize,
    /// Whether it stays at its stage.
    pub paused: bool,
    /// Number of the operators' word; a higher one clears a halt.
    pub word: u64,
    /// Bad answers that may reach callers.
    pub exposure: u32,
}

/// A fleet of backend servers.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// What its servers run.
    pub kind: Kind,
    /// Versions it serves.
    pub versions: Vec<key::Version>,
    /// Requests that one server runs at a time.
    pub slots: u32,
    /// Whether its engines refuse old fencing numbers.
    pub fences: bool,
    /// Servers that take no new work.
    pub retired: BTreeSet<String>,
}

/// A plain service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Fleet that runs it.
    pub fleet: key::Fleet,
    /// Whether a call may be repeated.
    pub idempotent: bool,
    /// Whether a call that may not be repeated is taken without a key.
    pub keyless: bool,
    /// Milliseconds within which the answer is due.
    pub deadline_ms: u64,
}

impl Catalog {
    /// Checks all references of `merged` and compiles it.
    ///
    /// # Errors
    ///
    /// All problems at once; `names` may then hold names that are not used.
    pub fn new(revision: u64, merged: &Merged, names: &mut Names) -> Result<Self, Vec<Problem>> {
        compile::compile(revision, merged, names)
    }

    /// Returns a limit that [`crate::limits`] lists: the configured value or
    /// its default.
    ///
    /// # Panics
    ///
    /// When no such limit is listed.
    #[must_use]
    pub fn limit(&self, name: &str) -> f64 {
        let known = limits::find(name).expect("the program asks for listed limits");
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
