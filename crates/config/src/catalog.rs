//! The compiled configuration: references checked, names turned into keys.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use slotmap::SecondaryMap;

use crate::file::{self, Kind, State};
use crate::{Merged, Names, Problem, key};

/// The configuration in force, ready for decisions.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Revision of the manifest that it was compiled from.
    pub revision: u64,
    /// Organisations.
    pub organisations: SecondaryMap<key::Organisation, Organisation>,
    /// Organisation by the digest of a caller's key.
    pub callers: HashMap<String, key::Organisation>,
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
    pub fn of(self, input_tokens: u64, output_tokens: u64) -> u64 {
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
    /// Whether it may advance.
    pub paused: bool,
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
        let mut builder = Builder {
            merged,
            names,
            catalog: Self {
                revision,
                limits: merged.file.limits.clone(),
                ..Self::default()
            },
            problems: Vec::new(),
        };
        builder.versions();
        builder.fleets();
        builder.services();
        builder.classes();
        builder.rollouts();
        builder.organisations();
        if builder.problems.is_empty() {
            Ok(builder.catalog)
        } else {
            Err(builder.problems)
        }
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

struct Builder<'a> {
    merged: &'a Merged,
    names: &'a mut Names,
    catalog: Catalog,
    problems: Vec<Problem>,
}

impl Builder<'_> {
    fn report(&mut self, path: &str, message: impl Into<String>) {
        let file = self.merged.owners.get(path).map_or("", String::as_str);
        let message = format!("{path}: {}", message.into());
        self.problems.push(Problem::new(file, 0, message));
    }

    fn versions(&mut self) {
        for name in self.merged.file.models.keys() {
            let model = self.names.models.intern(name);
            self.catalog.models.insert(model, Vec::new());
        }
        for name in self.merged.file.targets.keys() {
            self.names.classes.intern(name);
        }
        for (name, version) in &self.merged.file.versions {
            self.version(name, version);
        }
    }

    fn version(&mut self, name: &str, entry: &file::Version) {
        let path = format!("versions/{name}");
        let model = name
            .split_once('@')
            .and_then(|(model, _)| self.names.models.get(model))
            .filter(|model| self.catalog.models.contains_key(*model));
        let Some(model) = model else {
            self.report(&path, "the part before '@' must name an entry of models");
            return;
        };
        let mut quality_by_class = SecondaryMap::new();
        for (class, quality) in &entry.quality {
            if !(0.0..=1.0).contains(quality) {
                self.report(
                    &path,
                    format!("quality of {class} must lie between 0 and 1"),
                );
            }
            if class == "default" {
                continue;
            }
            match self.names.classes.get(class) {
                Some(class) => {
                    quality_by_class.insert(class, *quality);
                }
                None => self.report(&path, format!("quality: no target is named {class}")),
            }
        }
        let key = self.names.versions.intern(name);
        self.catalog.models[model].push(key);
        self.catalog.versions.insert(
            key,
            Version {
                model,
                cost: Cost {
                    input: entry.cost_input,
                    output: entry.cost_output,
                },
                quality_by_class,
                quality: entry.quality.get("default").copied().unwrap_or(0.5),
                prior_weight: entry.prior_weight,
                state: entry.state,
                fleets: Vec::new(),
            },
        );
    }

    fn fleets(&mut self) {
        for (name, backend) in &self.merged.file.backends {
            let path = format!("backends/{name}");
            let fleet = self.names.fleets.intern(name);
            let mut versions = Vec::new();
            for version in &backend.versions {
                match self.known_version(version) {
                    Some(key) => {
                        self.catalog.versions[key].fleets.push(fleet);
                        versions.push(key);
                    }
                    None => self.report(&path, format!("no version is named {version}")),
                }
            }
            if backend.slots == 0 {
                self.report(&path, "slots must be at least 1");
            }
            self.catalog.fleets.insert(
                fleet,
                Fleet {
                    kind: backend.kind,
                    versions,
                    slots: backend.slots,
                    fences: backend.fences,
                    retired: backend.retired.iter().cloned().collect(),
                },
            );
        }
    }

    fn services(&mut self) {
        for (name, service) in &self.merged.file.services {
            let fleet = self.names.fleets.get(&service.backend);
            let fleet = fleet.filter(|fleet| self.catalog.fleets.contains_key(*fleet));
            let Some(fleet) = fleet else {
                let message = format!("no backend is named {}", service.backend);
                self.report(&format!("services/{name}"), message);
                continue;
            };
            self.catalog.services.insert(
                name.clone(),
                Service {
                    fleet,
                    idempotent: service.idempotent,
                    keyless: service.keyless,
                    deadline_ms: service.deadline_ms,
                },
            );
        }
    }

    fn classes(&mut self) {
        for (name, target) in &self.merged.file.targets {
            let path = format!("targets/{name}");
            if !(0.0..=1.0).contains(&target.quality) {
                self.report(&path, "quality must lie between 0 and 1");
            }
            let mut models = Vec::new();
            for model in &target.models {
                match self.known_model(model) {
                    Some(key) => models.push(key),
                    None => self.report(&path, format!("no model is named {model}")),
                }
            }
            let class = self.names.classes.intern(name);
            self.catalog.classes.insert(
                class,
                Class {
                    quality: target.quality,
                    models,
                    first_token_ms: target.first_token_ms,
                    deadline_ms: target.deadline_ms,
                    long: target.long,
                    cascade: target.cascade,
                    priority: target.priority,
                },
            );
        }
    }

    fn rollouts(&mut self) {
        for (name, rollout) in &self.merged.file.rollouts {
            let path = format!("rollouts/{name}");
            let Some(model) = self.known_model(name) else {
                self.report(&path, "no model has this name");
                continue;
            };
            let Some(current) = self.version_of(model, &rollout.current) else {
                self.report(&path, "current must name a version of this model");
                continue;
            };
            let candidate = rollout.candidate.as_deref();
            let found = candidate.and_then(|version| self.version_of(model, version));
            if candidate.is_some() && found.is_none() {
                self.report(&path, "candidate must name a version of this model");
            }
            let rising = rollout.stages.windows(2).all(|pair| pair[0] < pair[1]);
            let within = rollout
                .stages
                .iter()
                .all(|share| *share > 0.0 && *share <= 1.0);
            if !rising || !within || rollout.stage >= rollout.stages.len() {
                self.report(
                    &path,
                    "stages must rise from over 0 to at most 1 and hold `stage`",
                );
            }
            self.catalog.rollouts.insert(
                model,
                Rollout {
                    current,
                    candidate: found,
                    stages: rollout.stages.clone(),
                    stage: rollout.stage,
                    paused: rollout.paused,
                    exposure: rollout.exposure,
                },
            );
        }
    }

    fn organisations(&mut self) {
        for (name, entry) in &self.merged.file.organisations {
            self.organisation(name, entry);
        }
    }

    fn organisation(&mut self, name: &str, entry: &file::Organisation) {
        let path = format!("organisations/{name}");
        let organisation = self.names.organisations.intern(name);
        let mut allowed = BTreeSet::new();
        for allow in &entry.allow {
            if let Some(version) = self.known_version(allow) {
                allowed.insert(version);
            } else if let Some(model) = self.known_model(allow) {
                allowed.extend(self.catalog.models[model].iter().copied());
            } else {
                self.report(
                    &path,
                    format!("allow: {allow} names no model and no version"),
                );
            }
        }
        for service in &entry.services {
            if !self.catalog.services.contains_key(service) {
                self.report(&path, format!("services: no service is named {service}"));
            }
        }
        if entry.weight == 0 {
            self.report(&path, "weight must be at least 1");
        }
        for digest in &entry.keys {
            let taken = self.catalog.callers.insert(digest.clone(), organisation);
            if taken.is_some_and(|other| other != organisation) {
                self.report(
                    &path,
                    "one of its keys also belongs to another organisation",
                );
            }
        }
        self.catalog.organisations.insert(
            organisation,
            Organisation {
                allowed,
                services: entry.services.iter().cloned().collect(),
                weight: entry.weight,
                below_target: entry.below_target,
            },
        );
    }

    fn known_version(&self, name: &str) -> Option<key::Version> {
        let key = self.names.versions.get(name)?;
        self.catalog.versions.contains_key(key).then_some(key)
    }

    fn known_model(&self, name: &str) -> Option<key::Model> {
        let key = self.names.models.get(name)?;
        self.catalog.models.contains_key(key).then_some(key)
    }

    fn version_of(&self, model: key::Model, name: &str) -> Option<key::Version> {
        let key = self.known_version(name)?;
        (self.catalog.versions[key].model == model).then_some(key)
    }
}
