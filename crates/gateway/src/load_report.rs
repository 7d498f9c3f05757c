//! Messages of the [exchange](crate::load_exchange) of load, of attempt counts, of what servers
//! [state](crate::statements) and of requests that [crash](fescuerack_core::gateway::crash) them,
//! with the peers through hubs.
//!
//! These messages are the most frequent ones and consist of numbers, so they are encoded in binary
//! form.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fescuerack_core::gateway::brittle::Shared;
use fescuerack_core::gateway::crash::Mark;
use fescuerack_core::gateway::engine;
use fescuerack_core::gateway::load::{self, Duty, Sums, Table};
use fescuerack_core::gateway::outlier::AttemptCounts;
use fescuerack_core::gateway::rank::Instance;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::clock::now;
use crate::engine_pools::EncodedShare;
use crate::evidence;
use crate::load_exchange::{Level, Report, Tables};
use crate::message;
use crate::node::Node;
use crate::statements::{self, Digest};

/// Path on which a hub receives the reports of the nodes of its group.
pub const MEMBER_PATH: &str = "/load/member";
/// Path on which the hub of a zone receives the reports of the hubs of its groups.
pub const GROUP_PATH: &str = "/load/group";
/// Path on which the top receives the reports of the hubs of the zones.
pub const ZONE_PATH: &str = "/load/zone";

/// Milliseconds between two reports of a node that has nothing to report.
const IDLE_INTERVAL_MS: u64 = 1_000;
/// Number of reports in a row that a hub may fail to answer.
const MAX_HUB_FAILURES: u32 = 2;

/// Role of this node, with the address of the node that it reports to.
enum Role {
    Member(SocketAddr),
    Hub(SocketAddr),
    ZoneHub(SocketAddr),
    Top,
}

/// Reports to the hub or to the top until the process ends.
pub async fn run(node: Rc<Node>) {
    // When a node that has nothing to report does so again, to hear of the others.
    let mut next_idle = now();
    loop {
        tokio::time::sleep(Duration::from_millis(load::REPORT_INTERVAL_MS)).await;
        let tables = local_tables(&node);
        let role = role(&node);
        // The first report after the last request is sent, so that the hub records that nothing is
        // running any more. A hub always reports, since its group may have load.
        let has_marks = node.suspects.borrow().has_marks(now());
        let is_empty = tables.load.is_empty() && tables.attempts.is_empty() && !has_marks;
        let is_idle = is_empty && matches!(role, Role::Member(_));
        if is_idle && now() < next_idle {
            continue;
        }
        let wait_ms = if is_idle { IDLE_INTERVAL_MS } else { 0 };
        next_idle = now().plus_millis(wait_ms);
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
                receive_own(&node, report);
                let group = sum(&node, Level::Group);
                if let Some(others) = send(&node, zone_hub, GROUP_PATH, &group).await {
                    node.load.receive_others(now(), Level::Group, others);
                }
            }
            Role::ZoneHub(top) => {
                receive_own(&node, report);
                let zone = zone_report(&node);
                if let Some(others) = send(&node, top, ZONE_PATH, &zone).await {
                    node.load.receive_others(now(), Level::Zone, others);
                }
                pass_to_group(&node);
            }
            Role::Top => {
                receive_own(&node, report);
                let zone = zone_report(&node);
                decide_pools(&node, &zone);
                let others = node.load.receive_report(now(), Level::Top, zone);
                node.load.receive_others(now(), Level::Zone, others);
                pass_to_group(&node);
            }
        }
    }
}

/// Decides the sizes of the pools of engines for all nodes. `zone` is the report of the node's own
/// zone, which it has not received on the top level yet.
fn decide_pools(node: &Node, zone: &Report) {
    node.load.receive_report(now(), Level::Top, zone.clone());
    let all = node.load.sum(now(), Level::Top);
    if node.pools.decide(now(), &node.view.borrow(), &all.engines) {
        update_pool_gauge(node);
    }
}

/// Updates the gauge of the sizes of pools.
pub fn update_pool_gauge(node: &Node) {
    let view = node.view.borrow();
    node.pools
        .update_gauge(&view, &node.metrics.servers.in_pool);
}

/// Records, as a hub, the report of this node itself, and applies what the others have reported.
fn receive_own(node: &Node, report: Report) {
    let others = node.load.receive_report(now(), Level::Group, report);
    apply_peer_sums(node, &others);
}

/// Returns the sum of what this node has received on `level`.
fn sum(node: &Node, level: Level) -> Report {
    Report {
        node: node.settings.borrow().instance.clone(),
        tables: node.load.sum(now(), level),
    }
}

/// Records the report of the node's own group, as the hub of the zone, and returns that of the
/// zone.
fn zone_report(node: &Node) -> Report {
    let group = sum(node, Level::Group);
    node.load.receive_report(now(), Level::Zone, group);
    sum(node, Level::Zone)
}

/// Passes what the hub of the zone has received to the node's own group.
fn pass_to_group(node: &Node) {
    let group = sum(node, Level::Group);
    let others = node.load.receive_report(now(), Level::Zone, group);
    node.load.receive_others(now(), Level::Group, others);
}

fn local_tables(node: &Node) -> Tables {
    Tables {
        load: local_load(node),
        attempts: node.load.local_attempts(now()),
        engines: local_engines(node),
    }
}

fn local_engines(node: &Node) -> Sums<engine::Load> {
    let view = node.view.borrow();
    let busy = view.servers.values().filter(|server| server.reading > 0);
    let reading = busy.map(|server| (load::short_id(server.identity), server.reading));
    node.load.local_engines(now(), reading)
}

/// Applies the sums of all peers: records their load and runs outlier detection.
fn apply_peer_sums(node: &Node, peers: &Tables) {
    let counts = node.load.receive_peers(now(), peers);
    detect_outliers(node, &counts);
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
        for server in node.load.detect_outliers(now(), &servers, counts) {
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

fn role(node: &Node) -> Role {
    let view = node.view.borrow();
    let settings = node.settings.borrow();
    let failed = node.failed_nodes.borrow();
    let is_there = |instance: &Instance| {
        let is_own = instance.name == settings.instance;
        is_own || !failed.contains(view.nodes[instance.name].address)
    };
    let nodes: Vec<_> = view.instances().filter(is_there).collect();
    match load::duty(&settings.instance, &nodes) {
        Duty::Member(hub) => Role::Member(view.nodes[hub].address),
        Duty::Hub(zone_hub) => Role::Hub(view.nodes[zone_hub].address),
        Duty::ZoneHub(top) => Role::ZoneHub(view.nodes[top].address),
        Duty::Top => Role::Top,
    }
}

/// Sends a report. A hub that fails twice in a row is passed over for a while, so that a node whose hub
/// is gone hears of the others through the next one.
async fn send(node: &Rc<Node>, address: SocketAddr, path: &str, report: &Report) -> Option<Tables> {
    match exchange(node, address, path, report).await {
        Ok(tables) => {
            node.load.record_report(address);
            Some(tables)
        }
        Err(error) => {
            tracing::info!(event = "hub-failed", peer = %address, path, reason = %error);
            if node.load.record_failure(address) >= MAX_HUB_FAILURES {
                node.failed_nodes.borrow_mut().record(address);
            }
            None
        }
    }
}

async fn exchange(
    node: &Rc<Node>,
    address: SocketAddr,
    path: &str,
    report: &Report,
) -> anyhow::Result<Tables> {
    let peer = address.to_string();
    let report = encode(node, &peer, report, &report.tables.engines)?;
    let answer = message::exchange(node, address, path, report, message::HEAD_TIMEOUT).await?;
    let message: Message<Tables> = decode(&answer)?;
    receive(node, &peer, &message);
    if node.pools.adopt(&message.engines.shares) {
        update_pool_gauge(node);
    }
    Ok(Tables {
        engines: message.engines.loads,
        ..message.tables
    })
}

/// Crashes as earlier versions of the program tell them: digest, servers and age.
type EarlierMarks = Vec<(u64, Vec<u32>, u64)>;

/// A report or the answer to one, with what follows it.
struct Message<T> {
    tables: T,
    stated: Digest,
    marks: Vec<Mark>,
    brittle: Vec<Shared>,
    engines: Engines,
}

/// The part of a message on model engines.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Engines {
    loads: Sums<engine::Load>,
    /// Sizes of the pools. Those in an answer replace the node's own, as it comes from a node nearer to
    /// the top. Those in a report count where the node has none.
    shares: Vec<EncodedShare>,
}

/// Encodes a report or the answer to one for `peer`, followed by what servers have stated, which
/// requests have crashed them, and the load of engines.
fn encode(
    node: &Node,
    peer: &str,
    tables: &impl Serialize,
    loads: &Sums<engine::Load>,
) -> anyhow::Result<Vec<u8>> {
    let bytes = postcard::to_stdvec(tables)?;
    let bytes = postcard::to_extend(&statements::digest(node, peer), bytes)?;
    let bytes = postcard::to_extend(&EarlierMarks::default(), bytes)?;
    let marks = node.suspects.change(|suspects| suspects.marks(now(), peer));
    let bytes = postcard::to_extend(&marks, bytes)?;
    let bytes = postcard::to_extend(&node.brittle.digest(), bytes)?;
    let engines = Engines {
        loads: loads.clone(),
        shares: node.pools.shares(),
    };
    Ok(postcard::to_extend(&engines, bytes)?)
}

/// Decodes a report or the answer to one, and what follows it. Earlier versions of the program send
/// crashes that they lay to all requests that ran there, which are ignored, or none, nor, before
/// that, statements; none says which services are brittle, nor what load engines have.
fn decode<T: DeserializeOwned>(bytes: &[u8]) -> anyhow::Result<Message<T>> {
    let (tables, rest) = postcard::take_from_bytes(bytes)?;
    let (stated, rest) = take_or_default(rest)?;
    let (_, rest): (EarlierMarks, _) = take_or_default(rest)?;
    let (marks, rest) = take_or_default(rest)?;
    let (brittle, rest) = take_or_default(rest)?;
    let (engines, _) = take_or_default(rest)?;
    Ok(Message {
        tables,
        stated,
        marks,
        brittle,
        engines,
    })
}

fn take_or_default<T: DeserializeOwned + Default>(bytes: &[u8]) -> anyhow::Result<(T, &[u8])> {
    if bytes.is_empty() {
        return Ok((T::default(), bytes));
    }
    Ok(postcard::take_from_bytes(bytes)?)
}

/// Receives what follows a report or the answer to one.
fn receive<T>(node: &Rc<Node>, source: &str, message: &Message<T>) {
    statements::receive(node, source, &message.stated);
    node.brittle.receive(source, &message.brittle);
    evidence::receive_marks(node, &message.marks);
}

/// Answers an encoded report on `path`.
///
/// # Errors
///
/// When the report cannot be decoded.
pub fn serve(node: &Rc<Node>, path: &str, report: &[u8]) -> anyhow::Result<Vec<u8>> {
    let message: Message<Report> = decode(report)?;
    let peer = message.tables.node.clone();
    receive(node, &peer, &message);
    if node.pools.adopt_missing(&message.engines.shares) {
        update_pool_gauge(node);
    }
    let mut report = message.tables;
    report.tables.engines = message.engines.loads;
    let level = match path {
        GROUP_PATH => Level::Zone,
        ZONE_PATH => Level::Top,
        _ => Level::Group,
    };
    let sum = node.load.receive_report(now(), level, report);
    encode(node, &peer, &sum, &sum.engines)
}
