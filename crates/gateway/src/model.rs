//! Choice of the model for requests that let the gateway choose.
//!
//! A request that may run again begins with the smallest model, and a larger one is asked if the answer is
//! of low confidence. One that may run only once gets the model that load and time allow.

use std::sync::Arc;
use std::time::Duration;

use fescuerack_core::gateway::escalation::{self, Limits, Outlook};
use fescuerack_core::num;

use crate::attempt::Job;
use crate::clock::now;
use crate::node::Node;
use crate::pick;
use crate::repeat::Permission;
use crate::verdict;

/// Returns the model that gets a request first, as an index into the models of its route; `None` if the
/// route has none.
#[must_use]
pub fn first(node: &Node, job: &Job, service: &Arc<str>) -> Option<usize> {
    let models = job.route.models.len();
    if Permission::of_route(&job.route).is_some() {
        return escalation::first(models);
    }
    let pressure = pressure(node, job, service)?;
    let outlook = |rank| outlook(node, job, service, rank);
    let rank = escalation::only(models, pressure, now(), limits(job), outlook);
    tracing::info!(
        event = "chose-model",
        id = job.head.id,
        model = rank,
        pressure
    );
    rank
}

/// Returns the models that may run a request for which `chosen` was chosen, in order of preference. A request
/// that may run only once takes a smaller model before a larger one: nothing has answered it yet.
pub fn alternatives(job: &Job, chosen: usize) -> impl Iterator<Item = usize> {
    let smaller = match Permission::of_route(&job.route) {
        Some(_) => 0..0,
        None => 0..chosen,
    };
    let larger = chosen + 1..job.route.models.len();
    std::iter::once(chosen).chain(smaller.rev()).chain(larger)
}

/// Returns the mean work of the servers that would run a request to the largest model; `None` if the route
/// has no models.
fn pressure(node: &Node, job: &Job, service: &Arc<str>) -> Option<f64> {
    let largest = job.route.models.len().checked_sub(1)?;
    Some(pick::pressure(node, job, service, largest).unwrap_or_default())
}

/// Returns the larger model to ask if the answer of the model at `rank` is of low confidence.
#[must_use]
pub fn larger(
    node: &Node,
    job: &Job,
    service: &Arc<str>,
    rank: usize,
    confidence: Option<u8>,
) -> Option<usize> {
    let models = job.route.models.len();
    let pressure = pressure(node, job, service)?;
    let wanted = escalation::next(models, rank, confidence, pressure);
    let next = wanted.and_then(|wanted| {
        let outlook = |rank| outlook(node, job, service, rank);
        escalation::select(wanted, rank, confidence, now(), limits(job), outlook)
    });
    tracing::info!(
        event = "judged-answer",
        id = job.head.id,
        model = rank,
        confidence,
        pressure,
        wanted,
        next
    );
    next
}

fn limits(job: &Job) -> Limits {
    let target_ms = job.route.target_latency_ms;
    Limits {
        target: target_ms.map(|millis| job.arrived.plus_millis(millis)),
        deadline: job.deadline,
    }
}

/// Returns what is expected of the answer of the model at `rank`; `None` if no server may run it.
fn outlook(node: &Node, job: &Job, service: &Arc<str>, rank: usize) -> Option<Outlook> {
    let first_token = now() + pick::expected_first_token(node, job, service, rank)?;
    let generation = expected_generation(node, job, service, rank);
    Some(Outlook {
        first_token,
        end: generation.map(|generation| first_token + generation),
    })
}

/// Returns the time from the first token to the end of an answer, by the usual time between events
/// and the length that the caller expects; `None` if either is unknown.
fn expected_generation(
    node: &Node,
    job: &Job,
    service: &Arc<str>,
    rank: usize,
) -> Option<Duration> {
    let view = node.view.borrow();
    let service = view.catalog.as_ref()?.services.get(service)?;
    let events = f64::from(job.head.length_hint?) / f64::from(service.event_tokens?);
    let baselines = node.baselines.borrow();
    let baseline = baselines.get(&verdict::latency_class(job, Some(rank)))?;
    let millis = events * baseline.event_interval_ms()?;
    Some(num::seconds(millis / 1_000.0))
}
