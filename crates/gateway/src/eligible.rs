//! Which backend servers a request may be sent to at all.
//!
//! Ready servers of the service that hold the model, in a zone that is not evacuated and in a region
//! that route and organisation allow, of the version that the session belongs to. Which of them runs
//! the request is for [`pick`](crate::pick) to say.

use std::sync::Arc;

use fescuerack_core::clock::Instant;
use fescuerack_core::routed::affinity;
use fescuerack_core::routed::canary::Stage;
use fescuerack_core::routed::load;

use crate::attempt::Job;
use crate::clock::now;
use crate::edge::Progress;
use crate::node::Node;
use crate::server::Server;
use crate::trials;
use crate::view::{Order, View};
use crate::warming;

/// Why servers of the service that are ready may not be used; for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Barred {
    /// In a zone that is evacuated.
    pub evacuated: usize,
    /// Outside of the allowed regions.
    pub elsewhere: usize,
    /// Cold, and not for this node now.
    pub cold: usize,
}

/// Servers that may run the request now, without those in `tried`.
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
        server.listed.service == *service
            && server.is_ready()
            && !tried.contains(&server.listed.id)
            && model.is_none_or(|model| server.holds(model))
            && !is_evacuated(view, server)
            && is_allowed(node, job, server)
            && warming::is_open(node, view, server, now)
    };
    let all: Vec<&Server> = view.servers.values().filter(usable).collect();
    let Some(order) = view.orders.get(service) else {
        return all;
    };
    of_version(node, order, job.session, all)
}

/// Counts the ready servers of `service` that may not be used, by reason.
#[must_use]
pub fn barred(node: &Node, job: &Job, service: &Arc<str>, now: Instant) -> Barred {
    let view = node.view.borrow();
    let mut barred = Barred::default();
    let ready = view.servers.values().filter(|server| server.is_ready());
    for server in ready.filter(|server| server.listed.service == *service) {
        if is_evacuated(&view, server) {
            barred.evacuated += 1;
        } else if !is_allowed(node, job, server) {
            barred.elsewhere += 1;
        } else if !warming::is_open(node, &view, server, now) {
            barred.cold += 1;
        }
    }
    barred
}

fn is_evacuated(view: &View, server: &Server) -> bool {
    view.evacuated.contains_key(&server.listed.zone)
}

/// Whether route and organisation both allow the server's region.
fn is_allowed(node: &Node, job: &Job, server: &Server) -> bool {
    let both = [&job.route.regions, &job.regions];
    if both.iter().all(|regions| regions.is_empty()) {
        return true;
    }
    let settings = node.settings.borrow();
    // A zone that is in no known region may be anywhere.
    let Some(region) = settings.regions.get(&*server.listed.zone) else {
        return false;
    };
    let allows = |regions: &[Arc<str>]| {
        regions.is_empty() || regions.iter().any(|allowed| **allowed == **region)
    };
    both.iter().all(|regions| allows(regions))
}

/// The servers among `all` of the version that the session goes to.
fn of_version<'a>(
    node: &Node,
    order: &Order,
    session: u64,
    all: Vec<&'a Server>,
) -> Vec<&'a Server> {
    let is_new = |server: &&Server| server.listed.version == order.rollout.version;
    let (new, old): (Vec<&Server>, Vec<&Server>) = all.into_iter().partition(is_new);
    if !prefers_new(node, order, session) || new.is_empty() {
        return old;
    }
    if order.progress == Some(Progress::Completed) {
        return new;
    }
    on_trial(node, order, new)
}

/// The servers of a version on trial that get its share of the traffic, healthy ones
/// first; all nodes agree on them.
fn on_trial<'a>(node: &Node, order: &Order, mut new: Vec<&'a Server>) -> Vec<&'a Server> {
    let now = now();
    let trial = trials::trial(node, order);
    let busy = trial.servers(trial.stage(now), new.len());
    new.sort_by_key(|server| (!is_healthy(node, server), affinity::mix(server.identity)));
    new.truncate(busy);
    new
}

/// Whether neither this node nor all of them leave the server out.
#[must_use]
pub fn is_healthy(node: &Node, server: &Server) -> bool {
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
