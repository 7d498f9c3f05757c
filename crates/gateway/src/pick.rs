//! Selection of the backend server for an attempt: passes the node's view to the load-balancing
//! decisions in `fescuerack_core::gateway`.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::affinity::{self, Candidate, Prompt, Witness};
use fescuerack_core::gateway::crash::company::RunKey;
use fescuerack_core::gateway::crash::permit::TrialEnd;
use fescuerack_core::gateway::load;
use fescuerack_core::gateway::pools::Pools;
use fescuerack_core::num;

use crate::attempt::Job;
use crate::catalog::{Kind, Route};
use crate::clock::now;
use crate::eligible;
use crate::node::Node;
use crate::platform::{Progress, RequestHead};
use crate::server::Server;
use crate::trial::Trial;
use crate::view::View;

/// Prompt tokens that add as much work as a request without a prompt: the chunk that an engine
/// prefills between two decoding steps.
const PROMPT_WEIGHT_TOKENS: f64 = 4_096.0;
/// Work of a request to the largest model, relative to one to the smallest.
const LARGEST_MODEL_WEIGHT: f64 = 10.0;

/// Share of a request's work that remains after prefill. Decoding is cheaper, since each step is
/// shared with all other requests on the engine.
const DECODE_WORK_SHARE: f64 = 0.1;
/// Prompts whose prefill takes less work than this many tokens on the smallest model are light.
const LIGHT_PREFILL_TOKENS: f64 = 15_000.0;

/// The server that was selected.
#[derive(Clone, Debug)]
pub struct Pick {
    /// Its identifier.
    pub id: Arc<str>,
    /// Hash of its identifier and start time.
    pub identity: u64,
    /// Its address.
    pub address: SocketAddr,
    /// Its version.
    pub version: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// Whether it is in this node's availability zone.
    pub is_same_zone: bool,
    /// Whether its version is a canary.
    pub is_canary: bool,
    /// Whether it is warming up.
    pub is_cold: bool,
    /// Work on it: that of the requests of this node and that reported by peers.
    pub load: f64,
    /// When it was selected, and its attempt begins.
    pub at: Instant,
    /// When the head of its answer was received.
    pub head_at: Option<Instant>,
    /// Permits of the run, if it needs any.
    pub trial: Option<Rc<Trial>>,
}

impl Pick {
    /// Says how the run has ended, or what it has shown, as far as it has permits.
    pub fn end_trial(&self, end: TrialEnd) {
        if let Some(trial) = &self.trial {
            trial.end(end);
        }
    }
}

/// A guard that counts a request as running on a server until it is dropped.
pub struct InFlight {
    node: Rc<Node>,
    id: Arc<str>,
    identity: u64,
    service: Arc<str>,
    work: f64,
    is_reading: bool,
    run: RunKey,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.node.path.end();
        self.node.runs.borrow_mut().end(self.identity, self.run);
        let work = self.work;
        let reading = u32::from(self.is_reading);
        self.change(|server| {
            server.running = server.running.saturating_sub(1);
            server.reading = server.reading.saturating_sub(reading);
            server.work = (server.work - work).max(0.0);
        });
        self.node.brittle.free(&self.service);
    }
}

impl InFlight {
    /// Records that the answer has begun, so the prefill is done.
    pub fn mark_prefill_done(&mut self) {
        let mut runs = self.node.runs.borrow_mut();
        runs.record_head(now(), self.identity, self.run);
        drop(runs);
        let (before, rest) = (self.work, self.work * DECODE_WORK_SHARE);
        let reading = u32::from(std::mem::take(&mut self.is_reading));
        self.change(|server| {
            server.work = (server.work - before + rest).max(0.0);
            server.reading = server.reading.saturating_sub(reading);
        });
        self.work = rest;
    }

    /// Changes the counts of the server, unless it has restarted since: a request to the earlier
    /// start would be subtracted from the work of the new one.
    fn change(&self, change: impl FnOnce(&mut Server)) {
        let mut view = self.node.view.borrow_mut();
        let server = view.servers.get_mut(&self.id);
        if let Some(server) = server.filter(|server| server.identity == self.identity) {
            change(server);
        }
    }

    /// Counts a request as running on `pick`.
    #[must_use]
    pub fn new(node: &Rc<Node>, pick: &Pick, work: f64) -> Self {
        node.path.begin();
        if let Some(server) = node.view.borrow_mut().servers.get_mut(&pick.id) {
            server.running += 1;
            server.reading += 1;
            server.work += work;
        }
        Self {
            node: node.clone(),
            id: pick.id.clone(),
            identity: pick.identity,
            service: pick.service.clone(),
            work,
            is_reading: true,
            run: node.runs.borrow_mut().begin(pick.identity),
        }
    }
}

/// Returns the work of a request, in requests of usual size. `model` is the index of the model and
/// the number of models.
#[must_use]
pub fn work(head: &RequestHead, model: Option<(usize, usize)>) -> f64 {
    (1.0 + f64::from(head.tokens.0) / PROMPT_WEIGHT_TOKENS) * model_weight(model)
}

/// Returns the work of recomputing the blocks that other requests may share, in requests of usual
/// size. It counts as a request of its own, since the engine cannot begin another one meanwhile.
fn prefix_work(head: &RequestHead, model: Option<(usize, usize)>) -> f64 {
    (1.0 + f64::from(shared_tokens(head)) / PROMPT_WEIGHT_TOKENS) * model_weight(model)
}

/// Returns the time that work takes on a server, relative to the usual time. Servers of plain
/// requests are compared by their slots alone.
fn pace(node: &Node, route: &Route, server: &Server, now: Instant) -> f64 {
    match route.kind {
        Kind::Streaming => node.load.pace(now, load::short_id(server.identity)),
        Kind::Idempotent | Kind::NonIdempotent => 1.0,
    }
}

/// Returns the number of prompt tokens, weighted by the prefill time of the model for a token.
fn prefill_tokens(head: &RequestHead, model: Option<(usize, usize)>) -> f64 {
    f64::from(head.tokens.0) * model_weight(model)
}

fn model_weight(model: Option<(usize, usize)>) -> f64 {
    match model {
        Some((rank, models)) if models > 1 => {
            let rank = f64::from(u32::try_from(rank).unwrap_or(u32::MAX));
            let last = f64::from(u32::try_from(models - 1).unwrap_or(u32::MAX));
            1.0 + (LARGEST_MODEL_WEIGHT - 1.0) * rank / last
        }
        _ => 1.0,
    }
}

/// Returns the hash of the session that a request belongs to. It is the same on all nodes.
#[must_use]
pub fn session(head: &RequestHead, organisation: Option<&str>) -> u64 {
    let base = affinity::hash(organisation.unwrap_or_default().as_bytes());
    if let Some(session) = &head.session {
        return affinity::mix(base ^ affinity::hash(session.as_bytes()));
    }
    match shared_prefix(head) {
        Some(part) => affinity::mix(affinity::mix(part)),
        None => affinity::mix(base ^ affinity::hash(head.id.as_bytes())),
    }
}

/// Returns the identity of the longest prefix that other requests may share. The last block is
/// specific to the request.
fn shared_prefix(head: &RequestHead) -> Option<u64> {
    let blocks = &head.blocks;
    let shared = blocks
        .len()
        .checked_sub(2)
        .or(blocks.len().checked_sub(1))?;
    Some(blocks[shared].id)
}

/// Returns the number of tokens in the blocks that other requests may share.
fn shared_tokens(head: &RequestHead) -> u32 {
    let shared_count = head.blocks.len().saturating_sub(1);
    let shared = head.blocks[..shared_count].iter().map(|block| block.tokens);
    shared.fold(0, u32::saturating_add)
}

/// Chooses the service for a request by the weights of its route.
#[must_use]
pub fn choose_service(route: &Route, id: &str) -> Option<Arc<str>> {
    let total: u64 = route
        .destinations
        .iter()
        .map(|destination| u64::from(destination.weight))
        .sum();
    if total == 0 {
        return route
            .destinations
            .first()
            .map(|destination| destination.service.clone());
    }
    let mut draw = affinity::hash(id.as_bytes()) % total;
    for destination in &route.destinations {
        if draw < u64::from(destination.weight) {
            return Some(destination.service.clone());
        }
        draw -= u64::from(destination.weight);
    }
    None
}

/// A server among the eligible ones.
struct Choice<'a> {
    server: &'a Server,
    candidate: Candidate,
}

/// Selects a server of `service` that has loaded `model` for `job`, except those in `tried`.
#[must_use]
pub fn pick(
    node: &Node,
    job: &Job,
    service: &Arc<str>,
    model: Option<&str>,
    tried: &[Arc<str>],
) -> Option<Pick> {
    let pick = preview(node, job, service, model, tried)?;
    record(node, job, &pick);
    Some(pick)
}

/// Counts a request to the server that was selected for it.
fn record(node: &Node, job: &Job, pick: &Pick) {
    let view = node.view.borrow();
    let settings = node.settings.borrow();
    let Some(server) = view.servers.get(&pick.id) else {
        return;
    };
    let order = view.orders.get(&pick.service);
    let is_ordered = order.is_some_and(|order| order.rollout.version == pick.version);
    if !is_ordered && job.route.kind == Kind::Streaming {
        let mut recent = node.recent_sessions.borrow_mut();
        recent.record(pick.at, job.session, settings.session_ms);
    }
    node.limits
        .record_request(&view, server, settings.warmup, pick.at);
}

/// Returns what [`pick`] would select, without counting a request.
#[must_use]
pub fn preview(
    node: &Node,
    job: &Job,
    service: &Arc<str>,
    model: Option<&str>,
    tried: &[Arc<str>],
) -> Option<Pick> {
    let now = now();
    let view = node.view.borrow();
    let Choice { server, candidate } = choose(node, &view, job, service, model, tried)?;
    let order = view.orders.get(service);
    let order = order.filter(|order| order.rollout.version == server.entry.version);
    let is_canary = order.is_some_and(|order| order.progress != Some(Progress::Completed));
    Some(Pick {
        id: server.entry.id.clone(),
        identity: server.identity,
        address: server.entry.address,
        version: server.entry.version.clone(),
        service: service.clone(),
        is_same_zone: candidate.is_same_zone,
        is_canary,
        is_cold: server.is_cold(now),
        load: candidate.load / candidate.pace,
        at: now,
        head_at: None,
        trial: None,
    })
}

/// Returns the expected time until the first token of an answer of the model at `rank`, at the server
/// that would be selected now; `None` if there is none.
#[must_use]
pub fn expected_first_token(
    node: &Node,
    job: &Job,
    service: &Arc<str>,
    rank: usize,
) -> Option<Duration> {
    let models = &job.route.models;
    let view = node.view.borrow();
    let candidate = choose(node, &view, job, service, Some(&models[rank]), &[])?.candidate;
    let work = work(&job.head, Some((rank, models.len())));
    let waits = node.waits.borrow();
    let wait = waits.get(service).copied().unwrap_or_default();
    let millis = wait.millis(candidate.load + candidate.pace * work);
    Some(num::seconds(millis / 1_000.0))
}

/// Returns the server that `job` would be sent to now.
fn choose<'a>(
    node: &Node,
    view: &'a View,
    job: &Job,
    service: &Arc<str>,
    model: Option<&str>,
    tried: &[Arc<str>],
) -> Option<Choice<'a>> {
    let (route, head) = (&job.route, &job.head);
    let now = now();
    let settings = node.settings.borrow();
    let servers = eligible::servers(node, view, job, service, model, tried);
    let rank = route.models.iter().position(|name| Some(&**name) == model);
    let model_rank = rank.map(|rank| (rank, route.models.len()));
    let is_light = prefill_tokens(head, model_rank) < LIGHT_PREFILL_TOKENS;
    let pools = Pools::new(
        servers.iter().map(|server| server.identity),
        node.pools.share(service),
    );
    let has_pools = route.models.len() >= 2;
    let candidates: Vec<Candidate> = servers
        .iter()
        .map(|server| {
            let pace = pace(node, route, server, now);
            Candidate {
                identity: server.identity,
                load: pace * (server.work + node.load.peer_work(now, server.identity)),
                pace,
                slots: server.entry.slots,
                is_same_zone: *server.entry.zone == *settings.zone,
                is_healthy: eligible::is_healthy(node, server, now),
                is_in_pool: !has_pools || pools.contains(server.identity, is_light),
            }
        })
        .collect();
    let prefix = match route.kind {
        Kind::Streaming => shared_prefix(head).map(|prefix| {
            affinity::mix(prefix ^ affinity::hash(model.unwrap_or_default().as_bytes()))
        }),
        Kind::Idempotent | Kind::NonIdempotent => None,
    };
    let draw = affinity::hash(head.id.as_bytes());
    let is_in_doubt = node.suspects.borrow().is_in_doubt(now, &job.keys);
    let index = match prefix {
        // Requests that have lost a server together do not meet again at the next one.
        _ if is_in_doubt => {
            let witnesses = witnesses(node, job, &servers, now);
            let number = u64::try_from(tried.len()).unwrap_or_default();
            affinity::choose_apart(&candidates, &witnesses, draw ^ number)
        }
        Some(prefix) => {
            let prompt = Prompt {
                prefix,
                work: work(head, model_rank),
                prefix_work: prefix_work(head, model_rank),
            };
            if affinity::prefers_local_zone(shared_tokens(head)) {
                affinity::choose_in_zone(&candidates, prompt, draw)
            } else {
                affinity::choose_home(&candidates, prompt, draw)
            }
        }
        None => affinity::choose(&candidates, None, draw),
    }?;
    Some(Choice {
        server: servers[index],
        candidate: candidates[index],
    })
}

/// Returns what servers show of requests that may crash them.
fn witnesses(node: &Node, job: &Job, servers: &[&Server], now: Instant) -> Vec<Witness> {
    let runs = node.runs.borrow();
    let suspects = node.suspects.borrow();
    let witness = |server: &&Server| Witness {
        begun: runs.unsettled(now, server.identity),
        has_ended: suspects.has_ended(&job.keys, load::short_id(server.identity)),
    };
    servers.iter().map(witness).collect()
}

/// Returns the mean work, in requests of usual size, of the servers that would run a request to the
/// model at `rank`; `None` if there are none.
#[must_use]
pub fn pressure(node: &Node, job: &Job, service: &Arc<str>, rank: usize) -> Option<f64> {
    let now = now();
    let view = node.view.borrow();
    let models = &job.route.models;
    let servers = eligible::servers(node, &view, job, service, Some(&models[rank]), &[]);
    let is_light = prefill_tokens(&job.head, Some((rank, models.len()))) < LIGHT_PREFILL_TOKENS;
    let pools = Pools::new(
        servers.iter().map(|server| server.identity),
        node.pools.share(service),
    );
    let loads: Vec<f64> = servers
        .iter()
        .filter(|server| pools.contains(server.identity, is_light))
        .map(|server| server.work + node.load.peer_work(now, server.identity))
        .collect();
    let server_count = u32::try_from(loads.len()).ok().filter(|count| *count > 0)?;
    Some(loads.iter().sum::<f64>() / f64::from(server_count))
}

/// Marks a server as replaced by another one at its address.
pub fn mark_replaced(view: &RefCell<View>, pick: &Pick) {
    if let Some(server) = view.borrow_mut().servers.get_mut(&pick.id)
        && server.identity == pick.identity
    {
        server.is_replaced = true;
    }
}
