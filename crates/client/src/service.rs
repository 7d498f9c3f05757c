//! Client of a plain service: one call with a complete, unstreamed answer.

use std::time::Duration;

use bytes::Bytes;
use fescuerack_wire::header;

use crate::http::retry_after;
use crate::{Agent, Fault};

/// One call of a plain service.
#[derive(Clone, Debug)]
pub struct Call {
    /// Address of the server, in the form `host:port`.
    pub address: String,
    /// HTTP method.
    pub method: String,
    /// Path relative to the service, without a leading slash.
    pub path: String,
    /// Content type of the body, if any.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
    /// Identifier of the attempt, echoed by the server.
    pub attempt: String,
    /// Idempotency key of the caller, forwarded so that the service can check it too.
    pub idempotency_key: Option<String>,
}

/// Answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type, if the service sent one.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// Response header by which a server reports that it did not start the call.
pub const NOT_STARTED: &str = "x-not-started";

/// Makes a call.
///
/// # Errors
///
/// Returns a [`Fault`] that states whether the service may have executed the call. It is
/// [`Fault::Refused`] only if the server itself reported that it did not start the call.
pub fn call(agent: &Agent, call: &Call, timeout: Duration) -> Result<Answer, Fault> {
    let method = ureq::http::Method::from_bytes(call.method.as_bytes())
        .map_err(|error| Fault::NotSent(error.to_string()))?;
    let mut request = ureq::http::Request::builder()
        .method(method)
        .uri(format!("http://{}/{}", call.address, call.path))
        .header(header::ATTEMPT, &call.attempt);
    if let Some(content_type) = &call.content_type {
        request = request.header("content-type", content_type);
    }
    if let Some(key) = &call.idempotency_key {
        request = request.header(header::IDEMPOTENCY, key);
    }
    let request = request
        .body(call.body.to_vec())
        .map_err(|error| Fault::NotSent(error.to_string()))?;
    let request = agent
        .configure_request(request)
        .timeout_global(Some(timeout))
        .allow_non_standard_methods(true)
        .build();
    let mut response = agent
        .run(request)
        .map_err(|error| Fault::from_client(&error))?;
    let status = response.status().as_u16();
    let echoed = response.headers().get(header::ATTEMPT);
    if echoed.is_none_or(|echoed| echoed.as_bytes() != call.attempt.as_bytes()) {
        return Err(Fault::Malformed(
            "attempt identifier missing or of another attempt".to_owned(),
        ));
    }
    let content_type = response.headers().get("content-type");
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let content_type = content_type.map(str::to_owned);
    let not_started = response.headers().contains_key(NOT_STARTED);
    let retry_after = retry_after(&response);
    let body = response
        .body_mut()
        .read_to_vec()
        .map_err(|error| Fault::from_client(&error))?;
    if not_started {
        let message = String::from_utf8_lossy(&body).into_owned();
        return Err(Fault::refused(status, message).with_rest(retry_after.as_deref()));
    }
    Ok(Answer {
        status,
        content_type,
        body: Bytes::from(body),
    })
}
