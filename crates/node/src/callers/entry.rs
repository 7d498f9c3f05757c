//! Waiting for a place: the callers' side of admission.

use fescuerack_config::key;
use fescuerack_wire::error::Kind;

use super::intake::Call;
use super::reply::Refusal;
use crate::admission::Place;
use crate::shared::Shared;

/// Waits until the request may run.
///
/// # Errors
///
/// When it is turned away; nothing was run.
pub async fn enter(
    shared: &Shared,
    call: &Call,
    _class: Option<key::Class>,
) -> Result<Place, Refusal> {
    let entered = shared.gate.enter(shared.clock, call.deadline).await;
    entered.map_err(|_| Refusal::new(Kind::Overloaded, "too much work; not run"))
}
