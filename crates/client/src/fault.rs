//! Failures of a call across an edge.

use thiserror::Error;

/// Why a call failed, and whether it may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Fault {
    /// No byte of the request left: the call surely had no effect.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request may have arrived and taken effect.
    #[error("outcome unknown: {0}")]
    Unknown(String),
    /// The other side refused the call and said that it did nothing.
    #[error("refused with status {status}: {message}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// What it said.
        message: String,
    },
    /// The answer made no sense.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

impl Fault {
    /// Classifies an error of the HTTP client.
    ///
    /// Only failures that come before the first byte is written count as not
    /// sent. A time-out or a broken connection after that is unknown: the
    /// other side may have done the work and its answer may be lost.
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
