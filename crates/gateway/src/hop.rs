//! The request of a caller on its way from one node to another, and the node that serves it.
//!
//! The peer's internal port gets the caller's headers and body, and what the first node knows of
//! the request in headers of their own. Every answer says whether the peer has begun to serve the
//! request.

use std::rc::Rc;

use anyhow::Context as _;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};

use crate::attempt::Job;
use crate::body::{Guarded, ResponseBody};
use crate::headers;
use crate::node::Node;
use crate::permits::Permit;
use crate::relay::AttemptCount;
use crate::request;

/// Path on which a node serves requests of its peers' callers.
pub const PATH: &str = "/forward";

/// Method and target of the caller's request.
const METHOD: HeaderName = HeaderName::from_static("fescuerack-method");
const TARGET: HeaderName = HeaderName::from_static("fescuerack-target");
/// Milliseconds until its deadline.
const REMAINING_MS: HeaderName = HeaderName::from_static("fescuerack-remaining-ms");
/// Attempts that may have reached a server.
const SENT: HeaderName = HeaderName::from_static("fescuerack-sent");
/// Present if the request has been counted in a retry budget.
const COUNTED: HeaderName = HeaderName::from_static("fescuerack-counted");
/// Last event that the caller has received, if any.
const LAST_EVENT: HeaderName = HeaderName::from_static("fescuerack-last-event");
/// Version of the configuration by which the request was admitted.
const CONFIGURATION: HeaderName = HeaderName::from_static("fescuerack-configuration");
/// In an answer: [`SERVED`], or why the peer did not begin to serve the request. Programs that do
/// not know the path answer without it.
const OUTCOME: HeaderName = HeaderName::from_static("fescuerack-outcome");
/// In an answer that is a stream: attempts that were made until its head.
const ATTEMPTS: HeaderName = HeaderName::from_static("fescuerack-attempts");
/// In an answer of a node that has found meanwhile that it reaches no server: attempts until then.
const PATH_LOST: HeaderName = HeaderName::from_static("fescuerack-path-lost");
const SERVED: HeaderValue = HeaderValue::from_static("served");

/// Maximum number of requests of peers' callers that a node serves at a time.
const MAX_SERVED: usize = 128;
/// What a node tells a peer of a request, besides what the caller sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hop {
    /// Milliseconds until the deadline.
    pub remaining_ms: u64,
    /// Attempts that may have reached a server.
    pub sent: u32,
    /// Whether the request has been counted in a retry budget.
    pub is_counted: bool,
    /// Last event that the caller has received.
    pub last_event: Option<u64>,
}

impl Hop {
    /// Returns the request to a peer for `job`.
    ///
    /// # Errors
    ///
    /// When the target of the caller's request is no text.
    pub fn request(&self, node: &Node, job: &Job) -> anyhow::Result<Request<Full<Bytes>>> {
        let mut request = Request::new(Full::new(job.body.clone()));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static(PATH);
        let headers = request.headers_mut();
        *headers = job.headers.clone();
        headers::strip_hop_by_hop(headers);
        for (name, value) in [
            (METHOD, job.method.to_string()),
            (TARGET, job.target.to_string()),
            (REMAINING_MS, self.remaining_ms.to_string()),
            (SENT, self.sent.to_string()),
            (CONFIGURATION, configuration(node).to_string()),
        ] {
            headers.insert(name, HeaderValue::from_str(&value)?);
        }
        // The caller may have sent such headers.
        headers.remove(COUNTED);
        headers.remove(LAST_EVENT);
        if self.is_counted {
            headers.insert(COUNTED, HeaderValue::from_static("1"));
        }
        if let Some(last) = self.last_event {
            headers.insert(LAST_EVENT, HeaderValue::from(last));
        }
        Ok(request)
    }
}

/// Returns why a peer did not begin to serve a request, by the headers of its answer; `None` if it
/// did.
#[must_use]
pub fn refusal(headers: &HeaderMap) -> Option<String> {
    let outcome = headers.get(OUTCOME);
    if outcome == Some(&SERVED) {
        return None;
    }
    let reason = outcome.and_then(|outcome| outcome.to_str().ok());
    Some(reason.unwrap_or("unknown path").to_owned())
}

/// Returns the attempts that a peer has made until the head of a stream.
#[must_use]
pub fn attempts(headers: &HeaderMap) -> Option<u32> {
    number(headers, &ATTEMPTS)?.try_into().ok()
}

/// Returns the attempts that a peer had made when it found that it reaches no server; `None` if it has
/// served the request.
#[must_use]
pub fn path_lost(headers: &HeaderMap) -> Option<u32> {
    number(headers, &PATH_LOST)?.try_into().ok()
}

/// Removes what an answer says of the hop.
pub fn strip_outcome(headers: &mut HeaderMap) {
    headers.remove(OUTCOME);
    headers.remove(ATTEMPTS);
}

/// States, as an extension of a response, why the node has not begun to serve a request of a peer's
/// caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotTaken(pub &'static str);

/// States, as an extension of a response, after how many attempts the node has found that it reaches no
/// server for a request of a peer's caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PathLost(pub u32);

/// Reason of a node that has too many requests, but may take one soon.
pub const FULL: &str = "full";

/// The body of an answer, with the permit to serve its request.
pub type Permitted = Guarded<Option<Permit>>;

/// Serves a request of a peer's caller.
pub async fn serve(node: Rc<Node>, request: Request<Incoming>) -> Response<Permitted> {
    let permit = match admit(&node, request.headers()) {
        Ok(permit) => permit,
        Err(reason) => return refuse(reason),
    };
    let (request, hop) = match unwrap(request) {
        Ok(unwrapped) => unwrapped,
        Err(error) => {
            tracing::warn!(event = "peer-message-unreadable", path = PATH, reason = %error);
            return refuse("unreadable");
        }
    };
    let mut response = request::serve(node, request, Some(hop)).await;
    if let Some(NotTaken(reason)) = response.extensions().get().copied() {
        return refuse(reason);
    }
    response.headers_mut().insert(OUTCOME, SERVED);
    if let Some(AttemptCount(sent)) = response.extensions().get().copied() {
        let sent = HeaderValue::from(sent);
        response.headers_mut().insert(ATTEMPTS, sent);
    }
    if let Some(PathLost(sent)) = response.extensions().get().copied() {
        let sent = HeaderValue::from(sent);
        response.headers_mut().insert(PATH_LOST, sent);
    }
    response.map(|body| Permitted::new(body, Some(permit)))
}

/// Returns the permit to serve a request of a peer's caller, or why this node does not.
fn admit(node: &Node, headers: &HeaderMap) -> Result<Permit, &'static str> {
    if node.is_stopping() {
        return Err("stopping");
    }
    if number(headers, &CONFIGURATION) > Some(configuration(node)) {
        return Err("behind");
    }
    let permit = node.forwarding.served.try_acquire(MAX_SERVED);
    permit.ok_or(FULL)
}

fn refuse(reason: &'static str) -> Response<Permitted> {
    let body = ResponseBody::buffered(Bytes::new());
    let mut response = Response::new(Permitted::new(body, None));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let headers = response.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static(reason));
    response
}

/// Returns the caller's request, and what the peer has stated of it.
fn unwrap(mut request: Request<Incoming>) -> anyhow::Result<(Request<Incoming>, Hop)> {
    let headers = request.headers_mut();
    let hop = Hop {
        remaining_ms: number(headers, &REMAINING_MS).context("remaining time")?,
        sent: u32::try_from(number(headers, &SENT).context("attempts")?)?,
        is_counted: headers.contains_key(COUNTED),
        last_event: number(headers, &LAST_EVENT),
    };
    let method = headers.remove(METHOD).context("method")?;
    let target = headers.remove(TARGET).context("target")?;
    for name in [REMAINING_MS, SENT, COUNTED, LAST_EVENT, CONFIGURATION] {
        headers.remove(name);
    }
    *request.method_mut() = Method::from_bytes(method.as_bytes())?;
    *request.uri_mut() = target.to_str()?.parse()?;
    Ok((request, hop))
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn configuration(node: &Node) -> u64 {
    let view = node.view.borrow();
    view.catalog
        .as_ref()
        .map_or(0, |catalog| catalog.config_version)
}
