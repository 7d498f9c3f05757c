//! Sends orders to model engines to load and unload versions, from one instance
//! at a time for each fleet.
//!
//! The instance that ranks first for a fleet acquires the fleet's lease in the
//! store, polls the engines for their loaded versions and orders the missing
//! ones. [`fescuerack_core::order`] makes the decisions.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fescuerack_client::order::FENCED_STATUS;
use fescuerack_client::{Fault, Store as _, Swap};
use fescuerack_config::file::Kind;
use fescuerack_config::key;
use fescuerack_core::member;
use fescuerack_core::order::{self, Engine, GracePeriod, LeaseHolder, Permit, PlannedOrder};
use fescuerack_core::route::State;
use fescuerack_wire::order::{Action, EngineOrder};

use crate::node_state::{ActiveConfiguration, NodeState, lock};
use crate::stop::Stop;

/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Time within which an engine must report its loaded versions.
const POLL_TIMEOUT: Duration = Duration::from_millis(300);
/// Time within which an engine must accept an order. It loads afterwards.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);
/// Engines that are polled in one round. This limits the traffic of a round to
/// about 10 KB, at one instance for each fleet.
const MAX_POLLED_ENGINES: usize = 16;

/// Orders of this instance to the engines of one fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetOrders {
    holder: LeaseHolder,
    grace: GracePeriod,
    /// Engine that was polled last; the next round continues after it.
    last_polled: Option<key::Server>,
    /// Loaded versions of the engines, as last polled and with later orders.
    loaded: BTreeMap<key::Server, BTreeSet<key::Version>>,
    accepted_orders: u64,
}

/// An engine that orders can be sent to.
struct Target {
    server: key::Server,
    address: String,
}

/// Sends orders until `stop` is set.
pub fn run(shared: &Arc<NodeState>, stop: &Stop) {
    let mut all_orders: BTreeMap<key::Fleet, FleetOrders> = BTreeMap::new();
    while !stop.wait(ROUND_INTERVAL) {
        let active = shared.active_configuration();
        let fleets = active.catalog.fleets.iter();
        for (fleet, _) in fleets.filter(|(_, fleet)| fleet.kind == Kind::Engine) {
            let orders = all_orders.entry(fleet).or_default();
            if ensure_lease(shared, &active, fleet, orders) {
                run_round(shared, &active, fleet, orders);
            }
        }
        *lock(&shared.orders) = all_orders
            .iter()
            .map(|(fleet, orders)| (*fleet, summary(shared, &active, orders)))
            .collect();
    }
}

/// Summary of the orders of one fleet for the state dump.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Summary {
    held: bool,
    given: u64,
    loaded: BTreeMap<String, usize>,
}

fn summary(shared: &NodeState, active: &ActiveConfiguration, orders: &FleetOrders) -> Summary {
    let mut loaded = BTreeMap::new();
    for version in orders.loaded.values().flatten() {
        let name = active.names.versions.name(*version).to_string();
        *loaded.entry(name).or_insert(0) += 1;
    }
    Summary {
        held: orders.holder.is_held(shared.now()),
        given: orders.accepted_orders,
        loaded,
    }
}

/// Acquires or renews the lease; returns whether it is held.
fn ensure_lease(
    shared: &NodeState,
    active: &ActiveConfiguration,
    fleet: key::Fleet,
    orders: &mut FleetOrders,
) -> bool {
    let now = shared.now();
    if let Some(lease) = orders.holder.renewal_due(now) {
        match shared.store.renew(lease) {
            Ok(_) => orders.holder.renew(now),
            Err(Fault::Refused { .. }) => orders.holder.clear(),
            // The outcome is unknown: the lease keeps its previous expiry.
            Err(_) => shared.metrics.count("orders.store_failed"),
        }
    }
    if orders.holder.is_held(now) {
        return true;
    }
    orders.holder.clear();
    let name = active.names.fleets.name(fleet);
    let ranks_first = {
        let member = lock(&shared.member);
        let key = format!("order/{name}");
        member::owner(key.as_bytes(), member.view.live(now))
            == Some(shared.settings.instance.as_str())
    };
    if ranks_first && acquire_lease(shared, name, orders).is_err() {
        shared.metrics.count("orders.store_failed");
    }
    orders.holder.is_held(shared.now())
}

fn acquire_lease(shared: &NodeState, fleet: &str, orders: &mut FleetOrders) -> Result<(), Fault> {
    let sent_at = shared.now();
    let lease = shared
        .store
        .grant(Duration::from_millis(order::LEASE_TTL_MS))?;
    let holder = Bytes::from(shared.settings.instance.clone());
    // The store removes the key when the lease lapses. The version of the key
    // is the fencing token, because the store numbers all writes in one
    // sequence. If the answer is lost, the key stays under a lease that nobody
    // renews, which lapses by itself.
    let key = format!("order/{fleet}");
    if let Swap::Swapped(number) = shared.store.swap(&key, 0, holder, Some(lease.id))? {
        orders.holder.acquire(sent_at, lease.id, number);
        shared.metrics.count("orders.taken");
        log::info!(fleet, number; "acquired the lease for orders to the fleet's engines");
    }
    Ok(())
}

/// Polls some engines and sends the orders that are due.
fn run_round(
    shared: &NodeState,
    active: &ActiveConfiguration,
    fleet: key::Fleet,
    orders: &mut FleetOrders,
) {
    let targets = targets(shared, fleet);
    let known: BTreeSet<key::Server> = targets.iter().map(|target| target.server).collect();
    orders.loaded.retain(|server, _| known.contains(server));
    poll_engines(shared, active, &targets, orders);
    let wanted: BTreeSet<key::Version> = active.catalog.fleets[fleet]
        .versions
        .iter()
        .copied()
        .collect();
    let engines: Vec<Engine> = orders
        .loaded
        .iter()
        .map(|(server, loaded)| Engine {
            server: *server,
            loaded: loaded.clone(),
        })
        .collect();
    let idle = engines
        .iter()
        .flat_map(|engine| engine.loaded.difference(&wanted).copied())
        .collect();
    let unload = orders.grace.update(shared.now(), &idle);
    let max_loads = max_loads(active);
    let fences = active.catalog.fleets[fleet].fences;
    for plan in order::plan(&wanted, &unload, &engines, max_loads) {
        let Some(permit) = orders.holder.permit(shared.now(), fences) else {
            return;
        };
        send_order(shared, active, &targets, permit, plan, orders);
    }
}

/// Returns the number of loads that one round may order. The rate of the weight
/// store is shared by all fleets.
fn max_loads(active: &ActiveConfiguration) -> usize {
    let fleets = active.catalog.fleets.values();
    let engines = fleets.filter(|fleet| fleet.kind == Kind::Engine).count();
    let limit = fescuerack_core::num::whole(active.catalog.limit("orders.loads-per-second"));
    (limit / engines.max(1)).max(1)
}

fn targets(shared: &NodeState, fleet: key::Fleet) -> Vec<Target> {
    let routes = lock(&shared.routes);
    let mut targets: Vec<Target> = routes
        .iter()
        .filter(|(_, server)| server.fleet == fleet && server.state == State::Live)
        .map(|(key, server)| Target {
            server: key,
            address: server.address.clone(),
        })
        .collect();
    targets.sort_unstable_by_key(|target| target.server);
    targets
}

/// Polls the next [`MAX_POLLED_ENGINES`] engines for their loaded versions.
fn poll_engines(
    shared: &NodeState,
    active: &ActiveConfiguration,
    targets: &[Target],
    orders: &mut FleetOrders,
) {
    let start = targets.partition_point(|target| Some(target.server) <= orders.last_polled);
    let turn = targets[start..]
        .iter()
        .chain(&targets[..start])
        .take(MAX_POLLED_ENGINES);
    for target in turn {
        orders.last_polled = Some(target.server);
        let Ok(loaded) =
            fescuerack_client::order::fetch_loaded(&shared.upstream, &target.address, POLL_TIMEOUT)
        else {
            orders.loaded.remove(&target.server);
            shared.metrics.count("orders.look_failed");
            continue;
        };
        let names = loaded.versions.iter();
        let versions = names.filter_map(|name| active.names.versions.get(name));
        orders.loaded.insert(target.server, versions.collect());
    }
}

fn send_order(
    shared: &NodeState,
    active: &ActiveConfiguration,
    targets: &[Target],
    permit: Permit,
    plan: PlannedOrder,
    orders: &mut FleetOrders,
) {
    let (server, version, action) = match plan {
        PlannedOrder::Load(server, version) => (server, version, Action::Load),
        PlannedOrder::Unload(server, version) => (server, version, Action::Unload),
    };
    let Some(target) = targets.iter().find(|target| target.server == server) else {
        return;
    };
    let order = EngineOrder {
        fencing_token: permit.fencing_token,
        action,
        version: active.names.versions.name(version).to_string(),
    };
    let now = shared.now();
    if !permit.is_valid(now) {
        return;
    }
    let timeout = permit.deadline.since(now).min(ORDER_TIMEOUT);
    // Uses a new connection, because an idle one could delay the order.
    match fescuerack_client::order::send(
        &shared.single_use_upstream,
        &target.address,
        &order,
        timeout,
    ) {
        Ok(()) => {
            orders.accepted_orders += 1;
            shared.metrics.count("orders.given");
            let loaded = orders.loaded.entry(server).or_default();
            match action {
                Action::Load => loaded.insert(version),
                Action::Unload => loaded.remove(&version),
            };
        }
        Err(Fault::Refused { status, .. }) if status == FENCED_STATUS => {
            // Another instance has a higher fencing token, so this instance no
            // longer holds the lease.
            shared.metrics.count("orders.fenced");
            orders.holder.clear();
        }
        Err(_) => {
            shared.metrics.count("orders.failed");
            orders.loaded.remove(&server);
        }
    }
}
