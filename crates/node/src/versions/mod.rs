//! State about model versions in this process: roll-outs, learnt quality and
//! requests that crash servers, with the threads that keep it up to date.

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

use crate::node_state::{ActiveConfiguration, NodeState, lock};

/// State from which versions are chosen.
pub struct Versions {
    /// Roll-outs.
    pub rollouts: Mutex<Registry>,
    /// Learnt quality of each version.
    pub learner: Mutex<Learner>,
    /// Requests suspected of crashing servers.
    pub suspects: Mutex<Suspects>,
    /// Answers that wait to be rated.
    pub ratings: ratings::Queue,
    /// Revision of the configuration that the roll-outs use.
    configured: AtomicU64,
}

impl Versions {
    /// Creates the state of one incarnation; `platform` is the address of the
    /// rating service.
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

    /// Applies the active configuration if it is newer than the applied one.
    /// Every choice of a version calls this first: with an unconfigured registry
    /// a candidate would look like an ordinary version.
    pub fn configure(&self, now: Instant, active: &ActiveConfiguration) {
        let revision = active.catalog.revision;
        if self.configured.load(Ordering::Acquire) >= revision {
            return;
        }
        let mut registry = lock(&self.rollouts);
        if self.configured.load(Ordering::Acquire) < revision {
            registry.configure(now, &active.catalog, &active.names);
            self.configured.store(revision, Ordering::Release);
        }
    }

    /// Applies the active configuration again, so that newly received halts and
    /// steps take effect.
    pub fn reconfigure(&self, now: Instant, active: &ActiveConfiguration) {
        let mut registry = lock(&self.rollouts);
        if self.configured.load(Ordering::Acquire) <= active.catalog.revision {
            registry.configure(now, &active.catalog, &active.names);
            self.configured
                .store(active.catalog.revision, Ordering::Release);
        }
    }

    /// Returns whether a version is the candidate of a running roll-out.
    #[must_use]
    pub fn is_candidate(&self, model: key::Model, version: key::Version) -> bool {
        let registry = lock(&self.rollouts);
        registry
            .canary(model)
            .is_some_and(|canary| canary.candidate == version)
    }
}

/// Returns the number of instances that share the limits set for all of them together.
#[must_use]
pub fn instance_count(shared: &NodeState) -> u32 {
    let size = lock(&shared.member).view.size();
    u32::try_from(size.max(1)).unwrap_or(u32::MAX)
}

/// Merges the halts and steps that a peer has recorded.
pub fn merge_rollout_records(shared: &NodeState, records: &BTreeMap<String, rollout::Record>) {
    let now = shared.now();
    let mut has_changed = false;
    let mut registry = lock(&shared.versions.rollouts);
    for (model, record) in records {
        has_changed |= registry.merge_peer_record(now, model, record);
    }
    drop(registry);
    if has_changed {
        shared
            .versions
            .reconfigure(now, &shared.active_configuration());
    }
}

/// Merges the counts, quality and suspicions of a peer's digest.
pub fn merge_digest(
    shared: &NodeState,
    active: &ActiveConfiguration,
    digest: &fescuerack_wire::peer::Digest,
) {
    let versions = &shared.versions;
    let now = shared.now();
    lock(&versions.rollouts).merge(now, &digest.rollouts);
    lock(&versions.learner).merge(&active.catalog, &active.names, &digest.quality);
    lock(&versions.suspects).merge(now, &digest.suspects);
}

/// Returns the part of the state dump about versions.
pub fn state(shared: &NodeState) -> serde_json::Value {
    let active = shared.active_configuration();
    let versions = &shared.versions;
    let now = shared.now();
    let registry = lock(&versions.rollouts);
    let mut rollouts = BTreeMap::new();
    for model in active.catalog.rollouts.keys() {
        let name = active.names.models.name(model).to_string();
        let split = registry.version_split(now, model);
        let new_sessions = split.and_then(|split| split.candidate).map(|part| part.1);
        rollouts.insert(
            name.clone(),
            json!({
                "verdict": registry.verdict(now, model),
                "share_of_new_sessions": new_sessions,
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
        "quality": quality(shared, &active),
        "suspects": *lock(&versions.suspects),
        "ratings": {
            "available": lock(&versions.learner).can_rate(now),
            "waiting": versions.ratings.waiting(),
        },
    })
}

/// Returns, by class and version, the mean, lower bound and weight of the
/// quality estimate.
fn quality(
    shared: &NodeState,
    active: &ActiveConfiguration,
) -> BTreeMap<String, BTreeMap<String, [f64; 3]>> {
    let learner = lock(&shared.versions.learner);
    let mut classes = BTreeMap::new();
    for (class, entry) in &active.catalog.classes {
        let mut estimates = BTreeMap::new();
        let versions = entry.models.iter().filter_map(|model| {
            let versions = active.catalog.models.get(*model)?;
            Some(versions.iter().copied())
        });
        for version in versions.flatten() {
            let estimate = learner.estimate(&active.catalog, class, version);
            let bound = estimate.bound(0, 0.0, cascade::LOWER_BOUND_STANDARD_ERRORS);
            let name = active.names.versions.name(version).to_string();
            estimates.insert(name, [estimate.mean(), bound, estimate.weight()]);
        }
        classes.insert(active.names.classes.name(class).to_string(), estimates);
    }
    classes
}
