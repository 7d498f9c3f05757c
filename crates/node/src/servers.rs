//! Polls the platform's list of instances and updates the table of backend
//! servers and the list of peers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fescuerack_client::Discovery as _;
use fescuerack_config::{Catalog, key};
use fescuerack_core::attempt::budget;
use fescuerack_core::num;
use fescuerack_core::route::subset::Position;
use fescuerack_core::route::{self, Listed, State};
use fescuerack_wire::discovery::{Instances, ListedInstance};

use crate::admission;
use crate::node_state::{ActiveConfiguration, NodeState, lock};
use crate::peers;
use crate::stop::Stop;

/// Interval between two reads of the list.
const LIST_INTERVAL: Duration = Duration::from_millis(500);
/// Fleet under which the list contains the instances of fescuerack itself.
pub const ROUTER_FLEET: &str = "fescuerack";

/// Polls the list until `stop` is set.
pub fn run(shared: &Arc<NodeState>, stop: &Stop) {
    loop {
        match shared.discovery.list() {
            Ok(list) => apply(shared, list),
            // The last list stays in use, so that an outage of the list does not
            // empty the pools.
            Err(_) => shared.metrics.count("servers.list_failed"),
        }
        update_thresholds(shared);
        if stop.wait(LIST_INTERVAL) {
            return;
        }
    }
}

fn apply(shared: &NodeState, list: Instances) {
    let active = shared.active_configuration();
    let mut listed = Vec::new();
    let mut peers = Vec::new();
    for instance in list.instances {
        if instance.fleet == ROUTER_FLEET {
            peers.push(instance);
            continue;
        }
        let (key, fleet) = shared.names(|names| {
            (
                names.servers.intern(&instance.id),
                names.fleets.intern(&instance.fleet),
            )
        });
        listed.push((key, server(instance, fleet, &active)));
    }
    peers.sort_by(|a, b| a.id.cmp(&b.id));
    let position = position(shared, &active, &peers);
    let mut routes = lock(&shared.routes);
    routes.set_position(position);
    routes.apply_list(shared.now(), listed);
    drop(routes);
    peers::observe(shared, &peers);
    shared.has_server_list.store(true, Ordering::SeqCst);
}

/// Returns the position of this process among all instances, in the order of
/// their names, so that all instances compute the same positions.
fn position(
    shared: &NodeState,
    active: &ActiveConfiguration,
    peers: &[ListedInstance],
) -> Position {
    let local = &shared.settings.instance;
    let before = peers.iter().filter(|peer| peer.id < *local);
    Position {
        index: before.count(),
        instances: peers.len().max(1),
        size: num::whole(active.catalog.limit("route.subset")),
    }
}

fn server(instance: ListedInstance, key: key::Fleet, active: &ActiveConfiguration) -> Listed {
    let fleet = active.catalog.fleets.get(key);
    let retired = fleet.is_some_and(|fleet| fleet.retired.contains(&instance.id));
    Listed {
        id: instance.id,
        fleet: key,
        zone: instance.zone,
        address: instance.address,
        state: if retired {
            State::Leaving
        } else {
            instance.state
        },
        slots: fleet.map_or(1, |fleet| fleet.slots),
    }
}

/// Updates admission, rate limits, retry budgets and routes with the present
/// time and configuration.
fn update_thresholds(shared: &NodeState) {
    let active = shared.active_configuration();
    let catalog = &active.catalog;
    let now = shared.now();
    let max_running = shared.settings.limits.concurrency;
    shared
        .gate
        .set_thresholds(admission::thresholds(max_running, catalog));
    let instances = lock(&shared.member).view.size();
    let mut rates = lock(&shared.rates);
    for (key, organisation) in &catalog.organisations {
        if let Some(rate) = organisation.rate {
            rates.register(now, key, rate, instances);
        }
    }
    rates.refresh(now, instances);
    drop(rates);
    lock(&shared.pools).set_thresholds(budget::Thresholds {
        retry_ratio: catalog.limit("attempt.retry-share"),
        max_saved: catalog.limit("attempt.retry-saved"),
        failing_share: catalog.limit("attempt.failing"),
    });
    let mut routes = lock(&shared.routes);
    routes.set_thresholds(thresholds(catalog));
    routes.tick(now);
}

fn thresholds(catalog: &Catalog) -> route::Thresholds {
    let integer = |name| num::whole(catalog.limit(name));
    route::Thresholds {
        consecutive_failures: u32::try_from(integer("route.failures")).unwrap_or(u32::MAX),
        slow_factor: catalog.limit("route.slow"),
        max_ejected_share: catalog.limit("route.ejected-share"),
        ejection_ms: u64::try_from(integer("route.ejection-ms")).unwrap_or(u64::MAX),
    }
}
