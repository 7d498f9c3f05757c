//! Versions as this process sees them: roll-outs, learnt quality and
//! requests that crash servers, with the threads that keep them up to date.

pub mod ratings;
pub mod rollouts;
pub mod suspects;

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use fescuerack_config::key;
use fescuerack_core::cascade::Learner;
use fescuerack_core::clock::Instant;
use fescuerack_core::poison::Suspects;
use fescuerack_core::rollout::Registry;
use fescuerack_core::{cascade, rollout};
use serde_json::json;

use crate::shared::{Force, Shared, lock};

/// State of the slices that decide on versions.
pub struct Versions {
    /// Roll-outs.
    pub rollouts: Mutex<Registry>,
    /// Learnt quality.
    pub learner: Mutex<Learner>,
    /// Requests that crashed servers.
    pub suspects: Mutex<Suspects>,
    /// Answers to be rated.
    pub ratings: ratings::Queue,
    configured: AtomicU64,
}

impl Versions {
    /// Creates the state of one incarnation.
    #[must_use]
    pub fn new(incarnation: &str, platform: &str) -> Self {
        Self {
            rollouts: Mutex::new(Registry::new(incarnation)),
            learner: Mutex::new(Learner::new(incarnation)),
            suspects: Mutex::new(Suspects::new()),
            ratings: ratings::Queue::new(platform),
            configured: AtomicU64::new(0),
        }
    }

    /// Takes over the configuration in force if it is new. Every choice calls
    /// this first: with an unconfigured registry a candidate would look like an
    /// ordinary version.
    pub fn configure(&self, now: Instant, force: &Force) {
        let revision = force.catalog.revision;
        if self.configured.load(Ordering::Acquire) >= revision {
            return;
        }
        let mut registry = lock(&self.rollouts);
        if self.configured.load(Ordering::Acquire) < revision {
            registry.configure(now, &force.catalog, &force.names);
            self.configured.store(revision, Ordering::Release);
        }
    }

    /// Puts halts and steps that were news in force.
    pub fn reconfigure(&self, now: Instant, force: &Force) {
        let mut registry = lock(&self.rollouts);
        if self.configured.load(Ordering::Acquire) <= force.catalog.revision {
            registry.configure(now, &force.catalog, &force.names);
            self.configured
                .store(force.catalog.revision, Ordering::Release);
        }
    }

    /// Returns whether a version is the candidate of a running trial.
    #[must_use]
    pub fn is_candidate(&self, model: key::Model, version: key::Version) -> bool {
        let registry = lock(&self.rollouts);
        registry
            .canary(model)
            .is_some_and(|trial| trial.candidate == version)
    }
}

/// Returns how many instances share what the fleet is allowed.
#[must_use]
pub fn instances(shared: &Shared) -> u32 {
    let size = lock(&shared.member).view.size();
    u32::try_from(size.max(1)).unwrap_or(u32::MAX)
}

/// Takes over the halts and steps that a peer holds.
pub fn merge_rollout_records(shared: &Shared, records: &BTreeMap<String, rollout::Record>) {
    let now = shared.now();
    let mut news = false;
    let mut registry = lock(&shared.versions.rollouts);
    for (model, record) in records {
        news |= registry.merge_peer_record(now, model, record);
    }
    drop(registry);
    if news {
        shared.versions.reconfigure(now, &shared.force());
    }
}

/// Takes over what a peer tells.
pub fn merge_digest(shared: &Shared, force: &Force, digest: &fescuerack_wire::peer::Digest) {
    let versions = &shared.versions;
    let now = shared.now();
    lock(&versions.rollouts).merge(now, &digest.rollouts);
    lock(&versions.learner).merge(&force.catalog, &force.names, &digest.quality);
    lock(&versions.suspects).merge(now, &digest.suspects);
}

/// The state of the slices for the dump.
pub fn state(shared: &Shared) -> serde_json::Value {
    let force = shared.force();
    let versions = &shared.versions;
    let now = shared.now();
    let registry = lock(&versions.rollouts);
    let mut rollouts = BTreeMap::new();
    for model in force.catalog.rollouts.keys() {
        let name = force.names.models.name(model).to_string();
        let share = registry.share(now, model);
        let part = share.and_then(|share| share.candidate).map(|part| part.1);
        rollouts.insert(
            name.clone(),
            json!({
                "verdict": registry.verdict(now, model),
                "share_of_new_sessions": part,
                "trial": registry.canary(model),
                "record": registry.record(&name),
            }),
        );
    }
    let informed = registry.is_informed();
    drop(registry);
    json!({
        "informed": informed,
        "rollouts": rollouts,
        "quality": quality(shared, &force),
        "suspects": *lock(&versions.suspects),
        "ratings": {
            "available": lock(&versions.learner).can_rate(now),
            "waiting": versions.ratings.waiting(),
        },
    })
}

fn quality(shared: &Shared, force: &Force) -> BTreeMap<String, BTreeMap<String, [f64; 3]>> {
    let learner = lock(&shared.versions.learner);
    let mut classes = BTreeMap::new();
    for (class, entry) in &force.catalog.classes {
        let mut known = BTreeMap::new();
        let versions = entry.models.iter().filter_map(|model| {
            let versions = force.catalog.models.get(*model)?;
            Some(versions.iter().copied())
        });
        for version in versions.flatten() {
            let estimate = learner.estimate(&force.catalog, class, version);
            let bound = estimate.bound(0, 0.0, cascade::CONFIDENCE);
            let name = force.names.versions.name(version).to_string();
            known.insert(name, [estimate.mean(), bound, estimate.weight()]);
        }
        classes.insert(force.names.classes.name(class).to_string(), known);
    }
    classes
}
