//! Which backend server runs an attempt: the node's view, put to the decisions.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use fescuerack_core::routed::affinity::{self, Candidate};

use crate::attempt::Job;
use crate::catalog::{Kind, Route};
use crate::clock::now;
use crate::edge::{Ask, Progress};
use crate::eligible;
use crate::node::Node;
use crate::server::Server;
use crate::view::View;
use crate::warming;

/// Prompt tokens that weigh as much as a request without any: a chunk that an
/// engine reads between two steps.
const TOKENS: f64 = 4_096.0;
/// How much heavier a request to the largest model weighs than one to the smallest.
const LARGEST: f64 = 10.0;

/// Part of a request's work that is left once its prompt has been read: producing
/// tokens shares each step with all other requests on the engine.
const ANSWERING: f64 = 0.1;
/// Prompts whose reading weighs less than this many tokens of the smallest model are
/// light.
const LIGHT: f64 = 15_000.0;

/// The server that was picked.
#[derive(Clone, Debug)]
pub struct Pick {
    /// Its identifier.
    pub id: Arc<str>,
    /// Hash of its identifier and start.
    pub identity: u64,
    /// Its address.
    pub address: SocketAddr,
    /// Its version.
    pub version: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// Whether it is in this node's availability zone.
    pub is_near: bool,
    /// Whether its version is one that a roll-out brings in.
    pub is_on_trial: bool,
    /// Whether it is warming up.
    pub is_cold: bool,
    /// Work on it, as far as this node knows.
    pub load: f64,
}

/// Counts a request as running on a server until dropped.
pub struct Running {
    node: Rc<Node>,
    id: Arc<str>,
    identity: u64,
    work: f64,
}

impl Drop for Running {
    fn drop(&mut self) {
        let work = self.work;
        self.change(|server| {
            server.running = server.running.saturating_sub(1);
            server.work = (server.work - work).max(0.0);
        });
    }
}

impl Running {
    /// Notes that the first of the answer is there: the prompt has been read.
    pub fn settle(&mut self) {
        let (before, rest) = (self.work, self.work * ANSWERING);
        self.change(|server| server.work = (server.work - before + rest).max(0.0));
        self.work = rest;
    }

    /// Changes what is counted on the server, unless it has started again since: a request that
    /// ran in its earlier life would be taken off the work of the new one.
    fn change(&self, change: impl FnOnce(&mut Server)) {
        let mut view = self.node.view.borrow_mut();
        let server = view.servers.get_mut(&self.id);
        if let Some(server) = server.filter(|server| server.identity == self.identity) {
            change(server);
        }
    }

    /// Counts a request on `pick`.
    #[must_use]
    pub fn new(node: &Rc<Node>, pick: &Pick, work: f64) -> Self {
        if let Some(server) = node.view.borrow_mut().servers.get_mut(&pick.id) {
            server.running += 1;
            server.work += work;
        }
        Self {
            node: node.clone(),
            id: pick.id.clone(),
            identity: pick.identity,
            work,
        }
    }
}

/// Work that a request brings, in requests of usual size.
#[must_use]
pub fn work(ask: &Ask, model: Option<(usize, usize)>) -> f64 {
    (1.0 + f64::from(ask.tokens.0) / TOKENS) * heaviness(model)
}

/// Prompt tokens, weighed by how long the model takes to read one.
fn reading(ask: &Ask, model: Option<(usize, usize)>) -> f64 {
    f64::from(ask.tokens.0) * heaviness(model)
}

fn heaviness(model: Option<(usize, usize)>) -> f64 {
    match model {
        Some((rank, models)) if models > 1 => {
            let rank = f64::from(u32::try_from(rank).unwrap_or(u32::MAX));
            let last = f64::from(u32::try_from(models - 1).unwrap_or(u32::MAX));
            1.0 + (LARGEST - 1.0) * rank / last
        }
        _ => 1.0,
    }
}

/// Hash of the session that a request belongs to, alike on all nodes.
#[must_use]
pub fn session(ask: &Ask, organisation: Option<&str>) -> u64 {
    let base = affinity::hash(organisation.unwrap_or_default().as_bytes());
    if let Some(session) = &ask.session {
        return affinity::mix(base ^ affinity::hash(session.as_bytes()));
    }
    match shared_part(ask) {
        Some(part) => affinity::mix(affinity::mix(part)),
        None => affinity::mix(base ^ affinity::hash(ask.id.as_bytes())),
    }
}

/// The longest part of the prompt that other requests share: the last belongs to
/// the request itself.
fn shared_part(ask: &Ask) -> Option<u64> {
    let parts = &ask.parts;
    let shared = parts.len().checked_sub(2).or(parts.len().checked_sub(1))?;
    Some(parts[shared].id)
}

/// Tokens of the parts that other requests share.
fn shared_tokens(ask: &Ask) -> u32 {
    let own = ask.parts.len().saturating_sub(1);
    let shared = ask.parts[..own].iter().map(|part| part.tokens);
    shared.fold(0, u32::saturating_add)
}

/// Service of a route for a request, by the route's weights.
#[must_use]
pub fn service(route: &Route, id: &str) -> Option<Arc<str>> {
    let total: u64 = route
        .destinations
        .iter()
        .map(|one| u64::from(one.weight))
        .sum();
    if total == 0 {
        return route.destinations.first().map(|one| one.service.clone());
    }
    let mut draw = affinity::hash(id.as_bytes()) % total;
    for one in &route.destinations {
        if draw < u64::from(one.weight) {
            return Some(one.service.clone());
        }
        draw -= u64::from(one.weight);
    }
    None
}

/// Picks a server of `service` that holds `model` for `job`, leaving out those in `tried`.
#[must_use]
pub fn pick(
    node: &Node,
    job: &Job,
    service: &Arc<str>,
    model: Option<&str>,
    tried: &[Arc<str>],
) -> Option<Pick> {
    let (route, ask) = (&job.route, &job.ask);
    let now = now();
    let view = node.view.borrow();
    let settings = node.settings.borrow();
    let others = node.others.borrow();
    let mut listed = eligible::servers(node, &view, job, service, model, tried);
    listed.sort_by_key(|server| affinity::mix(server.identity));
    let rank = route.models.iter().position(|one| Some(&**one) == model);
    let sized = rank.map(|rank| (rank, route.models.len()));
    let is_small = reading(ask, sized) < LIGHT;
    let count = listed.len();
    let candidates: Vec<Candidate> = listed
        .iter()
        .enumerate()
        .map(|(rank, server)| Candidate {
            identity: server.identity,
            load: server.work + others.work(now, server.identity),
            places: server.listed.places,
            is_near: *server.listed.zone == *settings.zone,
            is_healthy: eligible::is_healthy(node, server),
            is_suited: route.models.len() < 2 || affinity::suits(rank, count, is_small),
        })
        .collect();
    let part = match route.kind {
        Kind::Streaming => shared_part(ask)
            .map(|part| affinity::mix(part ^ affinity::hash(model.unwrap_or_default().as_bytes()))),
        Kind::Idempotent | Kind::NonIdempotent => None,
    };
    let draw = affinity::hash(ask.id.as_bytes());
    let index = match part {
        Some(part) if affinity::stays_near(shared_tokens(ask)) => {
            affinity::choose_near(&candidates, part, draw)
        }
        part => affinity::choose(&candidates, part, draw),
    }?;
    let server = listed[index];
    let order = view.orders.get(service);
    let order = order.filter(|order| order.rollout.version == server.listed.version);
    let is_on_trial = order.is_some_and(|order| order.progress != Some(Progress::Completed));
    if order.is_none() && route.kind == Kind::Streaming {
        let mut recent = node.recent.borrow_mut();
        recent.note(now, job.session, settings.session_ms);
    }
    warming::take(node, &view, server, now);
    Some(Pick {
        id: server.listed.id.clone(),
        identity: server.identity,
        address: server.listed.address,
        version: server.listed.version.clone(),
        service: service.clone(),
        is_near: candidates[index].is_near,
        is_on_trial,
        is_cold: server.is_cold(now),
        load: candidates[index].load,
    })
}

/// Mean work, in requests of usual size, of the servers that would run a request on the
/// model at `rank`; `None` if there is none.
#[must_use]
pub fn pressure(node: &Node, job: &Job, service: &Arc<str>, rank: usize) -> Option<f64> {
    let now = now();
    let view = node.view.borrow();
    let others = node.others.borrow();
    let models = &job.route.models;
    let mut listed = eligible::servers(node, &view, job, service, Some(&models[rank]), &[]);
    listed.sort_by_key(|server| affinity::mix(server.identity));
    let is_light = reading(&job.ask, Some((rank, models.len()))) < LIGHT;
    let count = listed.len();
    let loads: Vec<f64> = listed
        .iter()
        .enumerate()
        .filter(|(place, _)| affinity::suits(*place, count, is_light))
        .map(|(_, server)| server.work + others.work(now, server.identity))
        .collect();
    let servers = u32::try_from(loads.len())
        .ok()
        .filter(|servers| *servers > 0)?;
    Some(loads.iter().sum::<f64>() / f64::from(servers))
}

/// Marks a server as one that another has taken the place of.
pub fn replace(view: &RefCell<View>, pick: &Pick) {
    if let Some(server) = view.borrow_mut().servers.get_mut(&pick.id)
        && server.identity == pick.identity
    {
        server.is_replaced = true;
    }
}
