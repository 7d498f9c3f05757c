//! Errors of calls to other processes.

use fescuerack_core::num;
use thiserror::Error;

/// Reason why a call failed. Each variant states whether the call may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Fault {
    /// No byte of the request was sent, so the call certainly had no effect.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request may have been received and may have taken effect.
    #[error("outcome unknown: {0}")]
    Unknown(String),
    /// The server reported an error of its own while it ran the call, which may have taken effect.
    #[error("failed with status {status}: {message}")]
    Failed {
        /// HTTP status.
        status: u16,
        /// Body of the response.
        message: String,
    },
    /// The server refused the call. Whether the call had an effect depends on the
    /// service: the clients of the store and of plain services return this only if it had none.
    #[error("refused with status {status}: {message}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Body of the response.
        message: String,
        /// Milliseconds for which the server wants nothing from this process, if it states them.
        rest_ms: Option<u64>,
    },
    /// The response could not be parsed or broke the protocol. The call may have taken effect.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

impl Fault {
    /// Classifies an answer with an error status: 5xx other than 503 is an error of the server.
    #[must_use]
    pub const fn from_status(status: u16, message: String) -> Self {
        match status {
            500..=502 | 504..=599 => Self::Failed { status, message },
            _ => Self::refused(status, message),
        }
    }

    /// Returns the refusal of a call by a server that does not ask for rest.
    #[must_use]
    pub const fn refused(status: u16, message: String) -> Self {
        Self::Refused {
            status,
            message,
            rest_ms: None,
        }
    }

    /// Returns this error with the rest that the refusing server asks for in `retry_after`, the value
    /// of the header. Only a server that has turned the call away with 503 asks for rest.
    #[must_use]
    pub fn with_rest(mut self, retry_after: Option<&str>) -> Self {
        if let Self::Refused {
            status: 503,
            rest_ms,
            ..
        } = &mut self
        {
            *rest_ms = retry_after.and_then(num::decimal_millis);
            if let (Some(value), None) = (retry_after, &rest_ms) {
                log::warn!("a server asks for rest with an unreadable Retry-After: {value:?}");
            }
        }
        self
    }

    /// Classifies an error of the HTTP client.
    ///
    /// Only errors that occur before the first byte is written map to [`Fault::NotSent`]. The
    /// outcome of a later time-out or connection error is unknown: the server may have executed
    /// the call, and only its response was lost.
    #[must_use]
    pub fn from_client(error: &ureq::Error) -> Self {
        use ureq::Timeout;
        match error {
            ureq::Error::HostNotFound
            | ureq::Error::ConnectionFailed
            | ureq::Error::BadUri(_)
            | ureq::Error::Http(_)
            | ureq::Error::Timeout(Timeout::Resolve | Timeout::Connect) => {
                Self::NotSent(error.to_string())
            }
            ureq::Error::Io(cause) if cause.kind() == std::io::ErrorKind::ConnectionRefused => {
                Self::NotSent(error.to_string())
            }
            _ => Self::Unknown(error.to_string()),
        }
    }
}
