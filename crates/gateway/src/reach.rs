//! The path of this node to the backend servers: signs of servers, probes, and failures whose
//! meaning depends on it.
//!
//! [`reach`](fescuerack_core::gateway::reach) holds the belief. While the path is in doubt, what
//! failures say of servers, versions and requests to other nodes is held back: it counts once the
//! path turns out to be good, and is dropped if it is lost.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::health::Health;
use fescuerack_core::gateway::reach::{Change, Probed, Reach, State};
use http_body_util::Full;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Uri};
use rand::seq::SliceRandom as _;
use tokio::sync::Notify;

use crate::clock::{age_ms, now};
use crate::node::Node;
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

/// The path to the servers.
#[derive(Debug, Default)]
pub struct Path {
    reach: RefCell<Reach>,
    held: RefCell<Vec<Held>>,
    doubted: Notify,
}

impl Path {
    /// Returns whether the path is lost.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.reach.borrow().is_lost()
    }

    /// Waits while the path is in doubt, so that a further attempt does not fail for the same
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

/// Records that the server with the given identity has failed, and what that says.
pub fn doubt(node: &Rc<Node>, server: u64, held: Held) {
    let mut reach = node.path.reach.borrow_mut();
    reach.doubt(now(), server);
    if reach.is_lost() {
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

/// Probes the path when it is due until the process ends.
pub async fn run(node: Rc<Node>) {
    loop {
        let interval = match node.path.reach.borrow().state() {
            State::Doubted { .. } => DOUBT_CHECK_INTERVAL,
            State::Good | State::Lost { .. } => CHECK_INTERVAL,
        };
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = node.path.doubted.notified() => {}
        }
        let due = node.path.reach.borrow_mut().due_probe(now());
        if let Some(servers) = due {
            let probed = probe(&node, servers).await;
            let change = node.path.reach.borrow_mut().probed(now(), probed);
            apply(&node, change);
        }
    }
}

fn apply(node: &Rc<Node>, change: Option<Change>) {
    let Some(change) = change else {
        return;
    };
    let held = std::mem::take(&mut *node.path.held.borrow_mut());
    node.metrics
        .path_lost
        .set(i64::from(change == Change::Lost));
    match change {
        Change::Confirmed => held.into_iter().for_each(|one| count(node, one)),
        Change::Lost => tracing::warn!(event = "path-lost", dropped = held.len()),
        Change::Regained => {
            tracing::warn!(event = "path-regained");
            // What the node has seen of them was its own path.
            for server in node.view.borrow_mut().servers.values_mut() {
                server.health = Health::default();
            }
        }
    }
}

fn count(node: &Rc<Node>, held: Held) {
    match held {
        Held::Attempt(server) => node.load.record_attempt(now(), server, true),
        Held::End(ended) => verdict::count_end(node, &ended),
    }
}

/// Sends a request to each of `count` servers at the same time.
async fn probe(node: &Rc<Node>, count: usize) -> Probed {
    let began = now();
    let addresses = choose(node, count);
    let tried = addresses.len();
    let probes: Vec<_> = addresses
        .into_iter()
        .map(|address| {
            let pool = node.pool.clone();
            let request = request(node, address);
            tokio::task::spawn_local(async move { pool.probe(address, request).await })
        })
        .collect();
    let mut reached = 0;
    for probe in probes {
        // A task that fails has not reached its server.
        reached += usize::from(probe.await.unwrap_or(false));
    }
    log(began, tried, reached);
    Probed { tried, reached }
}

fn request(node: &Node, address: SocketAddr) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static(node.platform.probe_path());
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
    request
}

fn log(began: Instant, tried: usize, reached: usize) {
    tracing::debug!(event = "path-probe", tried, reached, ms = age_ms(began));
}

/// Chooses `count` listed servers at random, of different zones and services as far as there are.
fn choose(node: &Node, count: usize) -> Vec<SocketAddr> {
    let failed = match node.path.reach.borrow().state() {
        State::Doubted { server, .. } => Some(server),
        State::Good | State::Lost { .. } => None,
    };
    let view = node.view.borrow();
    let mut servers: Vec<_> = view
        .servers
        .values()
        .filter(|server| server.is_ready() && Some(server.identity) != failed)
        .map(|server| &server.entry)
        .collect();
    servers.shuffle(&mut *node.random.borrow_mut());
    let mut chosen: Vec<SocketAddr> = Vec::new();
    let mut groups: Vec<(&Arc<str>, &Arc<str>)> = Vec::new();
    for is_other_group in [true, false] {
        for entry in &servers {
            let group = (&entry.zone, &entry.service);
            let is_wanted = !is_other_group || !groups.contains(&group);
            if chosen.len() < count && is_wanted && !chosen.contains(&entry.address) {
                groups.push(group);
                chosen.push(entry.address);
            }
        }
    }
    chosen
}
