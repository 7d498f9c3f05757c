//! Which versions the engines of a fleet should load or unload.
//!
//! Loads go first to what has fewest copies, so that a roll-out's candidate is
//! somewhere before it is everywhere. The weight store limits how much is read
//! at a time; a burst of loads after a zone's return would make every load
//! slow, the urgent one among them, so only as many are ordered as the limit
//! has room for.
//!
//! An unload could cut an answer that still runs, and a withdrawn version may
//! have to come back quickly. So only what the configuration no longer names
//! for the fleet is unloaded, and only after every answer must have ended
//! ([`GracePeriod`]).

use std::collections::{BTreeMap, BTreeSet};

use fescuerack_config::key;

use crate::clock::Instant;

/// One engine and what it says it has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// The engine.
    pub server: key::Server,
    /// Versions that it has or is loading.
    pub loaded: BTreeSet<key::Version>,
}

/// One order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlannedOrder {
    /// Load a version.
    Load(key::Server, key::Version),
    /// Unload a version.
    Unload(key::Server, key::Version),
}

/// Versions that are no longer wanted, with the time at which they may go.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GracePeriod {
    due: BTreeMap<key::Version, Instant>,
}

impl GracePeriod {
    /// Milliseconds after which no answer of a version can still run: the
    /// longest deadline that a caller may ask for, and a minute for what it
    /// takes until all instances have the configuration.
    pub const DURATION_MS: u64 = 11 * 60 * 1_000;

    /// Returns no versions.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes note of the versions that are loaded somewhere and not wanted,
    /// and returns those that may be unloaded.
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
        let passed = self.due.iter().filter(|(_, due)| **due <= now);
        passed.map(|(version, _)| *version).collect()
    }
}

/// Returns the orders that bring `engines` to have `wanted` and none of
/// `unload`, with at most `loads` loads.
#[must_use]
pub fn plan(
    wanted: &BTreeSet<key::Version>,
    unload: &BTreeSet<key::Version>,
    engines: &[Engine],
    loads: usize,
) -> Vec<PlannedOrder> {
    let mut orders = Vec::new();
    for engine in engines {
        for version in engine.loaded.intersection(unload) {
            orders.push(PlannedOrder::Unload(engine.server, *version));
        }
    }
    let mut copies: BTreeMap<key::Version, usize> = BTreeMap::new();
    for version in wanted {
        let having = engines
            .iter()
            .filter(|engine| engine.loaded.contains(version));
        copies.insert(*version, having.count());
    }
    let mut missing: Vec<(key::Server, key::Version)> = engines
        .iter()
        .flat_map(|engine| {
            let lacking = wanted.difference(&engine.loaded);
            lacking.map(|version| (engine.server, *version))
        })
        .collect();
    for _ in 0..loads {
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
