//! Authentication of operators by tokens.
//!
//! The configuration contains only digests of tokens, so that neither its
//! files nor the store nor a dump reveals a token. The lookup uses the digest of
//! the presented token and never its text, so that the duration of the lookup
//! reveals nothing about a token. A token that is removed from the configuration
//! is refused on every instance as soon as that configuration is active there.

use std::sync::Arc;

use fescuerack_config::{Operator, folder};
use fescuerack_wire::admin::{Error, Kind};
use rouille::Request;

use crate::node_state::NodeState;

/// Returns the operator who sent a request.
///
/// # Errors
///
/// Returns an error if the request has no operator's token.
pub fn operator(shared: &NodeState, request: &Request) -> Result<Arc<Operator>, Error> {
    let refuse = |message: &str| {
        shared.metrics.count("operators.refused");
        Err(Error::new(Kind::Unauthorized, message))
    };
    let presented = request.header("authorization");
    let Some(presented) = presented.and_then(|value| value.strip_prefix("Bearer ")) else {
        return refuse("present an operator's token as Authorization: Bearer");
    };
    let active = shared.active_configuration();
    let digest = folder::digest(presented.as_bytes());
    match active.catalog.operator_by_token.get(&digest) {
        Some(operator) => Ok(Arc::clone(operator)),
        None if active.catalog.operator_by_token.is_empty() => refuse(
            "no operator is configured here; the first configuration goes to the store itself \
             (fescuerack apply --store)",
        ),
        None => refuse("the token belongs to no operator"),
    }
}

/// Checks that the sender of a request may read.
///
/// # Errors
///
/// Returns an error if the request has no operator's token and the settings do
/// not allow reads without one.
pub fn reader(shared: &NodeState, request: &Request) -> Result<(), Error> {
    if shared.settings.operators.open_reads {
        return Ok(());
    }
    operator(shared, request).map(|_| ())
}
