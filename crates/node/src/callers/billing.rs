//! Billing of an answered request.

use std::sync::Arc;
use std::time::Duration;

use fescuerack_client::manifest;
use fescuerack_config::key;
use fescuerack_core::ledger::{Entry, Ticket};
use fescuerack_wire::chat::Usage;

use super::request::Call;
use crate::shared::{ActiveConfiguration, Shared};

/// What the steps of one request used; one entry bills them all.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spent {
    input_tokens: u64,
    output_tokens: u64,
    cost: u64,
}

impl Spent {
    /// Adds a step.
    pub fn add(&mut self, active: &ActiveConfiguration, version: key::Version, usage: Usage) {
        self.input_tokens += usage.prompt_tokens;
        self.output_tokens += usage.completion_tokens;
        self.cost += cost(active, version, usage);
    }

    /// Returns the cost of all steps in micro-euro.
    pub fn cost(self) -> u64 {
        self.cost
    }
}

/// Bills an answered completion with what its earlier steps spent; returns the
/// cost of all in micro-euro.
///
/// Called before the answer's end leaves for the caller, which waits a few
/// milliseconds until the entry is safe.
pub async fn completion(
    shared: &Arc<Shared>,
    active: &ActiveConfiguration,
    call: &Call,
    version: key::Version,
    usage: Usage,
    mut spent: Spent,
) -> u64 {
    spent.add(active, version, usage);
    let entry = Entry {
        request: shared.random_id(),
        version: active.names.versions.name(version).to_string(),
        input_tokens: spent.input_tokens,
        output_tokens: spent.output_tokens,
        cost: spent.cost,
        ..entry(active, call)
    };
    let ticket = shared.ledger.add(entry);
    keep(shared, ticket).await;
    spent.cost
}

/// Bills an answered call of a plain service under the identity `bill`.
pub async fn call(
    shared: &Arc<Shared>,
    active: &ActiveConfiguration,
    call: &Call,
    service: &str,
    bill: String,
) {
    let entry = Entry {
        request: bill,
        version: service.to_owned(),
        ..entry(active, call)
    };
    let ticket = shared.ledger.add_shared(entry);
    keep(shared, ticket).await;
}

/// Returns an entry that lacks what was used. Its identity is never the
/// caller's: two callers may choose the same one.
fn entry(active: &ActiveConfiguration, call: &Call) -> Entry {
    let organisation = active.names.organisations.name(call.organisation);
    Entry {
        organisation: organisation.to_string(),
        label: call.request.clone(),
        at: manifest::seconds(),
        requests: 1,
        ..Entry::default()
    }
}

/// Returns the cost of an answer in micro-euro.
fn cost(active: &ActiveConfiguration, version: key::Version, usage: Usage) -> u64 {
    let cost = active.catalog.versions[version].cost;
    cost.of(usage.prompt_tokens, usage.completion_tokens)
}

async fn keep(shared: &Arc<Shared>, ticket: Ticket) {
    let start = shared.now();
    let wait = Duration::from_millis(shared.settings.limits.ledger_wait_ms);
    if !shared.ledger.wait_durable(ticket, wait).await {
        shared.metrics.count("ledger.unsafe");
    }
    let waited = shared.now().since(start);
    shared.metrics.time("ledger.wait", waited);
    shared.metrics.count("callers.done");
}
