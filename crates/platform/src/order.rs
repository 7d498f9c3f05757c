//! Client of a model engine's orders.

use std::time::Duration;

use fescuerack_wire::order::{Loaded, Order};

use crate::{Agent, Fault};

/// Asks an engine what it has.
///
/// # Errors
///
/// When the engine gives no answer.
pub fn loaded(agent: &Agent, address: &str, timeout: Duration) -> Result<Loaded, Fault> {
    let mut response = agent
        .get(format!("http://{address}/v1/loaded"))
        .config()
        .timeout_global(Some(timeout))
        .build()
        .call()
        .map_err(|error| Fault::from_client(&error))?;
    if response.status() != 200 {
        return Err(refused(&mut response));
    }
    response
        .body_mut()
        .read_json()
        .map_err(|error| Fault::Malformed(error.to_string()))
}

/// Gives an order, which must have ended within `timeout`.
///
/// The time is counted by the client itself, also across a pause of the
/// process, so an order whose time has passed is not written.
///
/// # Errors
///
/// [`Fault::Refused`] when the engine has seen a higher fencing number;
/// [`Fault::Unknown`] when the order may have taken effect.
pub fn give(agent: &Agent, address: &str, order: &Order, timeout: Duration) -> Result<(), Fault> {
    let mut response = agent
        .post(format!("http://{address}/v1/orders"))
        .config()
        .timeout_global(Some(timeout))
        .build()
        .send_json(order)
        .map_err(|error| Fault::from_client(&error))?;
    if response.status() == 200 {
        return Ok(());
    }
    Err(refused(&mut response))
}

fn refused(response: &mut ureq::http::Response<ureq::Body>) -> Fault {
    Fault::Refused {
        status: response.status().as_u16(),
        message: response.body_mut().read_to_string().unwrap_or_default(),
    }
}
