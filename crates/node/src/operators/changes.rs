//! `POST /v1/plans` and `/v1/changes`.

use std::io::Read as _;

use fescuerack_client::admin;
use fescuerack_config::Operator;
use fescuerack_wire::admin::{Accepted, Error, Kind, Plan, Proposal};
use rouille::Request;

use crate::shared::Shared;

/// Largest body, in bytes: several files of the largest size that the store
/// holds.
const LARGEST_BODY: u64 = 8 << 20;

/// Says what a proposal would do, and changes nothing.
///
/// # Errors
///
/// Why the proposal would not be accepted.
pub fn plan(shared: &Shared, request: &Request, operator: &Operator) -> Result<Plan, Error> {
    let proposal = read(request)?;
    admin::Draft::new(&shared.store, &proposal, Some(operator)).map(|draft| draft.plan())
}

/// Puts a proposal in force.
///
/// # Errors
///
/// Why it was not accepted, and whether that is sure.
pub fn submit(shared: &Shared, request: &Request, operator: &Operator) -> Result<Accepted, Error> {
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
    let read = body.take(LARGEST_BODY + 1).read_to_end(&mut bytes);
    read.map_err(|error| invalid(format!("the body was cut: {error}")))?;
    if u64::try_from(bytes.len()).is_ok_and(|length| length > LARGEST_BODY) {
        let message = format!("the body is over {LARGEST_BODY} bytes");
        return Err(Error::new(Kind::TooLarge, message));
    }
    serde_json::from_slice(&bytes).map_err(|error| invalid(error.to_string()))
}
