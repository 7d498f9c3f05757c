//! Follows the platform's list of instances.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fescuerack_core::route::{self, State};
use fescuerack_platform::Directory as _;
use fescuerack_wire::list::{Instance, Instances};

use crate::peers;
use crate::shared::{Shared, lock};
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
        if stop.wait(PERIOD) {
            return;
        }
    }
}

fn take_over(shared: &Shared, list: Instances) {
    let force = shared.force();
    let mut listed = BTreeSet::new();
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
        let retired = force
            .catalog
            .fleets
            .get(fleet)
            .is_some_and(|fleet| fleet.retired.contains(&instance.id));
        listed.insert(key);
        lock(&shared.routes).observe(key, server(instance, fleet, retired));
    }
    lock(&shared.routes).retain(&listed);
    peers::observe(shared, &peers);
    shared.listed.store(true, Ordering::SeqCst);
}

fn server(instance: Instance, fleet: fescuerack_core::key::Fleet, retired: bool) -> route::Server {
    route::Server {
        id: instance.id,
        fleet,
        zone: instance.zone,
        address: instance.address,
        state: if retired {
            State::Leaving
        } else {
            instance.state
        },
        in_flight: 0,
    }
}
