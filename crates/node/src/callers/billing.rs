//! Billing of an answered request.

use std::sync::Arc;
use std::time::Duration;

use fescuerack_client::manifest;
use fescuerack_config::key;
use fescuerack_core::ledger::{Entry, Ticket};
use fescuerack_wire::chat::Usage;

use super::request::Call;
use crate::node_state::{ActiveConfiguration, NodeState};

/// Tokens and cost of the steps of one request, which one ledger entry bills.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spent {
    input_tokens: u64,
    output_tokens: u64,
    cost: u64,
}

impl Spent {
    /// Adds the usage of a step.
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

/// Bills an answered completion together with its earlier steps; returns the
/// cost of all steps in micro-euro.
///
/// Called before the end of the answer is sent: the caller waits a few
/// milliseconds until the entry is durable.
pub async fn completion(
    shared: &Arc<NodeState>,
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
    wait_until_durable(shared, ticket).await;
    spent.cost
}

/// Bills an answered call of a plain service under the identity `billing_id`.
pub async fn call(
    shared: &Arc<NodeState>,
    active: &ActiveConfiguration,
    call: &Call,
    service: &str,
    billing_id: String,
) {
    let entry = Entry {
        request: billing_id,
        version: service.to_owned(),
        ..entry(active, call)
    };
    let ticket = shared.ledger.add_shared(entry);
    wait_until_durable(shared, ticket).await;
}

/// Returns an entry without usage. The caller's request identifier is only its
/// label, never its identity, because two callers may choose the same one.
fn entry(active: &ActiveConfiguration, call: &Call) -> Entry {
    let organisation = active.names.organisations.name(call.organisation);
    Entry {
        organisation: organisation.to_string(),
        label: call.request.clone(),
        at: manifest::unix_seconds(),
        requests: 1,
        ..Entry::default()
    }
}

/// Returns the cost of an answer in micro-euro.
fn cost(active: &ActiveConfiguration, version: key::Version, usage: Usage) -> u64 {
    let cost = active.catalog.versions[version].cost;
    cost.for_tokens(usage.prompt_tokens, usage.completion_tokens)
}

/// Waits until an entry is durable, up to `ledger_wait_ms`.
async fn wait_until_durable(shared: &Arc<NodeState>, ticket: Ticket) {
    let start = shared.now();
    let wait = Duration::from_millis(shared.settings.limits.ledger_wait_ms);
    if !shared.ledger.wait_durable(ticket, wait).await {
        shared.metrics.count("ledger.unsafe");
    }
    let waited = shared.now().since(start);
    shared.metrics.time("ledger.wait", waited);
    shared.metrics.count("callers.done");
}
