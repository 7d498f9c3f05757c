//! Plan of which versions the engines of a fleet load and unload.
//!
//! The version with the fewest copies is loaded first, so that the candidate of
//! a roll-out is loaded on one engine before the other versions are loaded on
//! all. The weight store limits how much is read at a time. A burst of loads
//! after a zone returns would slow down every load, the urgent ones included,
//! so the plan contains only as many loads as the limit allows.
//!
//! An unload could cut an answer in progress, and a withdrawn version may have
//! to return quickly. Therefore only versions that the configuration no longer
//! names for the fleet are unloaded, and only after every answer must have
//! ended ([`GracePeriod`]).

use std::collections::{BTreeMap, BTreeSet};

use fescuerack_config::key;

use crate::clock::Instant;

/// One engine and the versions that it reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Backend server of the engine.
    pub server: key::Server,
    /// Versions that it has loaded or is loading.
    pub loaded: BTreeSet<key::Version>,
}

/// An order to be sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlannedOrder {
    /// Load a version.
    Load(key::Server, key::Version),
    /// Unload a version.
    Unload(key::Server, key::Version),
}

/// Versions that are no longer wanted, with the time at which each may be
/// unloaded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GracePeriod {
    due: BTreeMap<key::Version, Instant>,
}

impl GracePeriod {
    /// Milliseconds after which no answer of a version can be in progress: the
    /// longest deadline that a caller may request, and one minute until all
    /// instances have activated the configuration.
    pub const DURATION_MS: u64 = 11 * 60 * 1_000;

    /// Returns a grace period without versions.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records `idle`, the versions that are loaded somewhere and no longer
    /// wanted, and returns those whose grace period has passed.
    pub fn update(
        &mut self,
        now: Instant,
        idle: &BTreeSet<key::Version>,
    ) -> BTreeSet<key::Version> {
        self.due.retain(|version, _| idle.contains(version));
        for version in idle {
            let due = now.plus_millis(Self::DURATION_MS);
            self.due.entry(*version).or_insert(due);
        }
        let expired = self.due.iter().filter(|(_, due)| **due <= now);
        expired.map(|(version, _)| *version).collect()
    }
}

/// Returns the orders by which `engines` get all of `wanted` and drop `unload`,
/// with at most `max_loads` loads.
#[must_use]
pub fn plan(
    wanted: &BTreeSet<key::Version>,
    unload: &BTreeSet<key::Version>,
    engines: &[Engine],
    max_loads: usize,
) -> Vec<PlannedOrder> {
    let mut orders = Vec::new();
    for engine in engines {
        for version in engine.loaded.intersection(unload) {
            orders.push(PlannedOrder::Unload(engine.server, *version));
        }
    }
    let mut copies: BTreeMap<key::Version, usize> = BTreeMap::new();
    for version in wanted {
        let holders = engines
            .iter()
            .filter(|engine| engine.loaded.contains(version));
        copies.insert(*version, holders.count());
    }
    let mut missing: Vec<(key::Server, key::Version)> = engines
        .iter()
        .flat_map(|engine| {
            let missing = wanted.difference(&engine.loaded);
            missing.map(|version| (engine.server, *version))
        })
        .collect();
    for _ in 0..max_loads {
        let rarest = missing
            .iter()
            .enumerate()
            .min_by_key(|(_, (server, version))| (copies[version], *server, *version));
        let Some((index, (server, version))) = rarest.map(|(index, load)| (index, *load)) else {
            break;
        };
        missing.swap_remove(index);
        *copies.entry(version).or_insert(0) += 1;
        orders.push(PlannedOrder::Load(server, version));
    }
    orders
}
