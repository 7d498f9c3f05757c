//! The sizes of the pools of engines, as the node that sums up the load of all nodes decides them
//! by [`pools`](fescuerack_core::gateway::pools). They are passed on in the answers to load reports.
//!
//! They are soft state. A node that hears nothing keeps the sizes it has, and a node that becomes the
//! one that decides continues from them. If it has just started, it takes them from the first report.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::load::Sums;
use fescuerack_core::gateway::pools::{Division, Pools, Queues, Share};
use fescuerack_core::gateway::{affinity, engine, load};
use fescuerack_core::num::float;
use prometheus::IntGaugeVec;
use serde::{Deserialize, Serialize};

use crate::server::Server;
use crate::view::View;

/// Target latency in milliseconds of routes that state none.
const DEFAULT_TARGET_MS: u64 = 2_000;

/// The share of one service in a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EncodedShare {
    /// Short hash of the service's name.
    service: u32,
    /// Share in ten-thousandths.
    parts: u16,
}

/// Pools of all services with engines.
#[derive(Debug, Default)]
pub struct EnginePools(RefCell<BTreeMap<u32, Division>>);

impl EnginePools {
    /// Returns the share of the servers of `service` that are for light prompts.
    #[must_use]
    pub fn share(&self, service: &str) -> Share {
        let divisions = self.0.borrow();
        let division = divisions.get(&service_id(service));
        division.map(Division::share).unwrap_or_default()
    }

    /// Returns all shares that are decided, to be passed on.
    #[must_use]
    pub fn shares(&self) -> Vec<EncodedShare> {
        let divisions = self.0.borrow();
        let shares = divisions.iter();
        shares
            .filter(|(_, division)| division.is_decided())
            .map(|(&service, division)| EncodedShare {
                service,
                parts: division.share().parts(),
            })
            .collect()
    }

    /// Adopts the shares that another node has decided. Returns whether any has changed.
    pub fn adopt(&self, shares: &[EncodedShare]) -> bool {
        let mut divisions = self.0.borrow_mut();
        let mut is_changed = false;
        for share in shares {
            let division = Division::with_share(Share::from_parts(share.parts));
            let before = divisions.insert(share.service, division);
            is_changed |= before.is_none_or(|before| before.share() != division.share());
        }
        is_changed
    }

    /// Adopts the shares in a report where this node has none. A node that starts as the one that
    /// decides would otherwise take all pools back to the default. Returns whether any has changed.
    pub fn adopt_missing(&self, shares: &[EncodedShare]) -> bool {
        let divisions = self.0.borrow();
        let is_missing = |share: &&EncodedShare| {
            let division = divisions.get(&share.service);
            !division.is_some_and(Division::is_decided)
        };
        let missing: Vec<EncodedShare> = shares.iter().filter(is_missing).copied().collect();
        drop(divisions);
        self.adopt(&missing)
    }

    /// Sets the gauge of the sizes, of services that are large enough for pools.
    pub fn update_gauge(&self, view: &View, gauge: &IntGaugeVec) {
        gauge.reset();
        for (name, servers) in engines(view) {
            let pools = Pools::new(identities(&servers), self.share(name));
            for (pool, is_light) in [("light", true), ("heavy", false)] {
                let in_pool = identities(&servers);
                let count = in_pool.filter(|id| pools.contains(*id, is_light)).count();
                let gauge = gauge.with_label_values(&[&**name, pool]);
                gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
            }
        }
    }

    /// Decides the shares by the load of all nodes on the engines. Returns whether any has changed.
    pub fn decide(&self, now: Instant, view: &View, engines: &Sums<engine::Load>) -> bool {
        let loads: HashMap<u32, engine::Load> = engines.iter().copied().collect();
        let mut is_changed = false;
        for (name, servers) in self::engines(view) {
            let Some(target_ms) = target_ms(view, name) else {
                continue;
            };
            let mut divisions = self.0.borrow_mut();
            let division = divisions.entry(service_id(name)).or_default();
            let queues = queues(&servers, division.share(), &loads);
            if division.observe(now, servers.len(), queues, target_ms) {
                is_changed = true;
                tracing::info!(
                    event = "pool-size",
                    service = &**name,
                    servers = servers.len(),
                    share = division.share().parts(),
                    light = queues.light,
                    heavy = queues.heavy,
                    light_ms = queues.light_ms
                );
            }
        }
        is_changed
    }
}

/// Returns the ready servers of the services with model engines.
fn engines(view: &View) -> BTreeMap<&Arc<str>, Vec<&Server>> {
    let mut engines: BTreeMap<&Arc<str>, Vec<&Server>> = BTreeMap::new();
    let Some(catalog) = &view.catalog else {
        return engines;
    };
    for server in view.servers.values().filter(|server| server.is_ready()) {
        let name = &server.entry.service;
        let service = catalog.services.get(name);
        if service.is_some_and(|service| service.slots.is_some()) {
            engines.entry(name).or_default().push(server);
        }
    }
    engines
}

fn identities(servers: &[&Server]) -> impl Iterator<Item = u64> {
    servers.iter().map(|server| server.identity)
}

/// Returns the least target latency in milliseconds of the routes whose models `service` runs; `None`
/// if it runs none.
fn target_ms(view: &View, service: &str) -> Option<f64> {
    let routes = view.catalog.as_ref()?.routes.iter();
    let routes = routes.filter(|route| {
        let mut destinations = route.destinations.iter();
        !route.models.is_empty() && destinations.any(|one| *one.service == *service)
    });
    let targets = routes.map(|route| route.target_latency_ms.unwrap_or(DEFAULT_TARGET_MS));
    let least = Duration::from_millis(targets.min()?);
    Some(least.as_secs_f64() * 1_000.0)
}

/// Returns the queues of the pools.
fn queues(servers: &[&Server], share: Share, loads: &HashMap<u32, engine::Load>) -> Queues {
    let pools = Pools::new(identities(servers), share);
    let in_pool = |is_light: bool| {
        let servers = servers.iter();
        let servers = servers.filter(move |server| pools.contains(server.identity, is_light));
        servers.map(|server| loads.get(&load::short_id(server.identity)).copied())
    };
    Queues {
        light: mean_reading(in_pool(true)),
        heavy: mean_reading(in_pool(false)),
        light_ms: mean_first_token_ms(in_pool(true)),
    }
}

fn mean_reading(loads: impl Iterator<Item = Option<engine::Load>>) -> f64 {
    let (count, sum) = loads.fold((0, 0.0), |(count, sum), load| {
        let reading = load.unwrap_or_default().reading;
        (count + 1, sum + f64::from(reading))
    });
    sum / float(count).max(1.0)
}

fn mean_first_token_ms(loads: impl Iterator<Item = Option<engine::Load>>) -> f64 {
    let means = loads.filter_map(|load| load?.first_token_ms());
    let (count, sum) = means.fold((0.0, 0.0), |(count, sum), mean| {
        (count + mean.count, sum + mean.count * mean.millis)
    });
    if count > 0.0 { sum / count } else { 0.0 }
}

fn service_id(name: &str) -> u32 {
    load::short_id(affinity::hash(name.as_bytes()))
}
