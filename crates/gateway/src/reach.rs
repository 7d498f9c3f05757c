//! The links of this node to the backend servers: signs of servers, probes, and failures whose
//! meaning depends on them.
//!
//! [`reach`](fescuerack_core::gateway::reach) holds the belief. While the links are in doubt, what
//! failures say of servers, versions and requests to other nodes is held back: it counts once most
//! links turn out to be good, and is dropped if the node is cut.

use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::affinity;
use fescuerack_core::gateway::health::Health;
use fescuerack_core::gateway::reach::{Change, Probe, ProbeEnd, Reach, State};
use http_body_util::Full;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Uri};
use rand::seq::SliceRandom as _;
use tokio::sync::Notify;

use crate::attempt::Job;
use crate::clock::{age_ms, now};
use crate::eligible;
use crate::node::Node;
use crate::server::Server;
use crate::verdict::{self, Ended};

/// Interval at which it is checked whether a probe is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The same while the path is in doubt.
const DOUBT_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of failures that are held back.
const MAX_HELD: usize = 1_024;

/// What a failure says, which counts only if the path is good.
#[derive(Debug)]
pub enum Held {
    /// A failed attempt at a server, by its short identifier, for the counts of all nodes.
    Attempt(u32),
    /// The end of an attempt.
    End(Box<Ended>),
}

/// The links to the servers.
#[derive(Debug, Default)]
pub struct Path {
    reach: RefCell<Reach>,
    held: RefCell<Vec<Held>>,
    doubted: Notify,
}

impl Path {
    /// Returns whether this node is cut from most servers.
    #[must_use]
    pub fn is_cut(&self) -> bool {
        self.reach.borrow().is_cut()
    }

    /// Returns whether the server with the given identity may be used.
    #[must_use]
    pub fn is_usable(&self, server: u64) -> bool {
        self.reach.borrow().is_usable(server)
    }

    /// Waits while the links are in doubt, so that a further attempt does not fail for the same
    /// cause.
    pub async fn settled(&self) {
        while matches!(self.reach.borrow().state(), State::Doubted { .. }) {
            tokio::time::sleep(DOUBT_CHECK_INTERVAL).await;
        }
    }

    /// Records that an attempt begins to wait for a server.
    pub fn begin(&self) {
        self.reach.borrow_mut().begin(now());
    }

    /// Records that an attempt has ended.
    pub fn end(&self) {
        self.reach.borrow_mut().end();
    }
}

/// Records a sign of the server with the given identity.
pub fn hear(node: &Rc<Node>, server: u64) {
    let change = node.path.reach.borrow_mut().hear(now(), server);
    apply(node, change);
}

/// Records that the server with the given identity has failed, or, if `is_unreached`, that no
/// connection to it could be opened, and what that says.
pub fn doubt(node: &Rc<Node>, server: u64, is_unreached: bool, held: Held) {
    let mut reach = node.path.reach.borrow_mut();
    reach.doubt(now(), server, is_unreached);
    if reach.is_cut() {
        return;
    }
    drop(reach);
    node.path.doubted.notify_one();
    let mut all = node.path.held.borrow_mut();
    if all.len() < MAX_HELD {
        all.push(held);
    } else {
        tracing::warn!(event = "failure-not-held");
    }
}

/// Returns whether the request is better served by a peer: this node reaches no server that may run
/// it, or it has lost most servers of the service. Then as large a share of the requests takes the way
/// through peers as of the servers is lost: all cut nodes reach the same few servers, which would
/// otherwise get the requests of all of them.
#[must_use]
pub fn needs_peer(node: &Node, job: &Job, service: &Arc<str>, model: Option<&str>) -> bool {
    let reach = node.path.reach.borrow();
    if reach.is_whole() {
        return false;
    }
    let view = node.view.borrow();
    let is_lost = |server: &Server| !reach.is_usable(server.identity);
    let servers = view.servers.values();
    let listed = servers.filter(|server| server.entry.service == *service && server.is_ready());
    let (lost, reached): (Vec<&Server>, Vec<&Server>) = listed.partition(|server| is_lost(server));
    if lost.is_empty() {
        return false;
    }
    let usable = eligible::servers(node, &view, job, service, model, &[]);
    if usable.into_iter().all(is_lost) {
        return true;
    }
    // While servers are being asked, those that have not answered are not lost yet.
    let is_known = reach.state() != State::Suspected;
    is_known
        && lost.len() > reached.len()
        && is_drawn(&job.head.id, lost.len(), lost.len() + reached.len())
}

/// Returns whether the request with the given identifier is among `part` of `all`. Only the attempts of
/// one request draw the same.
fn is_drawn(id: &str, part: usize, all: usize) -> bool {
    let draw = affinity::hash(id.as_bytes()) % u64::try_from(all).unwrap_or(u64::MAX);
    draw < u64::try_from(part).unwrap_or(u64::MAX)
}

/// Probes servers when it is due until the process ends.
pub async fn run(node: Rc<Node>) {
    loop {
        let interval = match node.path.reach.borrow().state() {
            State::Doubted { .. } | State::Suspected => DOUBT_CHECK_INTERVAL,
            State::Good | State::Cut => CHECK_INTERVAL,
        };
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = node.path.doubted.notified() => {}
        }
        retain_listed(&node);
        let due = node.path.reach.borrow_mut().due_probe(now());
        if let Some(due) = due {
            let ends = probe(&node, due).await;
            let told_ends = node.suspects.borrow().recent_ends(now());
            let mut reach = node.path.reach.borrow_mut();
            let change = reach.probed(now(), due, &ends, told_ends);
            drop(reach);
            reset_health(&node, &ends);
            apply(&node, change);
        }
    }
}

/// Forgets servers that are not listed any more, once they may be as many as those that are.
fn retain_listed(node: &Node) {
    let view = node.view.borrow();
    let known = node.path.reach.borrow().len();
    if known <= 2 * view.servers.len() && node.path.reach.borrow().state() == State::Good {
        return;
    }
    let listed: HashSet<u64> = view
        .servers
        .values()
        .map(|server| server.identity)
        .collect();
    let mut reach = node.path.reach.borrow_mut();
    reach.retain(|server| listed.contains(&server));
}

/// Forgets what the node has seen of servers that answer again: it was its own link.
fn reset_health(node: &Node, ends: &[(u64, ProbeEnd)]) {
    let answered: Vec<u64> = ends
        .iter()
        .filter(|(_, end)| *end == ProbeEnd::Answered)
        .map(|(server, _)| *server)
        .collect();
    let mut view = node.view.borrow_mut();
    for server in view.servers.values_mut() {
        if answered.contains(&server.identity) && server.health.is_unreached() {
            server.health = Health::default();
        }
    }
}

fn apply(node: &Rc<Node>, change: Option<Change>) {
    let (reached, lost) = node.path.reach.borrow().counts();
    let lost_links = i64::try_from(lost).unwrap_or(i64::MAX);
    node.metrics.lost_links.set(lost_links);
    let Some(change) = change else {
        return;
    };
    let held = std::mem::take(&mut *node.path.held.borrow_mut());
    node.metrics.path_lost.set(i64::from(change == Change::Cut));
    match change {
        Change::Confirmed => {
            if lost > 0 {
                tracing::info!(event = "links-lost", reached, lost);
            }
            for one in held {
                count(node, one);
            }
        }
        Change::Cut => {
            tracing::warn!(event = "path-lost", reached, lost, dropped = held.len());
        }
        Change::Regained => tracing::warn!(event = "path-regained", reached, lost),
    }
}

fn count(node: &Rc<Node>, held: Held) {
    match held {
        Held::Attempt(server) => node.load.record_attempt(now(), server, true),
        Held::End(ended) => verdict::count_end(node, &ended),
    }
}

/// Probes the servers that are due, all at the same time.
async fn probe(node: &Rc<Node>, due: Probe) -> Vec<(u64, ProbeEnd)> {
    let began = now();
    let probes: Vec<_> = choose(node, due)
        .into_iter()
        .map(|(server, address)| {
            let pool = node.pool.clone();
            let request = request(node, address);
            let probe = async move { (server, pool.probe(address, request).await) };
            tokio::task::spawn_local(probe)
        })
        .collect();
    let mut ends = Vec::new();
    for probe in probes {
        match probe.await {
            Ok(end) => ends.push(end),
            Err(error) => tracing::warn!(event = "probe-failed", reason = %error),
        }
    }
    log(began, &ends);
    ends
}

fn request(node: &Node, address: SocketAddr) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static(node.platform.probe_path());
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
    request
}

fn log(began: Instant, ends: &[(u64, ProbeEnd)]) {
    let answered = ends.iter().filter(|(_, end)| *end == ProbeEnd::Answered);
    tracing::debug!(
        event = "path-probe",
        tried = ends.len(),
        reached = answered.count(),
        ms = age_ms(began)
    );
}

/// Chooses listed servers to probe: a sample of different zones and services as far as there are, or
/// the lost links that were tried longest ago.
fn choose(node: &Node, due: Probe) -> Vec<(u64, SocketAddr)> {
    let view = node.view.borrow();
    let reach = node.path.reach.borrow();
    let mut servers: Vec<&Server> = view.servers.values().collect();
    servers.retain(|server| server.is_ready());
    servers.shuffle(&mut *node.random.borrow_mut());
    let chosen = match due {
        Probe::Sample(count) => sample(servers, reach.state(), count),
        Probe::Lost(count) => {
            servers.retain(|server| reach.lost_at(server.identity).is_some());
            servers.sort_by_key(|server| reach.lost_at(server.identity));
            servers.truncate(count);
            servers
        }
    };
    chosen
        .into_iter()
        .map(|server| (server.identity, server.entry.address))
        .collect()
}

/// Returns `count` of the servers, without the one that has failed, of different zones and services
/// as far as there are.
fn sample(mut servers: Vec<&Server>, state: State, count: usize) -> Vec<&Server> {
    if let State::Doubted { server: failed } = state {
        servers.retain(|server| server.identity != failed);
    }
    let mut groups = HashSet::new();
    let (mut chosen, rest): (Vec<&Server>, Vec<&Server>) = servers
        .into_iter()
        .partition(|server| groups.insert((&server.entry.zone, &server.entry.service)));
    chosen.extend(rest);
    chosen.truncate(count);
    chosen
}
