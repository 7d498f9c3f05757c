//! Replies to callers and their typed errors.

use std::convert::Infallible;

use bytes::Bytes;
use fescuerack_core::attempt::Outcome;
use fescuerack_wire::error::{Body as ErrorBody, Error, Kind};
use fescuerack_wire::header;
use http_body_util::{BodyExt as _, Full, combinators::BoxBody};
use hyper::Response;
use hyper::header::{HeaderName, HeaderValue};

/// Body of a reply; an error from it cuts the connection.
pub type Body = BoxBody<Bytes, std::io::Error>;
/// A reply to a caller.
pub type Reply = Response<Body>;

/// Returns a body that is sent at once.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed()
}

/// Returns the name of an outcome in headers and error bodies.
pub const fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Done => "done",
        Outcome::NotRun => "not-run",
        Outcome::Unknown => "unknown",
    }
}

/// Returns a reply with a body that is sent at once.
pub fn buffered_reply(status: u16, content_type: &'static str, bytes: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(full_body(bytes));
    if let Ok(status) = hyper::StatusCode::from_u16(status) {
        *reply.status_mut() = status;
    }
    let value = HeaderValue::from_static(content_type);
    reply
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, value);
    reply
}

/// Returns a JSON reply with status 200.
pub fn json_reply<T: serde::Serialize>(value: &T) -> Reply {
    let bytes = serde_json::to_vec(value).expect("wire messages have only plain fields");
    buffered_reply(200, "application/json", bytes)
}

/// Adds a header; skips it if the value is not a valid header value.
pub fn with_header(mut reply: Reply, name: &'static str, value: &str) -> Reply {
    if let Ok(value) = HeaderValue::from_str(value) {
        reply
            .headers_mut()
            .insert(HeaderName::from_static(name), value);
    }
    reply
}

/// A request that is refused before anything was run.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// Kind of the error.
    pub kind: Kind,
    /// Human-readable message.
    pub message: String,
    /// Seconds after which the caller may retry, if known.
    pub retry_s: Option<u64>,
}

impl Refusal {
    /// Creates a refusal.
    pub fn new(kind: Kind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_s: None,
        }
    }

    /// Sets the seconds after which the caller may retry.
    pub fn with_retry(mut self, seconds: u64) -> Self {
        self.retry_s = Some(seconds);
        self
    }
}

impl From<Refusal> for Reply {
    fn from(refusal: Refusal) -> Self {
        let reply = not_run_error(refusal.kind, &refusal.message);
        match refusal.retry_s {
            Some(seconds) => with_header(reply, "retry-after", &seconds.to_string()),
            None => reply,
        }
    }
}

/// Kind and outcome of a typed error; attached to the reply as an extension so
/// that all errors are counted in one place.
#[derive(Clone, Copy, Debug)]
pub struct ErrorSummary {
    /// Kind of the error.
    pub kind: Kind,
    /// Whether the request ran.
    pub outcome: Outcome,
}

impl ErrorSummary {
    /// Returns the name of the counter for the kind.
    pub const fn counter(self) -> &'static str {
        match self.kind {
            Kind::InvalidRequest => "errors.invalid_request",
            Kind::Unauthorized => "errors.unauthorized",
            Kind::Forbidden => "errors.forbidden",
            Kind::NotFound => "errors.not_found",
            Kind::MethodNotAllowed => "errors.method_not_allowed",
            Kind::Conflict => "errors.conflict",
            Kind::TooLarge => "errors.too_large",
            Kind::SlowSender => "errors.slow_sender",
            Kind::Overloaded => "errors.overloaded",
            Kind::Unavailable => "errors.unavailable",
            Kind::OutcomeUnknown => "errors.outcome_unknown",
            Kind::DeadlineExceeded => "errors.deadline_exceeded",
            Kind::UpstreamFailed => "errors.upstream_failed",
        }
    }
}

/// Returns a typed error for a request of which nothing was run.
pub fn not_run_error(kind: Kind, message: &str) -> Reply {
    typed_error(kind, message, Outcome::NotRun)
}

/// Returns a typed error.
pub fn typed_error(kind: Kind, message: &str, outcome: Outcome) -> Reply {
    let body = error_body(kind, message, outcome);
    let mut reply = buffered_reply(kind.status(), "application/json", body);
    reply
        .extensions_mut()
        .insert(ErrorSummary { kind, outcome });
    let reply = with_header(reply, header::OUTCOME, outcome_name(outcome));
    if matches!(kind, Kind::Overloaded | Kind::Unavailable) {
        return with_header(reply, "retry-after", "1");
    }
    reply
}

/// Returns the body of a typed error.
pub fn error_body(kind: Kind, message: &str, outcome: Outcome) -> Vec<u8> {
    let body = ErrorBody {
        error: Error {
            kind,
            message: message.to_owned(),
            outcome: outcome_name(outcome).to_owned(),
        },
    };
    serde_json::to_vec(&body).expect("wire messages have only plain fields")
}
