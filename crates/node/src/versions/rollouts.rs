//! Follows the roll-outs: judges, reads the records of the store and writes
//! what is to last.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use bytes::Bytes;
use fescuerack_client::{Store as _, Swap};
use fescuerack_core::clock::Instant;
use fescuerack_core::rollout::{Record, Step, StoreWrite, record};

use crate::shared::{Shared, lock};
use crate::stop::Stop;

/// Time between two judgements.
const PERIOD: Duration = Duration::from_millis(500);
/// Milliseconds between two looks at the store, one call each: 340 instances
/// make 68 a second. Peers are faster; the store is for those who were away.
const READ_MS: u64 = 5_000;

/// What was read of the store.
#[derive(Default)]
struct Seen {
    versions: BTreeMap<String, u64>,
    read_at: Instant,
}

/// Follows the roll-outs until `stop` is set.
pub fn run(shared: &Arc<Shared>, stop: &Stop) {
    let mut seen = Seen::default();
    while !stop.wait(PERIOD) {
        let force = shared.force();
        if force.catalog.revision == 0 {
            continue;
        }
        let now = shared.now();
        shared.versions.configure(now, &force);
        if now >= seen.read_at {
            seen.read_at = now.plus_millis(READ_MS);
            if read(shared, &mut seen).is_err() {
                shared.metrics.count("rollouts.store_failed");
            }
        }
        let instances = super::instances(shared);
        let mut registry = lock(&shared.versions.rollouts);
        registry.set_instances(instances);
        let acts = registry.decide(now);
        drop(registry);
        for act in acts {
            if perform(shared, &act).is_err() {
                shared.metrics.count("rollouts.store_failed");
            }
        }
    }
}

/// Reads the records that have changed.
fn read(shared: &Shared, seen: &mut Seen) -> Result<()> {
    let keys = shared.store.keys(record::PREFIX)?;
    for item in keys.items {
        if seen.versions.get(&item.key) == Some(&item.version) {
            continue;
        }
        let Some(model) = item.key.strip_prefix(record::PREFIX) else {
            continue;
        };
        read_record(shared, model)?;
        seen.versions.insert(item.key.clone(), item.version);
    }
    lock(&shared.versions.rollouts).mark_informed();
    Ok(())
}

/// Reads one record and takes it over; returns it with its version.
fn read_record(shared: &Shared, model: &str) -> Result<(u64, Record)> {
    let value = shared.store.get(&record::key(model))?;
    let Some(value) = value else {
        return Ok((0, Record::default()));
    };
    let found: Record = serde_json::from_slice(&value.bytes).context("a roll-out's record")?;
    take_over(shared, model, &found);
    Ok((value.version, found))
}

fn take_over(shared: &Shared, model: &str, found: &Record) {
    let now = shared.now();
    let mut registry = lock(&shared.versions.rollouts);
    registry.set_stored_record(model, found);
    let news = registry.merge_stored_record(now, model, found);
    drop(registry);
    if news {
        log::info!(model = model; "a roll-out's record was news");
        shared.versions.reconfigure(now, &shared.force());
    }
}

fn perform(shared: &Shared, act: &StoreWrite) -> Result<()> {
    match act {
        StoreWrite::Halts(model) => {
            shared.metrics.count("rollouts.halts_to_keep");
            write(shared, model, None)
        }
        StoreWrite::Step(model, candidate, step) => {
            // All instances come to this conclusion at about the same time and
            // one write is enough.
            let instances = super::instances(shared);
            if !shared.random().is_multiple_of(u64::from(instances)) {
                return Ok(());
            }
            write(shared, model, Some((candidate, *step)))
        }
    }
}

/// Swaps what is known of a model, and perhaps a step, into the store. An
/// answer that is lost is no matter: the record is read again, and both halts
/// and steps only rise.
fn write(shared: &Shared, model: &str, step: Option<(&String, Step)>) -> Result<()> {
    let (version, mut merged) = read_record(shared, model)?;
    merged.merge(&lock(&shared.versions.rollouts).record(model));
    if let Some((candidate, step)) = step {
        if merged.halted(candidate, step.word).is_some() {
            return Ok(());
        }
        merged.step(candidate, step);
    }
    let bytes = Bytes::from(serde_json::to_vec(&merged)?);
    let swapped = shared
        .store
        .swap(&record::key(model), version, bytes, None)?;
    if let Swap::Swapped(_) = swapped {
        log::info!(model = model; "a roll-out's record was kept");
        shared.metrics.count("rollouts.kept");
        take_over(shared, model, &merged);
    }
    Ok(())
}
