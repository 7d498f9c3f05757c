//! Reads the load that model engines report.
//!
//! One engine after the other, one a second: control may cost an instance 5 KB
//! a second, of which the exchange with peers, the list and the configuration
//! take 4.4, and a report with its headers takes about 500 bytes. So each of 12
//! engines is read every 12 s. That costs little: with reports every 1, 6, 12
//! and 30 s the first token of chat stays the same beside long work, and long
//! work in time goes from 81 to between 77 and 79 in 100 (design page of
//! routing). The choice of servers gives an old report little weight and
//! relies on the instance's own count.

use std::sync::Arc;
use std::time::Duration;

use fescuerack_client::engine;
use fescuerack_config::file::Kind;
use fescuerack_config::key;
use fescuerack_core::clock::Instant;
use fescuerack_core::route::{self, score};
use fescuerack_wire::load;

use crate::shared::{Shared, lock};
use crate::stop::Stop;

/// Time between two readings.
const PERIOD: Duration = Duration::from_secs(1);
/// Time within which an engine must report.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Reads reports until `stop` is set.
pub fn follow(shared: &Arc<Shared>, stop: &Stop) {
    let mut last = None;
    while !stop.wait(PERIOD) {
        let Some((server, address)) = after(shared, last) else {
            continue;
        };
        last = Some(server);
        match engine::load(&shared.upstream, &address, TIMEOUT) {
            Ok(report) => {
                let now = shared.now();
                lock(&shared.routes).apply_report(now, server, compiled(now, &report));
            }
            Err(_) => shared.metrics.count("servers.load_failed"),
        }
    }
}

/// Returns the engine whose turn comes after `last`.
fn after(shared: &Shared, last: Option<key::Server>) -> Option<(key::Server, String)> {
    let force = shared.force();
    let fleets = force.catalog.fleets.iter();
    let engines = fleets.filter(|(_, fleet)| fleet.kind == Kind::Engine);
    let routes = lock(&shared.routes);
    let mut servers: Vec<_> = engines
        .flat_map(|(fleet, _)| routes.usable(fleet).iter().copied())
        .collect();
    servers.sort_unstable();
    let next = servers.partition_point(|server| Some(*server) <= last);
    let server = servers.get(next).or(servers.first()).copied()?;
    Some((server, routes.get(server)?.address.clone()))
}

fn compiled(now: Instant, report: &load::Report) -> score::Report {
    let age = report.age_ms.saturating_mul(1000);
    let adapters = report.adapters.iter();
    score::Report {
        at: Instant(now.0.saturating_sub(age)),
        work: report.work,
        adapters: adapters.map(|name| route::hash(name.as_bytes())).collect(),
        leaving: report.leaving,
        requests: report.running.saturating_add(report.waiting),
        ..score::Report::default()
    }
}
