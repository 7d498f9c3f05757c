//! Error responses that the gateway itself generates.

use std::time::Duration;

use bytes::Bytes;
use fescuerack_core::clock::Instant;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::body::ResponseBody;

/// A caller is asked to wait at most the time until its deadline, divided by this.
const RETRY_AFTER_DIVISOR: u64 = 4;
/// Minimum `Retry-After` in milliseconds. A queue of plain requests has advanced by then.
const RETRY_AFTER_MIN_MS: u64 = 60;
/// Maximum `Retry-After` in milliseconds.
const RETRY_AFTER_MAX_MS: u64 = 1_500;

/// Returns whether a status promises that the request was not run and will not be.
#[must_use]
pub const fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

/// Why the gateway answers a request with an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The configuration has not been loaded yet.
    NotReady,
    /// No route matches.
    NoRoute,
    /// The API key is missing or unknown.
    UnknownKey,
    /// The body exceeds the limit.
    TooLarge,
    /// The body was truncated, or the request was malformed.
    IncompleteBody,
    /// The request was not run and will not be; nothing of its body has arrived for too long.
    Stalled,
    /// The request was not run and will not be; this node has no memory for its body now.
    NoMemory,
    /// The request was not run and will not be; no server can take it now.
    NotRun,
    /// The request was not run and will not be; no server accepts one before the given time.
    NotBefore(Instant),
    /// The request came through a peer, and was not run: this node reaches no server for it, either.
    Unreached,
    /// The request came through a peer, and was not run: too many wait here for brittle servers.
    Full,
    /// The request may have been run; no answer was received.
    OutcomeUnknown,
    /// The request came through a peer, and may have been run by one of this many attempts. Since then
    /// this node has found that it reaches no server for it.
    PathLost(u32),
    /// The request may have been run; its deadline has passed.
    DeadlineExceeded,
}

impl Refusal {
    /// Returns the status of the response.
    #[must_use]
    pub const fn status(self) -> StatusCode {
        match self {
            Self::NotReady
            | Self::NoMemory
            | Self::NotRun
            | Self::NotBefore(_)
            | Self::Unreached
            | Self::Full => StatusCode::SERVICE_UNAVAILABLE,
            Self::Stalled => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::IncompleteBody => StatusCode::BAD_REQUEST,
            Self::OutcomeUnknown | Self::PathLost(_) => StatusCode::BAD_GATEWAY,
            Self::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the code for the response body, logs and metrics.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::NotReady => "not-ready",
            Self::NoRoute => "no-route",
            Self::UnknownKey => "no-key",
            Self::TooLarge => "too-large",
            Self::IncompleteBody => "no-body",
            Self::Stalled => "stalled",
            Self::NoMemory => "memory",
            Self::NotRun | Self::NotBefore(_) => "not-run",
            Self::Unreached => "unreached",
            Self::Full => "full",
            Self::OutcomeUnknown => "unknown",
            Self::PathLost(_) => "path-lost",
            Self::DeadlineExceeded => "late",
        }
    }

    /// Returns the response to the caller. A random `spread` from 0 to 1 sets `Retry-After`
    /// within its range, so that callers refused at the same time do not retry at the same time.
    /// The range begins no earlier than a server accepts a request again.
    #[must_use]
    pub fn response(self, now: Instant, deadline: Instant, spread: f64) -> Response<ResponseBody> {
        let text = format!("{}\n", self.code());
        let mut response = Response::new(ResponseBody::buffered(Bytes::from(text)));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if self.status() == StatusCode::SERVICE_UNAVAILABLE {
            let left_ms =
                u64::try_from(deadline.since(now).as_millis()).unwrap_or(RETRY_AFTER_MAX_MS);
            let max_ms =
                (left_ms / RETRY_AFTER_DIVISOR).clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
            let range = f64::from(u32::try_from(max_ms - RETRY_AFTER_MIN_MS).unwrap_or(u32::MAX));
            let min_ms = f64::from(u32::try_from(RETRY_AFTER_MIN_MS).unwrap_or(u32::MAX));
            let wait = match self {
                Self::NotBefore(at) => at.since(now),
                _ => Duration::ZERO,
            };
            let seconds = wait.as_secs_f64() + (min_ms + range * spread) / 1_000.0;
            if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.3}")) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
