//! Answers of the gateway's own.

use bytes::Bytes;
use fescuerack_core::clock::Instant;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::body::ResponseBody;

/// Part of the time that is left which a caller may be asked to wait.
const RETRY_AFTER_DIVISOR: u64 = 4;
/// Milliseconds that a caller is asked to wait at least: a queue of plain calls has
/// moved on by then.
const RETRY_AFTER_MIN_MS: u64 = 60;
/// Milliseconds that a caller is asked to wait at most.
const RETRY_AFTER_MAX_MS: u64 = 1_500;

/// Why the gateway answers by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No configuration is known yet.
    NotReady,
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not come, or not whole.
    IncompleteBody,
    /// Nothing has run and nothing will: no server can take it now.
    NotExecuted,
    /// It may have run; no answer came.
    OutcomeUnknown,
    /// It may have run; its time is over.
    DeadlineExceeded,
}

impl Refusal {
    /// Status of the answer.
    #[must_use]
    pub const fn status(self) -> StatusCode {
        match self {
            Self::NotReady | Self::NotExecuted => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::IncompleteBody => StatusCode::BAD_REQUEST,
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Word for logs and metrics.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::NotReady => "not-ready",
            Self::NoRoute => "no-route",
            Self::UnknownKey => "no-key",
            Self::TooLarge => "too-large",
            Self::IncompleteBody => "no-body",
            Self::NotExecuted => "not-run",
            Self::OutcomeUnknown => "unknown",
            Self::DeadlineExceeded => "late",
        }
    }

    /// Answer to the caller; `spread`, from 0 to 1, keeps those who are refused
    /// together from coming back together.
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
            let least = f64::from(u32::try_from(RETRY_AFTER_MIN_MS).unwrap_or(u32::MAX));
            let seconds = (least + range * spread) / 1_000.0;
            if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.3}")) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
