//! Reads a request within limits: headers, key, deadline and body.

use std::time::Duration;

use bytes::Bytes;
use fescuerack_config::{folder, key};
use fescuerack_core::clock::Instant;
use fescuerack_gateway::bodies::{self, Failure, Reason};
use fescuerack_wire::error::Kind;
use fescuerack_wire::header;
use hyper::HeaderMap;
use hyper::body::Incoming;
use hyper::http::request::Parts;

use super::reply::Refusal;
use crate::node_state::NodeState;

/// Deadline in milliseconds of a request whose caller sets none.
const DEFAULT_DEADLINE_MS: u64 = 120_000;
/// Maximum deadline in milliseconds, one day: no answer takes that long.
const MAX_DEADLINE_MS: u64 = 86_400_000;
/// Maximum length in bytes of a request, session or idempotency key.
const MAX_NAME_BYTES: usize = 256;

/// A request that has been read completely.
pub struct Call {
    /// Method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Query, without its question mark.
    pub query: Option<String>,
    /// Organisation that sent it.
    pub organisation: key::Organisation,
    /// Identifier of the request.
    pub request: String,
    /// Session that it belongs to.
    pub session: Option<String>,
    /// Token of the session, from an earlier answer.
    pub session_token: Option<String>,
    /// When the answer is due.
    pub deadline: Instant,
    /// Key under which the request runs at most once.
    pub idempotency_key: Option<String>,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// The parsed headers of a request.
pub struct Head {
    organisation: key::Organisation,
    request: String,
    session: Option<String>,
    session_token: Option<String>,
    deadline: Instant,
    idempotency_key: Option<String>,
    content_type: Option<String>,
}

impl Call {
    /// Combines the headers, the request line and the body.
    pub fn new(head: Head, parts: &Parts, body: Bytes) -> Self {
        Self {
            method: parts.method.to_string(),
            path: parts.uri.path().to_owned(),
            query: parts.uri.query().map(str::to_owned),
            organisation: head.organisation,
            request: head.request,
            session: head.session,
            session_token: head.session_token,
            deadline: head.deadline,
            idempotency_key: head.idempotency_key,
            content_type: head.content_type,
            body,
        }
    }
}

/// Reads the headers of a request; the body is read only if they are valid.
///
/// # Errors
///
/// The typed error to answer with; nothing was run.
pub fn head(shared: &NodeState, parts: &Parts) -> Result<Head, Refusal> {
    let headers = &parts.headers;
    let organisation = authorise(shared, headers)?;
    let deadline = shared.now().plus_millis(deadline_ms(headers)?);
    let request = name(headers, header::REQUEST)?;
    Ok(Head {
        organisation,
        request: request.unwrap_or_else(|| shared.random_id()),
        session: name(headers, header::SESSION)?,
        session_token: text(headers, header::SESSION_TOKEN)?.map(str::to_owned),
        deadline,
        idempotency_key: name(headers, header::IDEMPOTENCY)?,
        content_type: text(headers, "content-type")?.map(str::to_owned),
    })
}

fn deadline_ms(headers: &HeaderMap) -> Result<u64, Refusal> {
    let Some(value) = text(headers, header::DEADLINE)? else {
        return Ok(DEFAULT_DEADLINE_MS);
    };
    let millis = value.parse().ok();
    millis
        .filter(|millis| (1..=MAX_DEADLINE_MS).contains(millis))
        .ok_or_else(|| {
            let message = format!(
                "{}: must be a whole number of milliseconds from 1 to {MAX_DEADLINE_MS}",
                header::DEADLINE
            );
            Refusal::new(Kind::InvalidRequest, message)
        })
}

/// Returns a header that holds a name; `None` if it is empty. Names become part
/// of store keys and records, so their length is limited.
fn name(headers: &HeaderMap, header: &str) -> Result<Option<String>, Refusal> {
    let value = text(headers, header)?.filter(|value| !value.is_empty());
    if value.is_some_and(|value| value.len() > MAX_NAME_BYTES) {
        let message = format!("header {header} is over {MAX_NAME_BYTES} bytes");
        return Err(Refusal::new(Kind::InvalidRequest, message));
    }
    Ok(value.map(str::to_owned))
}

fn authorise(shared: &NodeState, headers: &HeaderMap) -> Result<key::Organisation, Refusal> {
    let presented = text(headers, "authorization")?
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(|| {
            Refusal::new(Kind::Unauthorized, "present a key as Authorization: Bearer")
        })?;
    let digest = folder::digest(presented.as_bytes());
    let organisation = shared
        .active_configuration()
        .catalog
        .organisation_by_key
        .get(&digest)
        .copied();
    organisation
        .ok_or_else(|| Refusal::new(Kind::Unauthorized, "the key belongs to no organisation"))
}

/// Returns a header as text. A header that is repeated or not text is refused,
/// because two programs could interpret it differently.
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

/// Reads a body within the limits on size, time and the memory of all bodies.
///
/// # Errors
///
/// The typed error to answer with; nothing was run.
pub async fn body(shared: &NodeState, body: Incoming) -> Result<Bytes, Refusal> {
    let limits = &shared.settings.limits;
    let timeout = Duration::from_millis(limits.body_timeout_ms);
    let read_limits = || bodies::Limits {
        bytes: limits.body_bytes,
        idle: timeout,
    };
    let reading = shared.bodies.collect(body, || shared.now(), read_limits);
    let read = tokio::time::timeout(timeout, reading).await;
    let result = read.unwrap_or(Err(Failure {
        read: 0,
        reason: Reason::Stalled,
    }));
    result.map_err(|failure| body_refusal(shared, failure.reason))
}

fn body_refusal(shared: &NodeState, reason: Reason) -> Refusal {
    let (kind, message) = match reason {
        Reason::Stalled => (Kind::SlowSender, "the body came too slowly".to_owned()),
        Reason::TooLarge(max) => (Kind::TooLarge, format!("the body is over {max} bytes")),
        Reason::Incomplete => (Kind::InvalidRequest, "the body was cut".to_owned()),
        Reason::NoMemory(reason) => {
            shared.metrics.count("callers.no_body_memory");
            log::info!(reason:%; "refused the body of a request");
            (
                Kind::Overloaded,
                "no memory for the body; not run".to_owned(),
            )
        }
    };
    Refusal::new(kind, message)
}
