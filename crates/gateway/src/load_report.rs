//! Exchange of load and of attempt counts with the peers, through hubs.
//!
//! These messages are the most frequent ones and consist of numbers, so they are encoded in binary
//! form.
//!
//! [`load`] describes how hubs aggregate the reports, and
//! [`outlier`](fescuerack_core::gateway::outlier) what the attempt counts are used for.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fescuerack_core::gateway::load::{self, Duty, Hub, Table};
use fescuerack_core::gateway::outlier::AttemptCounts;
use serde::{Deserialize, Serialize};

use crate::clock::now;
use crate::message;
use crate::node::Node;

/// Path on which a hub receives the reports of the nodes of its group.
pub const MEMBER_PATH: &str = "/load/member";
/// Path on which the hub of a zone receives the reports of the hubs of its groups.
pub const GROUP_PATH: &str = "/load/group";
/// Path on which the top receives the reports of the hubs of the zones.
pub const ZONE_PATH: &str = "/load/zone";

/// Values of a node or a group, by backend server.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Tables {
    /// Load.
    load: Table,
    /// Packed counts of the attempts that ended within the window.
    attempts: Table,
}

/// The report of a node to its hub, of a hub to the hub of its zone, or of that one to the top.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// Name of the reporting node.
    node: String,
    tables: Tables,
}

/// Reports that a node has received on one of the levels.
#[derive(Clone, Debug, Default)]
pub struct Aggregator {
    load: Hub,
    attempts: Hub,
}

impl Aggregator {
    /// Records the report of a node and returns the sum of all others.
    fn receive_report(&mut self, report: Report) -> Tables {
        Tables {
            load: self.load.report(now(), &report.node, report.tables.load),
            attempts: self
                .attempts
                .report(now(), &report.node, report.tables.attempts),
        }
    }

    /// Returns the sum of all reports, to be reported to the next level.
    fn group_sum(&mut self) -> Tables {
        Tables {
            load: self.load.group_sum(now()),
            attempts: self.attempts.group_sum(now()),
        }
    }

    /// Records the sum of the other groups.
    fn receive_other_groups(&mut self, other_groups: Tables) {
        self.load.receive(now(), other_groups.load);
        self.attempts.receive(now(), other_groups.attempts);
    }
}

/// Role of this node, with the address of the node that it reports to.
enum Role {
    Member(SocketAddr),
    Hub(SocketAddr),
    ZoneHub(SocketAddr),
    Top,
}

/// Reports to the hub or to the top until the process ends.
pub async fn run(node: Rc<Node>) {
    let mut was_idle = true;
    loop {
        tokio::time::sleep(Duration::from_millis(load::REPORT_INTERVAL_MS)).await;
        let tables = local_tables(&node);
        let role = role(&node);
        // The first report after the last request is sent, so that the hub records that nothing is
        // running any more. A hub always reports, since its group may have load.
        let is_empty = tables.load.is_empty() && tables.attempts.is_empty();
        let is_idle = is_empty && matches!(role, Role::Member(_));
        if is_idle && was_idle {
            continue;
        }
        was_idle = is_idle;
        let report = Report {
            node: node.settings.borrow().instance.clone(),
            tables,
        };
        match role {
            Role::Member(hub) => {
                if let Some(others) = send(&node, hub, MEMBER_PATH, &report).await {
                    apply_peer_sums(&node, &others);
                }
            }
            Role::Hub(zone_hub) => {
                apply_peer_sums(&node, &receive_member_report(&node, report));
                let group = group_report(&node);
                if let Some(other_groups) = send(&node, zone_hub, GROUP_PATH, &group).await {
                    node.hub.borrow_mut().receive_other_groups(other_groups);
                }
            }
            Role::ZoneHub(top) => {
                apply_peer_sums(&node, &receive_member_report(&node, report));
                let zone = zone_report(&node);
                if let Some(other_zones) = send(&node, top, ZONE_PATH, &zone).await {
                    node.zone_hub.borrow_mut().receive_other_groups(other_zones);
                }
                receive_from_zone(&node);
            }
            Role::Top => {
                apply_peer_sums(&node, &receive_member_report(&node, report));
                let zone = zone_report(&node);
                let other_zones = node.top.borrow_mut().receive_report(zone);
                node.zone_hub.borrow_mut().receive_other_groups(other_zones);
                receive_from_zone(&node);
            }
        }
    }
}

fn local_tables(node: &Node) -> Tables {
    Tables {
        load: local_load(node),
        attempts: node.attempt_counts.borrow_mut().table(now()),
    }
}

/// Applies the sums of all peers: records their load and runs outlier detection.
fn apply_peer_sums(node: &Node, peers: &Tables) {
    node.peer_load.borrow_mut().receive(now(), &peers.load);
    let local = node.attempt_counts.borrow_mut().table(now());
    let mut sums: HashMap<u32, u32> = HashMap::new();
    for &(server, counts) in local.iter().chain(&peers.attempts) {
        let sum = sums.entry(server).or_default();
        *sum = sum.saturating_add(counts);
    }
    let counts = sums.into_iter();
    let counts = counts.map(|(server, counts)| (server, AttemptCounts::unpack(counts)));
    detect_outliers(node, &counts.collect());
}

/// Ejects the servers that fail more often than the others of their service and version.
///
/// A canary version is evaluated by [`rollout`](crate::rollout): if its only loaded server were
/// ejected here, it would no longer show how it behaves under load.
fn detect_outliers(node: &Node, counts: &HashMap<u32, AttemptCounts>) {
    if !counts.values().any(AttemptCounts::may_be_outlier) {
        return;
    }
    let view = node.view.borrow();
    // The maps are ordered, so that all nodes choose the same servers if not all can be ejected.
    let mut groups: BTreeMap<(&str, &str), BTreeMap<u32, &str>> = BTreeMap::new();
    for server in view.servers.values() {
        let entry = &server.entry;
        let group = groups.entry((&entry.service, &entry.version)).or_default();
        group.insert(load::short_id(server.identity), &server.entry.id);
    }
    for ((service, version), names) in groups {
        let servers: Vec<u32> = names.keys().copied().collect();
        for server in node.outliers.borrow_mut().detect(now(), &servers, counts) {
            tracing::warn!(
                event = "server-left-out-by-all",
                server = names[&server],
                service,
                version,
                failed = counts[&server].failed,
                of = counts[&server].all
            );
        }
    }
}

fn local_load(node: &Node) -> Table {
    let view = node.view.borrow();
    let busy = view.servers.values().filter(|server| server.work > 0.0);
    busy.map(|server| {
        (
            load::short_id(server.identity),
            load::hundredths(server.work),
        )
    })
    .collect()
}

fn group_report(node: &Node) -> Report {
    Report {
        node: node.settings.borrow().instance.clone(),
        tables: node.hub.borrow_mut().group_sum(),
    }
}

/// Records the report of the node's own group, as the hub of the zone, and returns that of the zone.
fn zone_report(node: &Node) -> Report {
    let group = group_report(node);
    let mut zone_hub = node.zone_hub.borrow_mut();
    zone_hub.receive_report(group);
    Report {
        node: node.settings.borrow().instance.clone(),
        tables: zone_hub.group_sum(),
    }
}

/// Passes what the hub of the zone has received to the node's own group.
fn receive_from_zone(node: &Node) {
    let group = group_report(node);
    let other_groups = node.zone_hub.borrow_mut().receive_report(group);
    node.hub.borrow_mut().receive_other_groups(other_groups);
}

fn role(node: &Node) -> Role {
    let view = node.view.borrow();
    let settings = node.settings.borrow();
    let nodes: Vec<_> = view.instances().collect();
    match load::duty(&settings.instance, &nodes) {
        Duty::Member(hub) => Role::Member(view.nodes[hub].address),
        Duty::Hub(zone_hub) => Role::Hub(view.nodes[zone_hub].address),
        Duty::ZoneHub(top) => Role::ZoneHub(view.nodes[top].address),
        Duty::Top => Role::Top,
    }
}

async fn send(node: &Node, address: SocketAddr, path: &str, report: &Report) -> Option<Tables> {
    match exchange(node, address, path, report).await {
        Ok(tables) => Some(tables),
        Err(error) => {
            tracing::info!(event = "hub-failed", peer = %address, path, reason = %error);
            None
        }
    }
}

async fn exchange(
    node: &Node,
    address: SocketAddr,
    path: &str,
    report: &Report,
) -> anyhow::Result<Tables> {
    let report = postcard::to_stdvec(report)?;
    let answer = message::exchange(node, address, path, report, message::HEAD_TIMEOUT).await?;
    Ok(postcard::from_bytes(&answer)?)
}

/// Answers an encoded report on `path`.
///
/// # Errors
///
/// When the report cannot be decoded.
pub fn serve(node: &Node, path: &str, report: &[u8]) -> anyhow::Result<Vec<u8>> {
    let report = postcard::from_bytes(report)?;
    let level = match path {
        GROUP_PATH => &node.zone_hub,
        ZONE_PATH => &node.top,
        _ => &node.hub,
    };
    let sum = level.borrow_mut().receive_report(report);
    Ok(postcard::to_stdvec(&sum)?)
}

/// Records, as a hub, the report of a node of the group and returns the sum of all other nodes.
fn receive_member_report(node: &Node, report: Report) -> Tables {
    node.hub.borrow_mut().receive_report(report)
}
