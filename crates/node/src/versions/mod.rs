//! Versions as this process sees them: roll-outs, learnt quality, sessions and
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
use fescuerack_core::rollout::Board;
use fescuerack_core::session::Memory;
use fescuerack_core::{cascade, poison, rollout, session};
use serde_json::json;

use crate::shared::{Force, Shared, lock};

/// Sessions without a token that are remembered; about 4 MB.
const MOST_SESSIONS: usize = 40_000;

/// State of the slices that decide on versions.
pub struct Versions {
    /// Roll-outs.
    pub board: Mutex<Board>,
    /// Learnt quality.
    pub learner: Mutex<Learner>,
    /// Sessions without a token.
    pub sessions: Mutex<Memory>,
    /// Requests that crashed servers.
    pub suspects: Mutex<Suspects>,
    /// Answers to be rated.
    pub ratings: ratings::Desk,
    configured: AtomicU64,
}

impl Versions {
    /// Creates the state of one incarnation.
    #[must_use]
    pub fn new(incarnation: &str, platform: &str) -> Self {
        Self {
            board: Mutex::new(Board::new(incarnation)),
            learner: Mutex::new(Learner::new(incarnation)),
            sessions: Mutex::new(Memory::new(MOST_SESSIONS)),
            suspects: Mutex::new(Suspects::new()),
            ratings: ratings::Desk::new(platform),
            configured: AtomicU64::new(0),
        }
    }

    /// Takes over the configuration in force if it is new. Every choice calls
    /// this first: with an unconfigured board a candidate would look like an
    /// ordinary version.
    pub fn configure(&self, now: Instant, force: &Force) {
        let revision = force.catalog.revision;
        if self.configured.load(Ordering::Acquire) >= revision {
            return;
        }
        let mut board = lock(&self.board);
        if self.configured.load(Ordering::Acquire) < revision {
            board.configure(now, &force.catalog, &force.names);
            self.configured.store(revision, Ordering::Release);
        }
    }

    /// Puts halts and steps that were news in force.
    pub fn reconfigure(&self, now: Instant, force: &Force) {
        let mut board = lock(&self.board);
        if self.configured.load(Ordering::Acquire) <= force.catalog.revision {
            board.configure(now, &force.catalog, &force.names);
            self.configured
                .store(force.catalog.revision, Ordering::Release);
        }
    }

    /// Returns whether a version is the candidate of a running trial.
    #[must_use]
    pub fn is_candidate(&self, model: key::Model, version: key::Version) -> bool {
        let board = lock(&self.board);
        board
            .trial(model)
            .is_some_and(|trial| trial.candidate == version)
    }
}

/// What peers are told.
pub fn digests(
    shared: &Shared,
    force: &Force,
) -> (
    rollout::Digest,
    cascade::Digest,
    session::Digest,
    poison::Digest,
) {
    let versions = &shared.versions;
    let now = shared.now();
    (
        lock(&versions.board).digest(),
        lock(&versions.learner).digest(&force.names),
        lock(&versions.sessions).digest(&force.names),
        lock(&versions.suspects).digest(now),
    )
}

/// Takes over what a peer tells.
pub fn merge(shared: &Shared, force: &Force, digest: &fescuerack_wire::peer::Digest) {
    let versions = &shared.versions;
    let now = shared.now();
    let news = lock(&versions.board).merge(now, &digest.rollouts);
    if news {
        versions.reconfigure(now, force);
    }
    lock(&versions.learner).merge(&force.catalog, &force.names, &digest.quality);
    lock(&versions.sessions).merge(&force.names, &digest.sessions);
    lock(&versions.suspects).merge(now, &digest.suspects);
}

/// The state of the slices for the dump.
pub fn state(shared: &Shared) -> serde_json::Value {
    let force = shared.force();
    let versions = &shared.versions;
    let now = shared.now();
    let board = lock(&versions.board);
    let mut rollouts = BTreeMap::new();
    for model in force.catalog.rollouts.keys() {
        let name = force.names.models.name(model).to_string();
        let share = board.share(now, model);
        let part = share.and_then(|share| share.candidate).map(|part| part.1);
        rollouts.insert(
            name.clone(),
            json!({
                "verdict": board.verdict_of(now, model),
                "share_of_new_sessions": part,
                "trial": board.trial(model),
                "record": board.record(&name),
            }),
        );
    }
    let informed = board.is_informed();
    drop(board);
    json!({
        "informed": informed,
        "rollouts": rollouts,
        "quality": quality(shared, &force),
        "sessions": lock(&versions.sessions).len(),
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
