//! `GET /state`: the dump of the process's state.
//!
//! The dump contains names, numbers and states, but no keys, no tokens and no
//! text of callers, so that it can be pasted into a bug report.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

use serde_json::json;

use crate::node_state::{NodeState, lock};
use crate::versions;

/// Returns the state of the process.
pub fn dump(shared: &NodeState) -> serde_json::Value {
    let admission = shared.gate.summary();
    let servers: Vec<_> = lock(&shared.routes)
        .iter()
        .map(|(_, server)| {
            json!({
                "id": server.id,
                "zone": server.zone,
                "address": server.address,
                "state": server.state,
                "in_flight": server.in_flight,
                "work": server.work,
                "health": server.health,
                "first_s": server.first_token.value,
            })
        })
        .collect();
    json!({
        "instance": shared.settings.instance,
        "zone": shared.settings.zone,
        "incarnation": shared.incarnation,
        "ready": shared.is_ready(),
        "draining": shared.draining.load(Ordering::SeqCst),
        "configuration": shared.configuration.state(),
        "admission": admission,
        "route": {"servers": servers},
        "member": member(shared),
        "claims": {"backlog": shared.claims.backlog()},
        "ledger": shared.ledger.state(),
        "store": shared.store.call_counts(),
        "orders": orders(shared),
        "versions": versions::state(shared),
        "counters": shared.metrics.counters(),
    })
}

fn member(shared: &NodeState) -> serde_json::Value {
    let now = shared.now();
    let member = lock(&shared.member);
    let instances: Vec<_> = member
        .view
        .iter()
        .map(|(key, instance)| {
            json!({
                "id": instance.id,
                "zone": instance.zone,
                "address": instance.address,
                "state": instance.state,
                "listed": instance.listed,
                "live": member.view.is_live(now, key),
                "heard_ms_ago": instance.last_received.map(|at| now.since(at).as_millis()),
                "failures": instance.failures,
            })
        })
        .collect();
    json!({
        "instances": instances,
        "hashes": member.replica.hashes(),
    })
}

fn orders(shared: &NodeState) -> BTreeMap<String, crate::orders::Summary> {
    let active = shared.active_configuration();
    let orders = lock(&shared.orders);
    let named = orders.iter().map(|(fleet, summary)| {
        let name = active.names.fleets.name(*fleet).to_string();
        (name, summary.clone())
    });
    named.collect()
}
