//! Client of a model engine's orders.

use std::time::Duration;

use fescuerack_wire::order::{Loaded, Order};

use crate::http::{json, refused};
use crate::{Agent, Fault};

/// Status of an order whose fencing number is too low.
pub const FENCED_STATUS: u16 = 409;

/// Asks an engine what it has.
///
/// # Errors
///
/// When the engine gives no answer.
pub fn fetch_loaded(agent: &Agent, address: &str, timeout: Duration) -> Result<Loaded, Fault> {
    let response = agent
        .get(format!("http://{address}/v1/loaded"))
        .config()
        .timeout_global(Some(timeout))
        .build()
        .call()
        .map_err(|error| Fault::from_client(&error))?;
    json(response)
}

/// Gives an order, which must have ended within `timeout`.
///
/// The time is counted by the client itself, also across a pause of the
/// process, so an order whose time has passed is not written.
///
/// # Errors
///
/// [`Fault::Refused`] with [`FENCED_STATUS`] when the engine has seen a higher fencing
/// number, with another status when it takes no order now;
/// [`Fault::Unknown`] when the order may have taken effect.
pub fn send(agent: &Agent, address: &str, order: &Order, timeout: Duration) -> Result<(), Fault> {
    let response = agent
        .post(format!("http://{address}/v1/orders"))
        .config()
        .timeout_global(Some(timeout))
        .build()
        .send_json(order)
        .map_err(|error| Fault::from_client(&error))?;
    if response.status() == 200 {
        return Ok(());
    }
    Err(refused(response))
}
