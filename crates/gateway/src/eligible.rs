//! The backend servers that a request may be sent to.
//!
//! These are the ready servers of the service that have loaded the model, in a zone that is not
//! evacuated and in a region that both route and organisation allow, of the version that the session
//! is assigned to. [`pick`](crate::pick) selects one of them.

use std::sync::Arc;

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::affinity;
use fescuerack_core::gateway::canary::Stage;
use fescuerack_core::gateway::load;

use crate::attempt::Job;
use crate::clock::now;
use crate::node::Node;
use crate::platform::Progress;
use crate::rollout;
use crate::server::Server;
use crate::server_capacity::{self, Withheld};
use crate::view::{Order, View};

/// Why a ready server may not be used now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Exclusion {
    /// It is in a zone that is evacuated.
    Evacuated,
    /// It is outside the allowed regions.
    OutsideRegions,
    /// A limit of its own does not allow this node a request now.
    Withheld(Withheld),
}

/// Numbers of servers of a service that may not be used, by reason; for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Excluded {
    /// In a zone that is evacuated.
    pub evacuated: usize,
    /// Outside the allowed regions.
    pub outside_regions: usize,
    /// Cold, and the warm-up limit does not allow this node a request now.
    pub cold: usize,
    /// With a stated limit that does not allow this node a request now.
    pub limited: usize,
    /// At rest, for which they have asked this node.
    pub resting: usize,
    /// Brittle, and this node has no place there now.
    pub brittle: usize,
    /// Not among the ready ones: they have stated that they are about to stop.
    pub leaving: usize,
    /// When the first of the servers with a limit or at rest may accept a request again.
    pub retry_at: Option<Instant>,
}

impl Excluded {
    fn add_retry(&mut self, retry_at: Instant) {
        self.retry_at = Some(self.retry_at.map_or(retry_at, |known| known.min(retry_at)));
    }
}

/// Returns the servers that may run the request now, except those in `tried`.
#[must_use]
pub fn servers<'a>(
    node: &Node,
    view: &'a View,
    job: &Job,
    service: &Arc<str>,
    model: Option<&str>,
    tried: &[Arc<str>],
) -> Vec<&'a Server> {
    let now = now();
    let usable = |server: &&Server| {
        server.entry.service == *service
            && server.is_ready()
            && !tried.contains(&server.entry.id)
            && model.is_none_or(|model| server.has_model(model))
            && exclusion(node, view, job, server, now).is_none()
    };
    let all: Vec<&Server> = view.servers.values().filter(usable).collect();
    let Some(order) = view.orders.get(service) else {
        return all;
    };
    for_version(node, order, job.session, all)
}

/// Counts the ready servers of `service` that may not be used, by reason.
#[must_use]
pub fn count_excluded(node: &Node, job: &Job, service: &Arc<str>, now: Instant) -> Excluded {
    let view = node.view.borrow();
    let mut excluded = Excluded::default();
    let servers = view.servers.values();
    for server in servers.filter(|server| server.entry.service == *service) {
        excluded.leaving += usize::from(server.is_leaving);
        if !server.is_ready() {
            continue;
        }
        match exclusion(node, &view, job, server, now) {
            None => {}
            Some(Exclusion::Evacuated) => excluded.evacuated += 1,
            Some(Exclusion::OutsideRegions) => excluded.outside_regions += 1,
            Some(Exclusion::Withheld(limit @ (Withheld::Cold | Withheld::Limited))) => {
                excluded.cold += usize::from(limit == Withheld::Cold);
                excluded.limited += usize::from(limit == Withheld::Limited);
                let excess = node.settings.borrow().warmup;
                excluded.add_retry(node.limits.next_at(&view, server, excess, now));
            }
            Some(Exclusion::Withheld(Withheld::Resting(end))) => {
                excluded.resting += 1;
                excluded.add_retry(end);
            }
            Some(Exclusion::Withheld(Withheld::NoPlace)) => excluded.brittle += 1,
        }
    }
    excluded
}

/// Returns when the first server of `service` may accept a request again, if limits and rests keep
/// requests from all of them; `None` if one accepts requests now, or none will.
#[must_use]
pub fn retry_at(node: &Node, job: &Job, service: &Arc<str>) -> Option<Instant> {
    let is_usable = !servers(node, &node.view.borrow(), job, service, None, &[]).is_empty();
    if is_usable {
        return None;
    }
    count_excluded(node, job, service, now()).retry_at
}

/// Returns why a ready server may not be used now; `None` if it may.
fn exclusion(
    node: &Node,
    view: &View,
    job: &Job,
    server: &Server,
    now: Instant,
) -> Option<Exclusion> {
    if is_evacuated(view, server) {
        return Some(Exclusion::Evacuated);
    }
    if !is_allowed(node, job, server) {
        return Some(Exclusion::OutsideRegions);
    }
    server_capacity::withheld(node, view, server, now).map(Exclusion::Withheld)
}

/// Returns whether no server may run the request now only because brittle ones have no place for it at
/// this node.
#[must_use]
pub fn lacks_place(
    node: &Node,
    job: &Job,
    service: &Arc<str>,
    model: Option<&str>,
    tried: &[Arc<str>],
) -> bool {
    if !node.brittle.is_brittle(service) {
        return false;
    }
    let is_usable = !servers(node, &node.view.borrow(), job, service, model, tried).is_empty();
    !is_usable && count_excluded(node, job, service, now()).brittle > 0
}

fn is_evacuated(view: &View, server: &Server) -> bool {
    view.evacuated.contains_key(&server.entry.zone)
}

/// Returns whether route and organisation both allow the server's region.
fn is_allowed(node: &Node, job: &Job, server: &Server) -> bool {
    let restrictions = [&job.route.regions, &job.regions];
    if restrictions.iter().all(|regions| regions.is_empty()) {
        return true;
    }
    let settings = node.settings.borrow();
    // A zone of no known region may be outside the allowed ones.
    let Some(region) = settings.regions.get(&*server.entry.zone) else {
        return false;
    };
    let allows = |regions: &[Arc<str>]| {
        regions.is_empty() || regions.iter().any(|allowed| **allowed == **region)
    };
    restrictions.iter().all(|regions| allows(regions))
}

/// Returns the servers among `all` of the version that the session is assigned to.
fn for_version<'a>(
    node: &Node,
    order: &Order,
    session: u64,
    all: Vec<&'a Server>,
) -> Vec<&'a Server> {
    let is_new = |server: &&Server| server.entry.version == order.rollout.version;
    let (new, old): (Vec<&Server>, Vec<&Server>) = all.into_iter().partition(is_new);
    if !uses_new_version(node, order, session) || new.is_empty() {
        return old;
    }
    if order.progress == Some(Progress::Completed) {
        return new;
    }
    canary_servers(node, order, new)
}

/// Returns the servers of a canary version that get its share of the traffic, healthy ones first.
/// All nodes choose the same ones.
fn canary_servers<'a>(node: &Node, order: &Order, mut new: Vec<&'a Server>) -> Vec<&'a Server> {
    let now = now();
    let canary = rollout::canary(node, order);
    let count = canary.server_count(canary.stage(now), new.len());
    new.sort_by_key(|server| {
        (
            !is_healthy(node, server, now),
            affinity::mix(server.identity),
        )
    });
    new.truncate(count);
    new
}

/// Returns whether the server is reached, ejected neither by this node nor by outlier detection
/// across nodes, and has not just ended.
#[must_use]
pub fn is_healthy(node: &Node, server: &Server, now: Instant) -> bool {
    let short_id = load::short_id(server.identity);
    let has_ended = node.runs.borrow().has_ended(now, server.identity);
    node.path.is_usable(server.identity)
        && server.health.is_available(now)
        && !(server.health.is_on_trial() && server.running > 0)
        && !node.load.is_ejected(now, short_id)
        && !has_ended
}

fn uses_new_version(node: &Node, order: &Order, session: u64) -> bool {
    match order.progress {
        Some(Progress::Completed) => true,
        Some(Progress::RolledBack) => false,
        Some(Progress::Running) | None => {
            let now = now();
            let canary = rollout::canary(node, order);
            let stage = canary.stage(now);
            let is_moved = canary.includes(stage, session);
            let is_ongoing = node.recent_sessions.borrow().is_ongoing(now, session)
                || node.peer_sessions.borrow().is_ongoing(now, session);
            let must_stay = is_ongoing && stage < Stage::Loaded;
            !order.is_halted && is_moved && !must_stay
        }
    }
}
