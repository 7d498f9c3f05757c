//! Client for orders to a model engine: loading and unloading of versions.

use std::time::Duration;

use fescuerack_wire::order::{EngineOrder, Loaded};

use crate::http::{json, refused};
use crate::{Agent, Fault};

/// Status of an order that was refused because its fencing token is too low.
pub const FENCED_STATUS: u16 = 409;

/// Fetches the versions that an engine has loaded or is loading.
///
/// # Errors
///
/// Returns a [`Fault`] if the engine sends no valid answer.
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

/// Sends an order and waits up to `timeout` for its completion.
///
/// The client measures the time-out itself, including pauses of the process, so an order is not
/// written after its time has expired.
///
/// # Errors
///
/// Returns [`Fault::Refused`] with [`FENCED_STATUS`] if the engine has received a higher fencing
/// token, or with another status if it accepts no order at present. Returns [`Fault::Unknown`] if
/// the order may have taken effect.
pub fn send(
    agent: &Agent,
    address: &str,
    order: &EngineOrder,
    timeout: Duration,
) -> Result<(), Fault> {
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
