//! Reading a request: headers, key, deadline and body, all within limits.

use std::time::Duration;

use bytes::Bytes;
use fescuerack_config::{folder, key};
use fescuerack_core::clock::Instant;
use fescuerack_wire::error::Kind;
use fescuerack_wire::header;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, Request};

use super::reply::Refusal;
use crate::shared::Shared;

/// Milliseconds that a request may take when its caller names no deadline.
const DEFAULT_DEADLINE_MS: u64 = 120_000;

/// A request that has been read whole.
pub struct Call {
    /// Method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Query, without its question mark.
    pub query: Option<String>,
    /// Who sent it.
    pub organisation: key::Organisation,
    /// Its identifier.
    pub request: String,
    /// Session that it belongs to.
    pub session: Option<String>,
    /// Token of its session, as an earlier answer handed it out.
    pub session_token: Option<String>,
    /// When its answer is due.
    pub deadline: Instant,
    /// Key under which it runs at most once.
    pub idempotency_key: Option<String>,
    /// Content type of its body.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// Reads a request.
///
/// # Errors
///
/// The typed error to answer with; nothing was run.
pub async fn read(shared: &Shared, request: Request<Incoming>) -> Result<Call, Refusal> {
    let (parts, body) = request.into_parts();
    let headers = &parts.headers;
    let organisation = authorise(shared, headers)?;
    let deadline_ms = match text(headers, header::DEADLINE)? {
        None => DEFAULT_DEADLINE_MS,
        Some(value) => match value.parse() {
            Ok(0) | Err(_) => {
                let message = "x-deadline-ms must be a whole number of milliseconds above 0";
                return Err(Refusal::new(Kind::InvalidRequest, message));
            }
            Ok(millis) => millis,
        },
    };
    let deadline = shared.now().plus_millis(deadline_ms);
    let request = match text(headers, header::REQUEST)? {
        Some(value) if !value.is_empty() => value.to_owned(),
        _ => shared.random_id(),
    };
    Ok(Call {
        method: parts.method.to_string(),
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().map(str::to_owned),
        organisation,
        request,
        session: text(headers, header::SESSION)?.map(str::to_owned),
        session_token: text(headers, header::SESSION_TOKEN)?.map(str::to_owned),
        deadline,
        idempotency_key: text(headers, header::IDEMPOTENCY)?.map(str::to_owned),
        content_type: text(headers, "content-type")?.map(str::to_owned),
        body: read_body(shared, body).await?,
    })
}

fn authorise(shared: &Shared, headers: &HeaderMap) -> Result<key::Organisation, Refusal> {
    let presented = text(headers, "authorization")?
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(|| {
            Refusal::new(Kind::Unauthorized, "present a key as Authorization: Bearer")
        })?;
    let digest = folder::digest(presented.as_bytes());
    let organisation = shared.force().catalog.callers.get(&digest).copied();
    organisation
        .ok_or_else(|| Refusal::new(Kind::Unauthorized, "the key belongs to no organisation"))
}

/// Returns a header as text; a header that is repeated or no text is refused,
/// since two readers could take it for two different things.
fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        let message = format!("header {name} is repeated");
        return Err(Refusal::new(Kind::InvalidRequest, message));
    }
    value.to_str().map(Some).map_err(|_| {
        let message = format!("header {name} is not plain text");
        Refusal::new(Kind::InvalidRequest, message)
    })
}

async fn read_body(shared: &Shared, body: Incoming) -> Result<Bytes, Refusal> {
    let limits = &shared.settings.limits;
    let within = Duration::from_millis(limits.body_timeout_ms);
    let limited = Limited::new(body, limits.body_bytes).collect();
    match tokio::time::timeout(within, limited).await {
        Err(_) => Err(Refusal::new(Kind::SlowSender, "the body came too slowly")),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let message = format!("the body is over {} bytes", limits.body_bytes);
            Err(Refusal::new(Kind::TooLarge, message))
        }
        Ok(Err(_)) => Err(Refusal::new(Kind::InvalidRequest, "the body was cut")),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
    }
}
