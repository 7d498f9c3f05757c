//! Admission of callers' requests: rate limits, then a permit to run.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};

use fescuerack_config::key;
use fescuerack_core::admission::Request;
use fescuerack_core::clock::Instant;
use fescuerack_wire::error::Kind;

use super::reply::Refusal;
use super::request::Call;
use crate::admission::PermitGuard;
use crate::node_state::{NodeState, lock};

/// Priority of a request that names no class of work.
const DEFAULT_PRIORITY: u8 = 5;

/// Waits until the request may run.
///
/// # Errors
///
/// When it is refused; nothing was run.
pub async fn admit(
    shared: &NodeState,
    call: &Call,
    class: Option<key::Class>,
) -> Result<PermitGuard, Refusal> {
    let request = admission_request(shared, call, class);
    check_rate(shared, call)?;
    let admitted = shared.gate.admit(shared.clock, &request).await;
    admitted.map_err(|refused| {
        shared.metrics.count("admission.refused");
        refusal(shared.now(), refused.retry_at, "too much work; not run")
    })
}

fn admission_request(shared: &NodeState, call: &Call, class: Option<key::Class>) -> Request {
    let active = shared.active_configuration();
    let organisation = active.catalog.organisations.get(call.organisation);
    let entry = class.and_then(|class| active.catalog.classes.get(class));
    let due = entry.map(|class| shared.now().plus_millis(class.deadline_ms));
    Request {
        organisation: call.organisation,
        weight: organisation.map_or(1, |organisation| organisation.weight),
        session_hash: caller_id(call),
        class,
        priority: entry.map_or(DEFAULT_PRIORITY, |class| class.priority),
        long: entry.is_some_and(|class| class.long),
        deadline: due.map_or(call.deadline, |due| call.deadline.min(due)),
    }
}

/// Returns the identifier under which admission shares turns among callers.
///
/// All requests of an organisation without a session count as one caller, so
/// that a script that sends no session gets no more turns than a user with one.
fn caller_id(call: &Call) -> u64 {
    let mut hasher = DefaultHasher::new();
    call.session.hash(&mut hasher);
    hasher.finish()
}

/// Takes a request from the organisation's rate limit, if it has one.
fn check_rate(shared: &NodeState, call: &Call) -> Result<(), Refusal> {
    let active = shared.active_configuration();
    let organisation = active.catalog.organisations.get(call.organisation);
    let Some(rate) = organisation.and_then(|organisation| organisation.rate) else {
        return Ok(());
    };
    let now = shared.now();
    let instances = lock(&shared.member).view.size();
    let acquired = lock(&shared.rates).try_acquire(now, call.organisation, rate, instances);
    acquired.map_err(|retry_at| {
        shared.metrics.count("admission.over_rate");
        let message = "over the organisation's requests a second; not run";
        refusal(now, retry_at, message)
    })
}

fn refusal(now: Instant, retry_at: Instant, message: &str) -> Refusal {
    // `Retry-After` has whole seconds; rounded down, the caller would come back
    // too early.
    let seconds = retry_at.since(now).as_millis().div_ceil(1000).max(1);
    let seconds = u64::try_from(seconds).unwrap_or(u64::MAX);
    Refusal::new(Kind::Overloaded, message).with_retry(seconds)
}
