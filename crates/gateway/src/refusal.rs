//! Answers of the gateway's own.

use bytes::Bytes;
use fescuerack_core::clock::Instant;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::body::Answer;

/// Part of the time that is left which a caller may be asked to wait.
const PART: u64 = 4;
/// Milliseconds that a caller is asked to wait at least: a queue of plain calls has
/// moved on by then.
const LEAST_MS: u64 = 60;
/// Milliseconds that a caller is asked to wait at most.
const MOST_MS: u64 = 1_500;

/// Why the gateway answers by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No configuration is known yet.
    NotReady,
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    NoKey,
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not come, or not whole.
    NoBody,
    /// Nothing has run and nothing will: no server can take it now.
    NotRun,
    /// It may have run; no answer came.
    Unknown,
    /// It may have run; its time is over.
    Late,
}

impl Refusal {
    /// Status of the answer.
    #[must_use]
    pub const fn status(self) -> StatusCode {
        match self {
            Self::NotReady | Self::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoBody => StatusCode::BAD_REQUEST,
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Word for logs and metrics.
    #[must_use]
    pub const fn word(self) -> &'static str {
        match self {
            Self::NotReady => "not-ready",
            Self::NoRoute => "no-route",
            Self::NoKey => "no-key",
            Self::TooLarge => "too-large",
            Self::NoBody => "no-body",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Late => "late",
        }
    }

    /// Answer to the caller; `spread`, from 0 to 1, keeps those who are refused
    /// together from coming back together.
    #[must_use]
    pub fn answer(self, now: Instant, deadline: Instant, spread: f64) -> Response<Answer> {
        let text = format!("{}\n", self.word());
        let mut response = Response::new(Answer::whole(Bytes::from(text)));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if self.status() == StatusCode::SERVICE_UNAVAILABLE {
            let left_ms = u64::try_from(deadline.since(now).as_millis()).unwrap_or(MOST_MS);
            let most_ms = (left_ms / PART).clamp(LEAST_MS, MOST_MS);
            let range = f64::from(u32::try_from(most_ms - LEAST_MS).unwrap_or(u32::MAX));
            let least = f64::from(u32::try_from(LEAST_MS).unwrap_or(u32::MAX));
            let seconds = (least + range * spread) / 1_000.0;
            if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.3}")) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
