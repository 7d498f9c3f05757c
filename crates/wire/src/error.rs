//! Typed errors in the bodies of answers.

use serde::{Deserialize, Serialize};

/// What went wrong; each kind has one HTTP status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request is not well formed.
    InvalidRequest,
    /// No valid key was presented.
    Unauthorized,
    /// The organisation may not use what it asked for.
    Forbidden,
    /// No such path.
    NotFound,
    /// The path has no such method.
    MethodNotAllowed,
    /// The idempotency key was used with another body, or still runs.
    Conflict,
    /// The body or a header is too large.
    TooLarge,
    /// The sender was too slow.
    SlowSender,
    /// Turned away because of load.
    Overloaded,
    /// No healthy version or server could take the request.
    Unavailable,
    /// The request was sent and its end is not known.
    OutcomeUnknown,
    /// The deadline passed.
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

/// An error as callers see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// What went wrong.
    #[serde(rename = "type")]
    pub kind: Kind,
    /// Text for people.
    pub message: String,
    /// `done`, `not-run` or `unknown`.
    pub outcome: String,
}

/// Body of an answer that is an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Body {
    /// The error.
    pub error: Error,
}
