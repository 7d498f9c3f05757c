//! Gives orders to model engines, one instance at a time for each fleet.
//!
//! The instance that ranks first for a fleet takes the fleet's lease in the
//! store, looks at what the engines have and orders what is missing. All that
//! it decides by stands in [`fescuerack_core::order`].

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fescuerack_client::order::FENCED;
use fescuerack_client::{Fault, Store as _, Swap};
use fescuerack_config::file::Kind;
use fescuerack_config::key;
use fescuerack_core::member;
use fescuerack_core::order::{self, Engine, GracePeriod, LeaseHolder, Permit, PlannedOrder};
use fescuerack_core::route::State;
use fescuerack_wire::order::{Action, Order};

use crate::shared::{ActiveConfiguration, Shared, lock};
use crate::stop::Stop;

/// Time between two rounds.
const PERIOD: Duration = Duration::from_secs(1);
/// Time within which an engine must say what it has.
const ASK: Duration = Duration::from_millis(300);
/// Time within which an engine must take an order; it loads afterwards.
const GIVE: Duration = Duration::from_secs(1);
/// Engines that are looked at in one round: at most about 10 KB of traffic, at
/// one instance for each fleet.
const LOOK: usize = 16;

/// One fleet's orders at this instance.
#[derive(Clone, Debug, Default)]
pub struct FleetOrders {
    holder: LeaseHolder,
    grace: GracePeriod,
    /// Engine after which the next round goes on.
    last: Option<key::Server>,
    /// What engines had when they were looked at.
    seen: BTreeMap<key::Server, BTreeSet<key::Version>>,
    given: u64,
}

/// An engine that can be ordered.
struct Target {
    server: key::Server,
    address: String,
}

/// Gives orders until `stop` is set.
pub fn run(shared: &Arc<Shared>, stop: &Stop) {
    let mut desks: BTreeMap<key::Fleet, FleetOrders> = BTreeMap::new();
    while !stop.wait(PERIOD) {
        let active = shared.active_configuration();
        let fleets = active.catalog.fleets.iter();
        for (fleet, _) in fleets.filter(|(_, fleet)| fleet.kind == Kind::Engine) {
            let desk = desks.entry(fleet).or_default();
            if hold(shared, &active, fleet, desk) {
                round(shared, &active, fleet, desk);
            }
        }
        *lock(&shared.orders) = desks
            .iter()
            .map(|(fleet, desk)| (*fleet, summary(shared, &active, desk)))
            .collect();
    }
}

/// What the state dump shows of one fleet.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Summary {
    held: bool,
    given: u64,
    loaded: BTreeMap<String, usize>,
}

fn summary(shared: &Shared, active: &ActiveConfiguration, desk: &FleetOrders) -> Summary {
    let mut loaded = BTreeMap::new();
    for version in desk.seen.values().flatten() {
        let name = active.names.versions.name(*version).to_string();
        *loaded.entry(name).or_insert(0) += 1;
    }
    Summary {
        held: desk.holder.is_held(shared.now()),
        given: desk.given,
        loaded,
    }
}

/// Takes or renews the lease; returns whether it is held.
fn hold(
    shared: &Shared,
    active: &ActiveConfiguration,
    fleet: key::Fleet,
    desk: &mut FleetOrders,
) -> bool {
    let now = shared.now();
    if let Some(lease) = desk.holder.renewal_due(now) {
        match shared.store.renew(lease) {
            Ok(_) => desk.holder.renew(now),
            Err(Fault::Refused { .. }) => desk.holder.clear(),
            // Nothing is known: the lease runs on as it was counted.
            Err(_) => shared.metrics.count("orders.store_failed"),
        }
    }
    if desk.holder.is_held(now) {
        return true;
    }
    desk.holder.clear();
    let name = active.names.fleets.name(fleet);
    let ranks_first = {
        let member = lock(&shared.member);
        let key = format!("order/{name}");
        member::owner(key.as_bytes(), member.view.live(now))
            == Some(shared.settings.instance.as_str())
    };
    if ranks_first && take(shared, name, desk).is_err() {
        shared.metrics.count("orders.store_failed");
    }
    desk.holder.is_held(shared.now())
}

fn take(shared: &Shared, fleet: &str, desk: &mut FleetOrders) -> Result<(), Fault> {
    let sent = shared.now();
    let lease = shared
        .store
        .grant(Duration::from_millis(order::LEASE_TTL_MS))?;
    let holder = Bytes::from(shared.settings.instance.clone());
    // The key goes when the lease lapses; its version is the fencing number,
    // because the store numbers all writes in one row. A lost answer leaves a
    // key under a lease that nobody renews, which lapses by itself.
    let key = format!("order/{fleet}");
    if let Swap::Swapped(number) = shared.store.swap(&key, 0, holder, Some(lease.id))? {
        desk.holder.acquire(sent, lease.id, number);
        shared.metrics.count("orders.taken");
        log::info!(fleet, number; "gives orders to the fleet's engines");
    }
    Ok(())
}

/// Looks at some engines and orders what is missing.
fn round(shared: &Shared, active: &ActiveConfiguration, fleet: key::Fleet, desk: &mut FleetOrders) {
    let targets = targets(shared, fleet);
    let known: BTreeSet<key::Server> = targets.iter().map(|target| target.server).collect();
    desk.seen.retain(|server, _| known.contains(server));
    look(shared, active, &targets, desk);
    let wanted: BTreeSet<key::Version> = active.catalog.fleets[fleet]
        .versions
        .iter()
        .copied()
        .collect();
    let engines: Vec<Engine> = desk
        .seen
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
    let unload = desk.grace.update(shared.now(), &idle);
    let loads = loads(active);
    let fences = active.catalog.fleets[fleet].fences;
    for plan in order::plan(&wanted, &unload, &engines, loads) {
        let Some(permit) = desk.holder.permit(shared.now(), fences) else {
            return;
        };
        give(shared, active, &targets, permit, plan, desk);
    }
}

/// Loads that one round may order: the weight store's rate is for all fleets.
fn loads(active: &ActiveConfiguration) -> usize {
    let fleets = active.catalog.fleets.values();
    let engines = fleets.filter(|fleet| fleet.kind == Kind::Engine).count();
    let limit = fescuerack_core::num::whole(active.catalog.limit("orders.loads-per-second"));
    (limit / engines.max(1)).max(1)
}

fn targets(shared: &Shared, fleet: key::Fleet) -> Vec<Target> {
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

fn look(shared: &Shared, active: &ActiveConfiguration, targets: &[Target], desk: &mut FleetOrders) {
    let start = targets.partition_point(|target| Some(target.server) <= desk.last);
    let turn = targets[start..].iter().chain(&targets[..start]).take(LOOK);
    for target in turn {
        desk.last = Some(target.server);
        let Ok(loaded) = fescuerack_client::order::loaded(&shared.upstream, &target.address, ASK)
        else {
            desk.seen.remove(&target.server);
            shared.metrics.count("orders.look_failed");
            continue;
        };
        let names = loaded.versions.iter();
        let versions = names.filter_map(|name| active.names.versions.get(name));
        desk.seen.insert(target.server, versions.collect());
    }
}

fn give(
    shared: &Shared,
    active: &ActiveConfiguration,
    targets: &[Target],
    permit: Permit,
    plan: PlannedOrder,
    desk: &mut FleetOrders,
) {
    let (server, version, action) = match plan {
        PlannedOrder::Load(server, version) => (server, version, Action::Load),
        PlannedOrder::Unload(server, version) => (server, version, Action::Unload),
    };
    let Some(target) = targets.iter().find(|target| target.server == server) else {
        return;
    };
    let order = Order {
        number: permit.fencing_token,
        action,
        version: active.names.versions.name(version).to_string(),
    };
    let now = shared.now();
    if !permit.is_valid(now) {
        return;
    }
    let within = permit.deadline.since(now).min(GIVE);
    // A connection of its own: one that was idle could hold the order back.
    match fescuerack_client::order::give(
        &shared.single_use_upstream,
        &target.address,
        &order,
        within,
    ) {
        Ok(()) => {
            desk.given += 1;
            shared.metrics.count("orders.given");
            let loaded = desk.seen.entry(server).or_default();
            match action {
                Action::Load => loaded.insert(version),
                Action::Unload => loaded.remove(&version),
            };
        }
        Err(Fault::Refused { status, .. }) if status == FENCED => {
            // Somebody holds a higher number: this lease is no longer ours.
            shared.metrics.count("orders.fenced");
            desk.holder.clear();
        }
        Err(_) => {
            shared.metrics.count("orders.failed");
            desk.seen.remove(&server);
        }
    }
}
