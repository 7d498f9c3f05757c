//! Billing of an answered request.

use std::sync::Arc;

use fescuerack_config::key;
use fescuerack_core::ledger::Entry;
use fescuerack_wire::chat::Usage;

use super::intake::Call;
use crate::shared::{Force, Shared, lock};

/// What the steps of one request used; one entry bills them all.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spent {
    input_tokens: u64,
    output_tokens: u64,
    cost: u64,
}

impl Spent {
    /// Adds a step.
    pub fn add(&mut self, force: &Force, version: key::Version, usage: Usage) {
        self.input_tokens += usage.prompt_tokens;
        self.output_tokens += usage.completion_tokens;
        self.cost += cost(force, version, usage);
    }

    /// Returns the cost of all steps in micro-euro.
    pub fn cost(self) -> u64 {
        self.cost
    }
}

/// Bills an answered completion with what its earlier steps spent; returns its cost in micro-euro.
///
/// Called before the answer's end leaves for the caller.
pub fn completion(
    shared: &Arc<Shared>,
    force: &Force,
    call: &Call,
    version: key::Version,
    usage: Usage,
    mut spent: Spent,
) -> u64 {
    spent.add(force, version, usage);
    let cost = spent.cost;
    keep(
        shared,
        Entry {
            request: call.request.clone(),
            organisation: force
                .names
                .organisations
                .name(call.organisation)
                .to_string(),
            version: force.names.versions.name(version).to_string(),
            input_tokens: spent.input_tokens,
            output_tokens: spent.output_tokens,
            cost,
        },
    );
    cost
}

/// Bills an answered call of a plain service.
pub fn call(shared: &Arc<Shared>, force: &Force, call: &Call, service: &str) {
    keep(
        shared,
        Entry {
            request: call.request.clone(),
            organisation: force
                .names
                .organisations
                .name(call.organisation)
                .to_string(),
            version: service.to_owned(),
            input_tokens: 0,
            output_tokens: 0,
            cost: 0,
        },
    );
}

/// Returns the cost of an answer in micro-euro.
fn cost(force: &Force, version: key::Version, usage: Usage) -> u64 {
    let cost = force.catalog.versions[version].cost;
    cost.of(usage.prompt_tokens, usage.completion_tokens)
}

fn keep(shared: &Arc<Shared>, entry: Entry) {
    lock(&shared.book).add(entry);
    shared.metrics.count("callers.done");
}
