//! `POST /v1/plans` and `POST /v1/changes`: proposed changes of the
//! configuration.

use std::io::Read as _;

use fescuerack_client::admin;
use fescuerack_config::Operator;
use fescuerack_wire::admin::{Accepted, Error, Kind, Plan, Proposal};
use rouille::Request;

use crate::node_state::NodeState;

/// Largest size of a body: several files of the largest size that the store
/// accepts.
const MAX_BODY_BYTES: u64 = 8 << 20;

/// Returns what a proposal would change, without changing anything.
///
/// # Errors
///
/// Returns the reason why the proposal would not be accepted.
pub fn plan(shared: &NodeState, request: &Request, operator: &Operator) -> Result<Plan, Error> {
    let proposal = read(request)?;
    admin::Draft::new(&shared.store, &proposal, Some(operator)).map(|draft| draft.plan())
}

/// Submits a proposal to the store.
///
/// # Errors
///
/// Returns the reason why the proposal was not accepted, or reports that the
/// outcome is unknown.
pub fn submit(
    shared: &NodeState,
    request: &Request,
    operator: &Operator,
) -> Result<Accepted, Error> {
    let proposal = read(request)?;
    let accepted = admin::submit(&shared.store, &proposal, &operator.name, Some(operator))?;
    shared.metrics.count("operators.changes");
    log::info!(
        operator = operator.name,
        revision = accepted.revision,
        request = proposal.request;
        "change accepted"
    );
    Ok(accepted)
}

fn read(request: &Request) -> Result<Proposal, Error> {
    let invalid = |message: String| Error::new(Kind::InvalidRequest, message);
    let body = request.data();
    let body = body.ok_or_else(|| invalid("the body is missing".to_owned()))?;
    let mut bytes = Vec::new();
    let read = body.take(MAX_BODY_BYTES + 1).read_to_end(&mut bytes);
    read.map_err(|error| invalid(format!("the body was cut: {error}")))?;
    if u64::try_from(bytes.len()).is_ok_and(|length| length > MAX_BODY_BYTES) {
        let message = format!("the body is over {MAX_BODY_BYTES} bytes");
        return Err(Error::new(Kind::TooLarge, message));
    }
    serde_json::from_slice(&bytes).map_err(|error| invalid(error.to_string()))
}
