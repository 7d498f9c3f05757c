//! Waiting for a place: the callers' side of admission.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};

use fescuerack_config::key;
use fescuerack_core::admission::Request;
use fescuerack_core::clock::Instant;
use fescuerack_wire::error::Kind;

use super::intake::Call;
use super::reply::Refusal;
use crate::admission::Place;
use crate::shared::{Shared, lock};

/// Priority of a request that names no class of work.
const DEFAULT_PRIORITY: u8 = 5;

/// Waits until the request may run.
///
/// # Errors
///
/// When it is turned away; nothing was run.
pub async fn enter(
    shared: &Shared,
    call: &Call,
    class: Option<key::Class>,
) -> Result<Place, Refusal> {
    let ask = ask(shared, call, class);
    rate(shared, call)?;
    let entered = shared.gate.enter(shared.clock, &ask).await;
    entered.map_err(|refused| {
        shared.metrics.count("admission.refused");
        refusal(shared.now(), refused.retry_at, "too much work; not run")
    })
}

fn ask(shared: &Shared, call: &Call, class: Option<key::Class>) -> Request {
    let force = shared.force();
    let organisation = force.catalog.organisations.get(call.organisation);
    let known = class.and_then(|class| force.catalog.classes.get(class));
    let due = known.map(|class| shared.now().plus_millis(class.deadline_ms));
    Request {
        organisation: call.organisation,
        weight: organisation.map_or(1, |organisation| organisation.weight),
        caller: caller(call),
        class,
        priority: known.map_or(DEFAULT_PRIORITY, |class| class.priority),
        long: known.is_some_and(|class| class.long),
        deadline: due.map_or(call.deadline, |due| call.deadline.min(due)),
    }
}

/// Requests without a session count as one caller of their organisation: a
/// script that names none cannot take more turns than a parent who does.
fn caller(call: &Call) -> u64 {
    let mut hasher = DefaultHasher::new();
    call.session.hash(&mut hasher);
    hasher.finish()
}

fn rate(shared: &Shared, call: &Call) -> Result<(), Refusal> {
    let force = shared.force();
    let organisation = force.catalog.organisations.get(call.organisation);
    let Some(rate) = organisation.and_then(|organisation| organisation.rate) else {
        return Ok(());
    };
    let now = shared.now();
    let instances = lock(&shared.member).view.size();
    let spent = lock(&shared.rates).try_acquire(now, call.organisation, rate, instances);
    spent.map_err(|retry| {
        shared.metrics.count("admission.over_rate");
        let message = "over the organisation's requests a second; not run";
        refusal(now, retry, message)
    })
}

fn refusal(now: Instant, retry: Instant, message: &str) -> Refusal {
    // Whole seconds, rounded up: earlier would be too early.
    let seconds = retry.since(now).as_millis().div_ceil(1000).max(1);
    let seconds = u64::try_from(seconds).unwrap_or(u64::MAX);
    Refusal::new(Kind::Overloaded, message).with_retry(seconds)
}
