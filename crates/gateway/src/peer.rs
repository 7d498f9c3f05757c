//! What nodes tell each other.
//!
//! One exchange carries everything: the revision that the asking node has, its
//! counts of running roll-outs and the requests that it saw crash servers. The
//! answer carries items that are newer, the sums of the counts that the other has
//! heard, and its own suspicions. Nodes exchange only while there is a reason:
//!
//! - the store does not answer this node: it asks any peer for what is newer;
//! - a roll-out runs: each node tells the collector of its service, which all
//!   nodes work out alike from the list of nodes, once a second.
//!
//! Nodes also tell hubs what runs where ([`share`]) and ask those that watch the store
//! ([`news`]); this module answers all of it.

use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fescuerack_core::routed::affinity;
use fescuerack_core::routed::canary::{self, Counts, Stage};
use fescuerack_core::routed::session::Recent;
use http_body_util::{BodyExt as _, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use rand::RngExt as _;
use serde::{Deserialize, Serialize};

use crate::apply;
use crate::body::Paced;
use crate::clock::now;
use crate::fetch;
use crate::large::Notice;
use crate::message::{self, Direction};
use crate::news;
use crate::node::Node;
use crate::platform::Item;
use crate::publisher;
use crate::share;
use crate::trials;

/// Path of an exchange.
const PATH: &str = "/exchange";
/// Milliseconds between two tellings of a running roll-out's counts.
const TELL_MS: u64 = 1_000;

/// Counts of a roll-out.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Told {
    version: String,
    counts: Counts,
    /// Revision of the order, and milliseconds since it.
    #[serde(default)]
    order: (u64, u64),
    /// Servers of the version that broke off what they ran, by a short hash.
    #[serde(default)]
    crashed: BTreeSet<u32>,
    /// Sessions that stay on the old version though their hash would move them.
    #[serde(default)]
    sessions: Vec<u64>,
}

/// What the asking node says.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Message {
    node: String,
    revision: u64,
    wants_items: bool,
    /// Whether large items may be told by notices; a program from before knows none.
    #[serde(default)]
    takes_notices: bool,
    rollouts: BTreeMap<String, Told>,
    suspects: Vec<(u64, u32)>,
}

/// What the asked node says.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Reply {
    items: Vec<Item>,
    /// Large items that are newer.
    #[serde(default)]
    large: Vec<Notice>,
    rollouts: BTreeMap<String, Told>,
    suspects: Vec<(u64, u32)>,
}

/// Asks a random peer for what is newer than this node knows.
pub async fn catch_up(node: &Rc<Node>) {
    let peers = others(node);
    if peers.is_empty() {
        return;
    }
    let pick = node.random.borrow_mut().random_range(0..peers.len());
    let (name, address) = &peers[pick];
    exchange(node, name, *address, true).await;
}

/// Tells collectors the counts of running roll-outs until the process ends.
pub async fn run(node: Rc<Node>) {
    loop {
        tokio::time::sleep(Duration::from_millis(TELL_MS)).await;
        let mut asked: Vec<SocketAddr> = Vec::new();
        for service in on_trial(&node) {
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

/// Asks, once this node has read the store, how far running roll-outs are. A node that
/// started while one runs knows neither its age nor which sessions go on, and would move
/// sessions until it hears of them.
pub async fn join_trials(node: &Rc<Node>) {
    trials::open(node);
    for service in on_trial(node) {
        match collector(node, &service) {
            Some((name, address)) => exchange(node, &name, address, false).await,
            // This node is to gather the counts; any other has some of them.
            None => catch_up(node).await,
        }
    }
}

/// Services with a roll-out that is not decided.
fn on_trial(node: &Node) -> Vec<Arc<str>> {
    let view = node.view.borrow();
    let running = view.orders.values().filter(|order| {
        order
            .progress
            .is_none_or(|progress| progress == crate::platform::Progress::Running)
    });
    running.map(|order| order.rollout.service.clone()).collect()
}

/// The node that gathers the counts of a service; `None` if it is this one.
#[must_use]
pub fn collector(node: &Node, service: &str) -> Option<(String, SocketAddr)> {
    let view = node.view.borrow();
    let own = node.settings.borrow().instance.clone();
    let salt = affinity::hash(service.as_bytes());
    let member = view.instances().max_by_key(|member| member.rank(salt))?;
    let address = view.nodes[member.name].address;
    (member.name != own).then(|| (member.name.to_owned(), address))
}

fn others(node: &Node) -> Vec<(String, SocketAddr)> {
    let own = node.settings.borrow().instance.clone();
    let view = node.view.borrow();
    let others = view.nodes.iter().filter(|(name, _)| **name != own);
    others
        .map(|(name, peer)| (name.clone(), peer.address))
        .collect()
}

async fn exchange(node: &Rc<Node>, name: &str, address: SocketAddr, wants_items: bool) {
    let told = told(node, wants_items);
    match message::ask(node, address, PATH, &told, message::PATIENCE).await {
        Ok(reply) => {
            take_reply(node, name, &reply);
            fetch::hear(node, &reply.large, address);
        }
        Err(error) => tracing::info!(event = "peer-failed", peer = name, reason = %error),
    }
}

fn told(node: &Node, wants_items: bool) -> Message {
    let evidence = node.evidence.borrow();
    let rollouts = evidence.iter().map(|(service, evidence)| {
        let told = Told {
            version: evidence.version.clone(),
            counts: trials::own_counts(node, service, evidence),
            order: order(node, service),
            crashed: evidence.crashed.clone(),
            sessions: staying(node, service, &node.recent.borrow()),
        };
        (service.to_string(), told)
    });
    Message {
        node: node.settings.borrow().instance.clone(),
        revision: node.view.borrow().revision,
        wants_items,
        takes_notices: true,
        rollouts: rollouts.collect(),
        suspects: node.suspects.borrow().local_crashes().collect(),
    }
}

fn take_reply(node: &Node, peer: &str, reply: &Reply) {
    if !reply.items.is_empty() {
        let mut view = node.view.borrow_mut();
        let mut news = 0;
        for item in &reply.items {
            news += u32::from(view.apply(now(), &*node.platform, item));
        }
        if news > 0 {
            tracing::info!(
                event = "learned-from-peer",
                peer,
                news,
                followed = view.revision
            );
        }
    }
    apply::note_view(node);
    let mut evidence = node.evidence.borrow_mut();
    for (service, told) in &reply.rollouts {
        if let Some(known) = evidence.get_mut(service.as_str())
            && known.version == told.version
        {
            known.told.clone_from(&told.counts);
            known.crashed.extend(&told.crashed);
            hear_sessions(node, &told.sessions);
            hear_order(node, service, told.order);
        }
    }
    drop(evidence);
    hear_suspects(node, &reply.suspects);
}

/// Sessions among `recent` that the trial of `service` would move.
fn staying(node: &Node, service: &str, recent: &Recent) -> Vec<u64> {
    let view = node.view.borrow();
    let Some(order) = view.orders.get(service) else {
        return Vec::new();
    };
    let trial = trials::trial(node, order);
    recent.ongoing(now(), |session| trial.includes(Stage::Sampled, session))
}

/// Revision of the order for `service`, and milliseconds since it as far as this node knows.
fn order(node: &Node, service: &str) -> (u64, u64) {
    let view = node.view.borrow();
    let order = view.orders.get(service);
    order.map_or((0, 0), |order| {
        let age = now().since(order.given).as_millis();
        (order.ordered, u64::try_from(age).unwrap_or(u64::MAX))
    })
}

/// Takes in how long ago a peer says that the order for `service` was given. A node that
/// was restarted while a roll-out runs would otherwise begin it anew: send sessions back
/// to the old version, and decide after the time is over. The age of an order before is
/// not taken for that of this one, or a version that is ordered again would be given up at
/// once.
fn hear_order(node: &Node, service: &str, (ordered, age_ms): (u64, u64)) {
    if let Some(order) = node.view.borrow_mut().orders.get_mut(service)
        && order.ordered == ordered
    {
        order.given = order.given.min(now().minus_millis(age_ms));
    }
}

fn hear_sessions(node: &Node, sessions: &[u64]) {
    let pause_ms = node.settings.borrow().session_ms;
    let mut elsewhere = node.recent_elsewhere.borrow_mut();
    for &session in sessions {
        elsewhere.record(now(), session, pause_ms);
    }
}

fn hear_suspects(node: &Node, suspects: &[(u64, u32)]) {
    let mut known = node.suspects.borrow_mut();
    for &(digest, crashes) in suspects {
        known.receive(now(), digest, crashes);
    }
}

/// Answers a peer.
///
/// # Errors
///
/// Never: what cannot be read is answered with a status.
pub async fn serve(
    node: Rc<Node>,
    request: Request<Incoming>,
) -> Result<Response<Paced>, Infallible> {
    let path = request.uri().path().to_owned();
    let body = match Limited::new(request.into_body(), message::MOST)
        .collect()
        .await
    {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            tracing::info!(event = "peer-message-broken", reason = %error);
            return Ok(plain(StatusCode::BAD_REQUEST));
        }
    };
    let received = body.len();
    let mut place = None;
    let answer = match path.as_str() {
        PATH => serde_json::from_slice(&body)
            .and_then(|message| serde_json::to_vec(&reply(&node, message))),
        share::MEMBER => serde_json::from_slice(&body)
            .and_then(|work| serde_json::to_vec(&share::tell_hub(&node, work))),
        share::GROUP => serde_json::from_slice(&body)
            .and_then(|work| serde_json::to_vec(&share::tell_top(&node, work))),
        publisher::PATH => match serde_json::from_slice(&body) {
            Ok(question) => {
                let (answer, taken) = publisher::tell(&node, &question).await;
                place = taken;
                serde_json::to_vec(&answer)
            }
            Err(error) => Err(error),
        },
        news::PATH => match serde_json::from_slice(&body) {
            Ok(question) => serde_json::to_vec(&news::tell(&node, question).await),
            Err(error) => Err(error),
        },
        _ => return Ok(plain(StatusCode::NOT_FOUND)),
    };
    match answer {
        Ok(body) => {
            message::note_bytes(&node, &path, Direction::In, received);
            message::note_bytes(&node, &path, Direction::Out, body.len());
            Ok(Response::new(Paced::new(Bytes::from(body), place)))
        }
        Err(error) => {
            tracing::warn!(event = "peer-message-unreadable", path, reason = %error);
            Ok(plain(StatusCode::BAD_REQUEST))
        }
    }
}

fn reply(node: &Node, message: Message) -> Reply {
    hear_suspects(node, &message.suspects);
    let mut evidence = node.evidence.borrow_mut();
    let mut rollouts = BTreeMap::new();
    for (service, told) in message.rollouts {
        let Some(known) = evidence.get_mut(service.as_str()) else {
            continue;
        };
        if known.version != told.version {
            continue;
        }
        known.heard.insert(message.node.clone(), told.counts);
        known.crashed.extend(&told.crashed);
        hear_sessions(node, &told.sessions);
        hear_order(node, &service, told.order);
        let mut sessions = staying(node, &service, &node.recent.borrow());
        sessions.extend(staying(node, &service, &node.recent_elsewhere.borrow()));
        let sum = Told {
            version: told.version,
            counts: sum(&trials::own_counts(node, &service, known), &known.heard),
            order: order(node, &service),
            crashed: known.crashed.clone(),
            sessions,
        };
        rollouts.insert(service, sum);
    }
    drop(evidence);
    let view = node.view.borrow();
    let (items, large) = match (message.wants_items, message.takes_notices) {
        (false, _) => (Vec::new(), Vec::new()),
        (true, false) => (view.since(message.revision), Vec::new()),
        (true, true) => view.news_since(message.revision),
    };
    Reply {
        items,
        large,
        rollouts,
        suspects: node.suspects.borrow().local_crashes().collect(),
    }
}

/// Sums own counts and those of others.
#[must_use]
pub fn sum(own: &Counts, heard: &BTreeMap<String, Counts>) -> Counts {
    let mut sum = own.clone();
    for counts in heard.values() {
        canary::add(&mut sum, counts);
    }
    sum
}

fn plain(status: StatusCode) -> Response<Paced> {
    let mut response = Response::new(Paced::new(Bytes::new(), None));
    *response.status_mut() = status;
    response
}
