//! Drives the roll-outs: evaluates them, reads their records from the store and
//! writes halts and steps to it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use bytes::Bytes;
use fescuerack_client::{Store as _, Swap};
use fescuerack_core::clock::Instant;
use fescuerack_core::rollout::{Record, Step, StoreWrite, record};

use crate::node_state::{NodeState, lock};
use crate::stop::Stop;

/// Interval between two evaluations of the roll-outs.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(500);
/// Interval in milliseconds between two reads of the store, one call each: 340
/// instances make 68 calls a second. Peers pass changes on sooner; the store
/// serves instances that were down or unreachable in the meantime.
const STORE_READ_INTERVAL_MS: u64 = 5_000;

/// State of the reads from the store.
#[derive(Default)]
struct StoreReads {
    /// Version of each record that was read, by its key.
    versions: BTreeMap<String, u64>,
    /// When the store is read next.
    next_at: Instant,
}

/// Evaluates the roll-outs until `stop` is set.
pub fn run(shared: &Arc<NodeState>, stop: &Stop) {
    let mut reads = StoreReads::default();
    while !stop.wait(EVALUATION_INTERVAL) {
        let active = shared.active_configuration();
        if active.catalog.revision == 0 {
            continue;
        }
        let now = shared.now();
        shared.versions.configure(now, &active);
        if now >= reads.next_at {
            reads.next_at = now.plus_millis(STORE_READ_INTERVAL_MS);
            if read_changed(shared, &mut reads).is_err() {
                shared.metrics.count("rollouts.store_failed");
            }
        }
        let instances = super::instance_count(shared);
        let mut registry = lock(&shared.versions.rollouts);
        registry.set_instances(instances);
        let writes = registry.decide(now);
        drop(registry);
        for store_write in writes {
            if perform(shared, &store_write).is_err() {
                shared.metrics.count("rollouts.store_failed");
            }
        }
    }
}

/// Reads the records that have changed since the last read.
fn read_changed(shared: &NodeState, reads: &mut StoreReads) -> Result<()> {
    let keys = shared.store.keys(record::KEY_PREFIX)?;
    for item in keys.items {
        if reads.versions.get(&item.key) == Some(&item.version) {
            continue;
        }
        let Some(model) = item.key.strip_prefix(record::KEY_PREFIX) else {
            continue;
        };
        read_record(shared, model)?;
        reads.versions.insert(item.key.clone(), item.version);
    }
    lock(&shared.versions.rollouts).mark_informed();
    Ok(())
}

/// Reads and merges one record; returns it with its version in the store.
fn read_record(shared: &NodeState, model: &str) -> Result<(u64, Record)> {
    let value = shared.store.get(&record::key(model))?;
    let Some(value) = value else {
        return Ok((0, Record::default()));
    };
    let found: Record = serde_json::from_slice(&value.bytes).context("parse a roll-out record")?;
    merge(shared, model, &found);
    Ok((value.version, found))
}

/// Merges a record that stands in the store into the registry.
fn merge(shared: &NodeState, model: &str, found: &Record) {
    let now = shared.now();
    let mut registry = lock(&shared.versions.rollouts);
    registry.set_stored_record(model, found);
    let has_changed = registry.merge_stored_record(now, model, found);
    drop(registry);
    if has_changed {
        log::info!(model = model; "merged new halts or steps from the store's roll-out record");
        shared
            .versions
            .reconfigure(now, &shared.active_configuration());
    }
}

fn perform(shared: &NodeState, store_write: &StoreWrite) -> Result<()> {
    match store_write {
        StoreWrite::Halts(model) => {
            shared.metrics.count("rollouts.halts_to_keep");
            write(shared, model, None)
        }
        StoreWrite::Step {
            model,
            candidate,
            step,
        } => {
            // All instances decide this step at about the same time and one
            // write is enough: each writes with probability 1 / `instances`.
            let instances = super::instance_count(shared);
            if !shared.random().is_multiple_of(u64::from(instances)) {
                return Ok(());
            }
            write(shared, model, Some((candidate, *step)))
        }
    }
}

/// Swaps the local record of a model, and a step if given, into the store. A
/// lost answer does no harm: the record is read again, and both halts and steps
/// only ever increase.
fn write(shared: &NodeState, model: &str, step: Option<(&String, Step)>) -> Result<()> {
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
        log::info!(model = model; "wrote a roll-out record to the store");
        shared.metrics.count("rollouts.kept");
        merge(shared, model, &merged);
    }
    Ok(())
}
