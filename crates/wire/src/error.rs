//! Typed errors in the bodies of answers to callers.

use serde::{Deserialize, Serialize};

/// Kind of an error. Each kind has one HTTP status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request is malformed.
    InvalidRequest,
    /// The request has no valid API key.
    Unauthorized,
    /// The organisation is not permitted to use what it requested.
    Forbidden,
    /// The path does not exist.
    NotFound,
    /// The path does not support the method.
    MethodNotAllowed,
    /// The idempotency key was used with another body, or its request is still running.
    Conflict,
    /// The body or a header is too large.
    TooLarge,
    /// The caller sent the request too slowly.
    SlowSender,
    /// The request was refused because of overload.
    Overloaded,
    /// No healthy version or server can accept the request.
    Unavailable,
    /// The request was sent to a server, but its outcome is unknown.
    OutcomeUnknown,
    /// The deadline has expired.
    DeadlineExceeded,
    /// The backend server failed.
    UpstreamFailed,
}

impl Kind {
    /// Returns the HTTP status.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::InvalidRequest => 400,
            Self::Unauthorized => 401,
            Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::MethodNotAllowed => 405,
            Self::SlowSender => 408,
            Self::Conflict => 409,
            Self::TooLarge => 413,
            Self::Overloaded => 429,
            Self::UpstreamFailed | Self::OutcomeUnknown => 502,
            Self::Unavailable => 503,
            Self::DeadlineExceeded => 504,
        }
    }
}

/// An error in an answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// Kind of the error.
    #[serde(rename = "type")]
    pub kind: Kind,
    /// Human-readable message.
    pub message: String,
    /// Outcome of the request: `done`, `not-run` or `unknown`.
    pub outcome: String,
}

/// Body of an error answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Body {
    /// The error.
    pub error: Error,
}
