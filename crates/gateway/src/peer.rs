//! Exchange of state with peers, and the server for all messages from peers.
//!
//! The request of an exchange carries the revision of the sending node and its counts for running
//! roll-outs. The reply carries newer items and the sums of the counts that the other node has
//! received. Nodes exchange only in two cases:
//!
//! - The store does not answer: the node asks a random peer for newer items.
//! - A roll-out is running: once a second, each node reports to the collector of the service, which
//!   all nodes derive from the list of nodes in the same way.
//!
//! [`serve`] also answers the reports to hubs ([`load_report`]), the polls of nodes that follow
//! this one ([`updates`]), the question of a node that starts ([`initial_sync`]), and the requests for
//! large items ([`publisher`]) and [`snapshot`]s.

use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fescuerack_core::gateway::affinity;
use fescuerack_core::gateway::canary::{self, Counts, Stage};
use fescuerack_core::gateway::position::Position;
use fescuerack_core::gateway::session::Recent;
use http_body_util::{BodyExt as _, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use rand::RngExt as _;
use serde::{Deserialize, Serialize};

use crate::apply;
use crate::body::Paced;
use crate::clock::{age_ms, now};
use crate::evidence;
use crate::fetch;
use crate::initial_sync;
use crate::large::Notice;
use crate::load_report;
use crate::message::{self, Direction};
use crate::node::Node;
use crate::permits::Permit;
use crate::platform::Item;
use crate::publisher;
use crate::rollout;
use crate::snapshot;
use crate::trial;
use crate::updates;

/// Path of an exchange.
const PATH: &str = "/exchange";
/// Milliseconds between two reports on a running roll-out.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// What a node reports on a roll-out.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct RolloutReport {
    version: String,
    counts: Counts,
    /// Revision of the order, and milliseconds since it was given.
    #[serde(default)]
    order: (Position, u64),
    /// Servers of the version that crashed, by a short hash.
    #[serde(default)]
    crashed: BTreeSet<u32>,
    /// Sessions that stay on the old version although their hash would move them.
    #[serde(default)]
    sessions: Vec<u64>,
}

/// The request of an exchange.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct ExchangeRequest {
    node: String,
    revision: Position,
    wants_items: bool,
    /// Whether the node accepts notices of large items; earlier versions of the program do not.
    #[serde(default)]
    takes_notices: bool,
    /// Whether the node sends and understands positions; earlier versions of the program know
    /// revisions only.
    #[serde(default)]
    takes_positions: bool,
    rollouts: BTreeMap<String, RolloutReport>,
    /// Required by earlier versions of the program, which counted crashes here.
    suspects: Vec<(u64, u32)>,
}

/// The reply of an exchange.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct ExchangeReply {
    items: Vec<Item>,
    /// Notices of newer large items.
    #[serde(default)]
    large: Vec<Notice>,
    /// Whether these are positions, not revisions as earlier versions of the program send them.
    #[serde(default)]
    has_positions: bool,
    rollouts: BTreeMap<String, RolloutReport>,
    /// Required by earlier versions of the program, which counted crashes here.
    suspects: Vec<(u64, u32)>,
}

/// Asks a random peer for items that are newer than those of this node.
pub async fn catch_up(node: &Rc<Node>) {
    let peers = peers(node);
    if peers.is_empty() {
        return;
    }
    let pick = node.random.borrow_mut().random_range(0..peers.len());
    let (name, address) = &peers[pick];
    exchange(node, name, *address, true).await;
}

/// Reports the counts of running roll-outs to their collectors until the process ends.
pub async fn run(node: Rc<Node>) {
    loop {
        tokio::time::sleep(Duration::from_millis(REPORT_INTERVAL_MS)).await;
        let mut asked: Vec<SocketAddr> = Vec::new();
        for service in running_rollouts(&node) {
            let Some((name, address)) = collector(&node, &service) else {
                continue;
            };
            if !asked.contains(&address) {
                asked.push(address);
                exchange(&node, &name, address, false).await;
            }
        }
    }
}

/// Asks for the state of running roll-outs, once this node has read the store.
///
/// A node that starts during a roll-out has neither the time of its order nor the ongoing sessions,
/// and would move these to the new version until it receives them.
pub async fn join_rollouts(node: &Rc<Node>) {
    rollout::init_evidence(node);
    for service in running_rollouts(node) {
        match collector(node, &service) {
            Some((name, address)) => exchange(node, &name, address, false).await,
            // This node is the collector; any other node has some of the counts.
            None => catch_up(node).await,
        }
    }
}

/// Returns the services with a roll-out that is neither completed nor rolled back.
fn running_rollouts(node: &Node) -> Vec<Arc<str>> {
    let view = node.view.borrow();
    let running = view.orders.values().filter(|order| {
        order
            .progress
            .is_none_or(|progress| progress == crate::platform::Progress::Running)
    });
    running.map(|order| order.rollout.service.clone()).collect()
}

/// Returns the collector, the node that sums up the counts of a service; `None` if it is this node.
#[must_use]
pub fn collector(node: &Node, service: &str) -> Option<(String, SocketAddr)> {
    let view = node.view.borrow();
    let local = node.settings.borrow().instance.clone();
    let salt = affinity::hash(service.as_bytes());
    let member = view.instances().max_by_key(|member| member.rank(salt))?;
    let address = view.nodes[member.name].address;
    (member.name != local).then(|| (member.name.to_owned(), address))
}

/// Returns whether this node is the collector of a service.
#[must_use]
pub fn is_collector(node: &Node, service: &str) -> bool {
    collector(node, service).is_none()
}

fn peers(node: &Node) -> Vec<(String, SocketAddr)> {
    let local = node.settings.borrow().instance.clone();
    let view = node.view.borrow();
    let peers = view.nodes.iter().filter(|(name, _)| **name != local);
    peers
        .map(|(name, peer)| (name.clone(), peer.address))
        .collect()
}

async fn exchange(node: &Rc<Node>, name: &str, address: SocketAddr, wants_items: bool) {
    let request = exchange_request(node, wants_items);
    match message::send(node, address, PATH, &request, message::HEAD_TIMEOUT).await {
        Ok(reply) => {
            apply_reply(node, name, &reply);
            if reply.has_positions {
                fetch::receive_notices(node, &reply.large, address);
            }
        }
        Err(error) => tracing::info!(event = "peer-failed", peer = name, reason = %error),
    }
}

fn exchange_request(node: &Node, wants_items: bool) -> ExchangeRequest {
    let evidence = node.evidence.borrow();
    let rollouts = evidence.iter().map(|(service, evidence)| {
        let report = RolloutReport {
            version: evidence.version.clone(),
            counts: rollout::local_counts(node, service, evidence),
            order: order_age(node, service),
            crashed: evidence.crashed.clone(),
            sessions: sticky_sessions(node, service, &node.recent_sessions.borrow()),
        };
        (service.to_string(), report)
    });
    ExchangeRequest {
        node: node.settings.borrow().instance.clone(),
        revision: node.view.borrow().revision,
        wants_items,
        takes_notices: true,
        takes_positions: true,
        rollouts: rollouts.collect(),
        suspects: Vec::new(),
    }
}

fn apply_reply(node: &Node, peer: &str, reply: &ExchangeReply) {
    if !reply.items.is_empty() && reply.has_positions {
        let mut view = node.view.borrow_mut();
        let mut applied = 0;
        for item in &reply.items {
            applied += u32::from(view.apply(now(), &*node.platform, item));
        }
        if applied > 0 {
            tracing::info!(
                event = "learned-from-peer",
                peer,
                news = applied,
                followed = %view.revision
            );
        }
    }
    apply::publish_view(node);
    let mut evidence = node.evidence.borrow_mut();
    for (service, report) in &reply.rollouts {
        if let Some(known) = evidence.get_mut(service.as_str())
            && known.version == report.version
        {
            known.reported_sum.clone_from(&report.counts);
            known.crashed.extend(&report.crashed);
            receive_sessions(node, &report.sessions);
            receive_order_age(node, service, report.order);
        }
    }
}

/// Returns the ongoing sessions among `recent` that the canary of `service` would move.
fn sticky_sessions(node: &Node, service: &str, recent: &Recent) -> Vec<u64> {
    let view = node.view.borrow();
    let Some(order) = view.orders.get(service) else {
        return Vec::new();
    };
    let canary = rollout::canary(node, order);
    recent.ongoing(now(), |session| canary.includes(Stage::Sampled, session))
}

/// Returns the revision of the order for `service`, and the milliseconds since the earliest time
/// that this node has recorded for it.
fn order_age(node: &Node, service: &str) -> (Position, u64) {
    let view = node.view.borrow();
    let order = view.orders.get(service);
    order.map_or((Position::ORIGIN, 0), |order| {
        (order.order_revision, age_ms(order.ordered_at))
    })
}

/// Records how long ago the order for `service` was given, as reported by a peer.
///
/// Otherwise a node that restarts during a roll-out would begin it again: it would send sessions
/// back to the old version, and decide after the time is over. The age of an earlier order is
/// ignored: otherwise a version that is ordered again would be rejected at once.
fn receive_order_age(node: &Node, service: &str, (order_revision, age_ms): (Position, u64)) {
    if let Some(order) = node.view.borrow_mut().orders.get_mut(service)
        && order.order_revision == order_revision
    {
        order.ordered_at = order.ordered_at.min(now().minus_millis(age_ms));
    }
}

fn receive_sessions(node: &Node, sessions: &[u64]) {
    let pause_ms = node.settings.borrow().session_ms;
    let mut peer_sessions = node.peer_sessions.borrow_mut();
    for &session in sessions {
        peer_sessions.record(now(), session, pause_ms);
    }
}

/// Answers a message from a peer.
///
/// # Errors
///
/// Never: a message that cannot be decoded is answered with an error status.
pub async fn serve(
    node: Rc<Node>,
    request: Request<Incoming>,
) -> Result<Response<Paced>, Infallible> {
    let path = request.uri().path().to_owned();
    let body = match Limited::new(request.into_body(), message::MAX_BYTES)
        .collect()
        .await
    {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            tracing::info!(event = "peer-message-broken", reason = %error);
            return Ok(status_response(StatusCode::BAD_REQUEST));
        }
    };
    let received = body.len();
    let mut permits = Vec::new();
    let answer = answer(&node, &path, &body, &mut permits).await;
    match answer {
        Ok(None) => Ok(status_response(StatusCode::NOT_FOUND)),
        Ok(Some(body)) => {
            node.messages.count_bytes(&path, Direction::In, received);
            node.messages.count_bytes(&path, Direction::Out, body.len());
            Ok(Response::new(Paced::new(body, permits)))
        }
        Err(error) => {
            tracing::warn!(event = "peer-message-unreadable", path, reason = %error);
            Ok(status_response(StatusCode::BAD_REQUEST))
        }
    }
}

/// Returns the body of the answer to a message, `None` if nothing is served on `path`, and adds the
/// permits that are held until it has been sent.
async fn answer(
    node: &Rc<Node>,
    path: &str,
    body: &[u8],
    permits: &mut Vec<Permit>,
) -> anyhow::Result<Option<Bytes>> {
    let answer = match path {
        PATH => serde_json::to_vec(&reply(node, serde_json::from_slice(body)?))?.into(),
        load_report::MEMBER_PATH | load_report::GROUP_PATH | load_report::ZONE_PATH => {
            load_report::serve(node, path, body)?.into()
        }
        initial_sync::PATH => initial_sync::serve(node, body)?.into(),
        trial::PATH => node.trials.serve(body).await?.into(),
        evidence::PATH => {
            evidence::receive(node, body)?;
            Bytes::new()
        }
        publisher::PATH => {
            let request = serde_json::from_slice(body)?;
            let (answer, permit) = publisher::serve(node, &request).await;
            permits.extend(permit);
            serde_json::to_vec(&answer)?.into()
        }
        updates::PATH => {
            let request = serde_json::from_slice(body)?;
            updates::serve(node, request).await?
        }
        snapshot::PATH => {
            let request = serde_json::from_slice(body)?;
            let (answer, acquired) = snapshot::serve(node, request).await?;
            permits.extend(acquired);
            answer
        }
        _ => return Ok(None),
    };
    Ok(Some(answer))
}

fn reply(node: &Node, request: ExchangeRequest) -> ExchangeReply {
    let mut evidence = node.evidence.borrow_mut();
    let mut rollouts = BTreeMap::new();
    for (service, report) in request.rollouts {
        let Some(known) = evidence.get_mut(service.as_str()) else {
            continue;
        };
        if known.version != report.version {
            continue;
        }
        known.peers.insert(request.node.clone(), report.counts);
        known.crashed.extend(&report.crashed);
        receive_sessions(node, &report.sessions);
        receive_order_age(node, &service, report.order);
        let mut sessions = sticky_sessions(node, &service, &node.recent_sessions.borrow());
        sessions.extend(sticky_sessions(
            node,
            &service,
            &node.peer_sessions.borrow(),
        ));
        let sum = RolloutReport {
            version: report.version,
            counts: sum_counts(&rollout::local_counts(node, &service, known), &known.peers),
            order: order_age(node, &service),
            crashed: known.crashed.clone(),
            sessions,
        };
        rollouts.insert(service, sum);
    }
    drop(evidence);
    let view = node.view.borrow();
    let wants_items = request.wants_items && request.takes_positions;
    let (items, large) = match (wants_items, request.takes_notices) {
        (false, _) => (Vec::new(), Vec::new()),
        (true, false) => (view.items_since(request.revision), Vec::new()),
        (true, true) => view.updates_since(request.revision),
    };
    ExchangeReply {
        items,
        large,
        has_positions: true,
        rollouts,
        suspects: Vec::new(),
    }
}

/// Returns the sum of the local counts and those of the peers.
#[must_use]
pub fn sum_counts(local: &Counts, peers: &BTreeMap<String, Counts>) -> Counts {
    let mut sum = local.clone();
    for counts in peers.values() {
        canary::add(&mut sum, counts);
    }
    sum
}

fn status_response(status: StatusCode) -> Response<Paced> {
    let mut response = Response::new(Paced::new(Bytes::new(), Vec::new()));
    *response.status_mut() = status;
    response
}
