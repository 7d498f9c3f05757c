//! Reads the load reports of model engines.
//!
//! Engines are read in turn, one per second. Control traffic may cost an
//! instance 5 KB per second, of which the exchange with peers, the list and the
//! configuration take 4.4 KB, and a report with its headers takes about 500
//! bytes. So each of 12 engines is read every 12 s. Longer intervals cost little:
//! with reports every 1, 6, 12 and 30 s, the time to first token of chat beside
//! long work stays the same, and the share of long work that ends in time falls
//! from 81% to between 77% and 79% (see the design page of routing). The choice
//! of servers gives an old report little weight and relies on the local count of
//! requests.

use std::sync::Arc;
use std::time::Duration;

use fescuerack_client::engine;
use fescuerack_config::file::Kind;
use fescuerack_config::key;
use fescuerack_core::clock::Instant;
use fescuerack_core::route::{self, score};
use fescuerack_wire::load;

use crate::node_state::{NodeState, lock};
use crate::stop::Stop;

/// Interval between two reads.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Time within which an engine must report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Reads load reports until `stop` is set.
pub fn run(shared: &Arc<NodeState>, stop: &Stop) {
    let mut last = None;
    while !stop.wait(READ_INTERVAL) {
        let Some((server, address)) = next_engine(shared, last) else {
            continue;
        };
        last = Some(server);
        match engine::load(&shared.upstream, &address, REPORT_TIMEOUT) {
            Ok(report) => {
                let now = shared.now();
                lock(&shared.routes).apply_report(now, server, to_score_report(now, &report));
            }
            Err(_) => shared.metrics.count("servers.load_failed"),
        }
    }
}

/// Returns the engine after `last` in the order of keys, and its address; starts
/// over after the last engine.
fn next_engine(shared: &NodeState, last: Option<key::Server>) -> Option<(key::Server, String)> {
    let active = shared.active_configuration();
    let fleets = active.catalog.fleets.iter();
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

fn to_score_report(now: Instant, report: &load::Report) -> score::Report {
    let age_us = report.age_ms.saturating_mul(1000);
    let adapters = report.adapters.iter();
    score::Report {
        at: Instant(now.0.saturating_sub(age_us)),
        work: report.work,
        adapters: adapters.map(|name| route::hash(name.as_bytes())).collect(),
        leaving: report.leaving,
        requests: report.running.saturating_add(report.waiting),
        ..score::Report::default()
    }
}
