//! Which backend server runs an attempt: the node's view, put to the decisions.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fescuerack_core::routed::home::{self, Candidate};
use fescuerack_core::routed::load;
use fescuerack_core::routed::pace::Reading;
use fescuerack_core::routed::tier::Prospect;
use fescuerack_core::routed::trial::Stage;
use fescuerack_core::routed::warm::Part;

use crate::attempt::Job;
use crate::catalog::{Kind, Route};
use crate::clock::now;
use crate::edge::{Ask, Progress, State};
use crate::node::Node;
use crate::trials;
use crate::view::{Order, Server, View};

/// How much heavier a request to the largest model is thought to be than one to the smallest,
/// until answers have told.
const LARGEST: f64 = 10.0;
/// Part of a request's work that is left once its prompt has been read: producing
/// tokens shares each step with all other requests on the engine.
const ANSWERING: f64 = 0.1;
/// Milliseconds of an engine that a request takes besides reading, for each time that its model
/// is as heavy as the smallest: a few steps.
const STEPS_MS: f64 = 10.0;
/// Prompts that are read within so many milliseconds, with nothing cached, are short: a few
/// chunks, so that what runs beside them waits for no longer than a pause that nobody notices.
const SHORT_MS: f64 = 150.0;

/// What is expected of a request on the server that was picked.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Prompt tokens that are not believed to be cached there.
    pub tokens: f64,
    /// Milliseconds of other work there.
    pub ahead_ms: f64,
    /// Milliseconds of reading.
    pub read_ms: f64,
    /// Milliseconds until the head of the answer.
    pub head_ms: f64,
    /// Work that the request brings: milliseconds of an engine, or one plain call.
    pub work: f64,
}

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
    /// What is expected there.
    pub estimate: Estimate,
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
    pub fn new(node: &Rc<Node>, pick: &Pick) -> Self {
        let work = pick.estimate.work;
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

/// A prompt as one model reads it.
pub struct Prompt {
    /// Hash of the model.
    model: u64,
    /// How many times as heavy as the smallest model the model is thought to be.
    heaviness: f64,
    parts: Vec<Part>,
}

impl Prompt {
    /// Reads a request for `model`, the one that the caller names if there is none.
    #[must_use]
    pub fn new(route: &Route, ask: &Ask, model: Option<&str>) -> Self {
        let rank = route.models.iter().position(|one| Some(&**one) == model);
        let name = model.or(ask.model.as_deref()).unwrap_or_default();
        let model = home::hash(name.as_bytes());
        let part = |part: &crate::edge::Part| Part {
            key: load::short(home::mix(part.id ^ model)),
            tokens: part.tokens,
        };
        Self {
            model,
            heaviness: heaviness(rank.map(|rank| (rank, route.models.len()))),
            parts: ask.parts.iter().map(part).collect(),
        }
    }

    /// What is known of how engines read it.
    #[must_use]
    pub fn reading(&self, node: &Node) -> Reading {
        node.pace.borrow().reading(self.model, self.heaviness)
    }

    /// Notes that the server of `pick` reads it.
    pub fn note_read(&self, node: &Node, pick: &Pick) {
        let capacity = node
            .view
            .borrow()
            .catalog
            .as_ref()
            .and_then(|catalog| catalog.services.get(&pick.service)?.memory_tokens);
        let server = load::short(pick.identity);
        let mut warm = node.warm.borrow_mut();
        warm.read(now(), server, &self.parts, capacity);
    }

    /// Takes in the milliseconds after which the head came from the server of `pick`.
    pub fn learn(&self, node: &Node, pick: &Pick, head_ms: f64) {
        let Estimate {
            tokens, ahead_ms, ..
        } = pick.estimate;
        let mut pace = node.pace.borrow_mut();
        pace.learn(self.model, self.heaviness, ahead_ms, tokens, head_ms);
        node.metrics
            .head_error
            .observe(head_ms / pick.estimate.head_ms.max(1.0));
    }
}

/// How many times as heavy as the smallest a model is thought to be, by its rank.
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
    let base = home::hash(organisation.unwrap_or_default().as_bytes());
    if let Some(session) = &ask.session {
        return home::mix(base ^ home::hash(session.as_bytes()));
    }
    match shared_part(ask) {
        Some(part) => home::mix(home::mix(part)),
        None => home::mix(base ^ home::hash(ask.id.as_bytes())),
    }
}

/// The longest part of the prompt that other requests share: the last belongs to
/// the request itself.
fn shared_part(ask: &Ask) -> Option<u64> {
    let parts = &ask.parts;
    let shared = parts.len().checked_sub(2).or(parts.len().checked_sub(1))?;
    Some(parts[shared].id)
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
    let mut draw = home::hash(id.as_bytes()) % total;
    for one in &route.destinations {
        if draw < u64::from(one.weight) {
            return Some(one.service.clone());
        }
        draw -= u64::from(one.weight);
    }
    None
}

/// Picks a server of `service` that holds `model`, leaving out those in `tried`.
#[must_use]
pub fn pick(
    node: &Node,
    route: &Route,
    ask: &Ask,
    service: &Arc<str>,
    model: Option<&str>,
    session: u64,
    tried: &[Arc<str>],
) -> Option<Pick> {
    let pick = weigh(node, route, ask, service, model, session, tried)?;
    let view = node.view.borrow();
    let order = view.orders.get(service);
    let is_trial = order.is_some_and(|order| order.rollout.version == pick.version);
    if !is_trial && route.kind == Kind::Streaming {
        let mut recent = node.recent.borrow_mut();
        recent.note(now(), session, node.settings.borrow().session_ms);
    }
    Some(pick)
}

/// What is expected of the model at `rank`, if it were asked now; `None` if no server has it.
#[must_use]
pub fn prospect(node: &Node, job: &Job, service: &Arc<str>, rank: usize) -> Option<Prospect> {
    let model = &*job.route.models[rank];
    let pick = weigh(
        node,
        &job.route,
        &job.ask,
        service,
        Some(model),
        job.session,
        &[],
    )?;
    let target = job.route.target_ms.map(Duration::from_millis);
    let target = target.unwrap_or_else(|| job.deadline.since(job.arrived));
    Some(Prospect {
        passed_ms: now().since(job.arrived).as_secs_f64() * 1_000.0,
        ahead_ms: pick.estimate.ahead_ms,
        read_ms: pick.estimate.read_ms,
        head_ms: pick.estimate.head_ms,
        target_ms: target.as_secs_f64() * 1_000.0,
    })
}

/// Puts the servers that may run the request to [`home::choose`].
fn weigh(
    node: &Node,
    route: &Route,
    ask: &Ask,
    service: &Arc<str>,
    model: Option<&str>,
    session: u64,
    tried: &[Arc<str>],
) -> Option<Pick> {
    let now = now();
    let view = node.view.borrow();
    let settings = node.settings.borrow();
    let others = node.others.borrow();
    let warm = node.warm.borrow();
    let listed = arrange(&eligible(node, &view, service, model, session, tried));
    let prompt = Prompt::new(route, ask, model);
    let reading = prompt.reading(node);
    let all_tokens = ask.tokens.0;
    let tokens = |server: &Server| {
        let cached = warm.cached(load::short(server.identity), &prompt.parts);
        f64::from(all_tokens.saturating_sub(cached))
    };
    let is_short = reading.read_ms(f64::from(all_tokens)) < SHORT_MS;
    let count = listed.len();
    let candidates: Vec<Candidate> = listed
        .iter()
        .enumerate()
        .map(|(rank, server)| Candidate {
            identity: server.identity,
            load: server.work + others.work(now, server.identity),
            read_ms: reading.read_ms(tokens(server)),
            places: server.listed.places,
            is_near: *server.listed.zone == *settings.zone,
            is_healthy: is_healthy(node, server),
            is_suited: route.models.len() < 2 || home::suits(rank, count, is_short),
        })
        .collect();
    let draw = home::hash(ask.id.as_bytes());
    let of_prompt = match route.kind {
        Kind::Streaming => Some(home::Prompt {
            part: home::mix(shared_part(ask).unwrap_or(draw) ^ prompt.model),
            is_short,
        }),
        Kind::Idempotent | Kind::NonIdempotent => None,
    };
    let index = home::choose(&candidates, of_prompt, draw)?;
    let (server, candidate) = (listed[index], candidates[index]);
    let tokens = tokens(server);
    let work = match of_prompt {
        Some(_) => candidate.read_ms + STEPS_MS * prompt.heaviness,
        None => 1.0,
    };
    Some(Pick {
        id: server.listed.id.clone(),
        identity: server.identity,
        address: server.listed.address,
        version: server.listed.version.clone(),
        service: service.clone(),
        is_near: candidate.is_near,
        estimate: Estimate {
            tokens,
            ahead_ms: candidate.load,
            read_ms: candidate.read_ms,
            head_ms: reading.head_ms(candidate.load, tokens),
            work,
        },
    })
}

/// Servers in the order in which some of them are set aside.
fn arrange<'a>(servers: &[&'a Server]) -> Vec<&'a Server> {
    let places: Vec<(u64, &str)> = servers
        .iter()
        .map(|server| (server.identity, &*server.listed.zone))
        .collect();
    let order = home::order(&places);
    order.into_iter().map(|index| servers[index]).collect()
}

/// Servers that may run the request: listed as ready, of an allowed version, with
/// the model.
fn eligible<'a>(
    node: &Node,
    view: &'a View,
    service: &Arc<str>,
    model: Option<&str>,
    session: u64,
    tried: &[Arc<str>],
) -> Vec<&'a Server> {
    let usable = |server: &&Server| {
        let listed = &server.listed;
        let holds = model.is_none_or(|model| {
            listed.models.is_empty() || listed.models.iter().any(|held| **held == *model)
        });
        listed.service == *service
            && listed.state == State::Ready
            && server.gone_at.is_none()
            && !server.is_replaced
            && !tried.contains(&listed.id)
            && holds
    };
    let all: Vec<&Server> = view.servers.values().filter(usable).collect();
    let Some(order) = view.orders.get(service) else {
        return all;
    };
    let is_new = |server: &&&Server| server.listed.version == order.rollout.version;
    let new: Vec<&Server> = all.iter().filter(is_new).copied().collect();
    let old: Vec<&Server> = all
        .iter()
        .filter(|server| !is_new(server))
        .copied()
        .collect();
    if prefers_new(node, order, session) && !new.is_empty() {
        let is_trial = order.progress != Some(Progress::Completed);
        return if is_trial {
            on_trial(node, order, new)
        } else {
            new
        };
    }
    old
}

/// The servers of a version on trial that get its share of the traffic, healthy ones
/// first; all nodes agree on them.
fn on_trial<'a>(node: &Node, order: &Order, mut new: Vec<&'a Server>) -> Vec<&'a Server> {
    let now = now();
    let trial = trials::trial(node, order);
    let busy = trial.servers(trial.stage(now), new.len());
    new.sort_by_key(|server| (!is_healthy(node, server), home::mix(server.identity)));
    new.truncate(busy);
    new
}

/// Whether neither this node nor all of them leave the server out.
fn is_healthy(node: &Node, server: &Server) -> bool {
    let now = now();
    let grey = node.grey.borrow();
    server.health.is_in(now) && !grey.is_out(now, load::short(server.identity))
}

fn prefers_new(node: &Node, order: &Order, session: u64) -> bool {
    match order.progress {
        Some(Progress::Completed) => true,
        Some(Progress::RolledBack) => false,
        Some(Progress::Running) | None => {
            let now = now();
            let trial = trials::trial(node, order);
            let stage = trial.stage(now);
            let is_moved = trial.includes(stage, session);
            let goes_on = node.recent.borrow().goes_on(now, session)
                || node.recent_elsewhere.borrow().goes_on(now, session);
            let must_stay = goes_on && stage < Stage::Loaded;
            !order.is_halted && is_moved && !must_stay
        }
    }
}

/// Marks a server as one that another has taken the place of.
pub fn replace(view: &RefCell<View>, pick: &Pick) {
    if let Some(server) = view.borrow_mut().servers.get_mut(&pick.id)
        && server.identity == pick.identity
    {
        server.is_replaced = true;
    }
}
