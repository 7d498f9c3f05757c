//! Follows the platform's list of instances.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fescuerack_client::Directory as _;
use fescuerack_config::{Catalog, key};
use fescuerack_core::attempt::budget;
use fescuerack_core::num;
use fescuerack_core::route::subset::Position;
use fescuerack_core::route::{self, Listed, State};
use fescuerack_wire::list::{Instance, Instances};

use crate::admission;
use crate::peers;
use crate::shared::{Force, Shared, lock};
use crate::stop::Stop;

/// Time between two readings of the list.
const PERIOD: Duration = Duration::from_millis(500);
/// Fleet under which the list shows the instances of fescuerack itself.
pub const OWN_FLEET: &str = "fescuerack";

/// Follows the list until `stop` is set.
pub fn follow(shared: &Arc<Shared>, stop: &Stop) {
    loop {
        match shared.directory.list() {
            Ok(list) => take_over(shared, list),
            // The last list stays in use: an outage of the list must not
            // empty the pools.
            Err(_) => shared.metrics.count("servers.list_failed"),
        }
        tick(shared);
        if stop.wait(PERIOD) {
            return;
        }
    }
}

fn take_over(shared: &Shared, list: Instances) {
    let force = shared.force();
    let mut listed = Vec::new();
    let mut peers = Vec::new();
    for instance in list.instances {
        if instance.fleet == OWN_FLEET {
            peers.push(instance);
            continue;
        }
        let (key, fleet) = shared.names(|names| {
            (
                names.servers.intern(&instance.id),
                names.fleets.intern(&instance.fleet),
            )
        });
        listed.push((key, server(instance, fleet, &force)));
    }
    peers.sort_by(|a, b| a.id.cmp(&b.id));
    let place = place(shared, &force, &peers);
    let mut routes = lock(&shared.routes);
    routes.set_position(place);
    routes.apply_list(shared.now(), listed);
    drop(routes);
    peers::observe(shared, &peers);
    shared.listed.store(true, Ordering::SeqCst);
}

/// Place of this process among all: by name, so that all agree.
fn place(shared: &Shared, force: &Force, peers: &[Instance]) -> Position {
    let own = &shared.settings.instance;
    let before = peers.iter().filter(|peer| peer.id < *own);
    Position {
        index: before.count(),
        instances: peers.len().max(1),
        size: num::whole(force.catalog.limit("route.subset")),
    }
}

fn server(instance: Instance, key: key::Fleet, force: &Force) -> Listed {
    let fleet = force.catalog.fleets.get(key);
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

/// Lets the decisions under load take note of time and configuration.
fn tick(shared: &Shared) {
    let force = shared.force();
    let catalog = &force.catalog;
    let now = shared.now();
    let places = shared.settings.limits.concurrency;
    shared.gate.set(admission::thresholds(places, catalog));
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
    let whole = |name| num::whole(catalog.limit(name));
    route::Thresholds {
        consecutive_failures: u32::try_from(whole("route.failures")).unwrap_or(u32::MAX),
        slow_factor: catalog.limit("route.slow"),
        max_ejected_share: catalog.limit("route.ejected-share"),
        ejection_ms: u64::try_from(whole("route.ejection-ms")).unwrap_or(u64::MAX),
    }
}
