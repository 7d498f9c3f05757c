//! Messages of the service that rates answers: `POST /v1/ratings`.

use serde::{Deserialize, Serialize};

/// An answer to be rated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Class of work.
    pub class: String,
    /// Version that answered.
    pub version: String,
    /// Text of the answer.
    pub answer: String,
}

/// Rating of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rating {
    /// Quality, in the range 0 to 1.
    pub quality: f64,
}
