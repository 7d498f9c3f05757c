//! Messages of the administration API on the operators' port. All messages are JSON.
//!
//! `docs/openapi.yaml` describes the API; a test compares it with these types and with the answers
//! of a running process.

use std::collections::BTreeMap;

use fescuerack_config::Problem;
use fescuerack_config::change::Action;
use fescuerack_config::effect::Effect;
use serde::{Deserialize, Serialize};

/// A change that an operator proposes: either files or a named action.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Proposal {
    /// Identifier chosen by the sender. Sending the same proposal again under the same identifier
    /// has no further effect.
    pub request: String,
    /// Reason for the change, recorded in the history.
    #[serde(rename = "why")]
    pub reason: String,
    /// Text of each file to write, or `null` for a file to remove.
    pub files: BTreeMap<String, Option<String>>,
    /// Digest of each file on which the proposal is based. If the file has a different digest by
    /// now, the proposal is a conflict. A file that is not listed here is not checked.
    #[serde(rename = "seen")]
    pub base: BTreeMap<String, String>,
    /// Action, used instead of files.
    pub action: Option<Action>,
}

/// Changes and effects that a proposal would have.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Revision that the proposal was compared with.
    pub revision: u64,
    /// Files that would be added.
    pub added: Vec<String>,
    /// Files whose text would change.
    pub changed: Vec<String>,
    /// Files that would be removed.
    pub removed: Vec<String>,
    /// Effects, losses first.
    pub effects: Vec<Effect>,
}

/// A change that was accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Revision of the active configuration.
    pub revision: u64,
    /// Whether the configuration already had the requested content.
    pub unchanged: bool,
    /// Effects, losses first.
    pub effects: Vec<Effect>,
}

/// Kind of an error of an operator's request. Each kind has one HTTP status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request is malformed.
    InvalidRequest,
    /// The request has no valid operator token.
    Unauthorized,
    /// The change lies outside the operator's scope.
    Forbidden,
    /// The path does not exist.
    NotFound,
    /// Another operator has changed a file in the meantime, or the identifier was used for another
    /// proposal. Nothing was changed.
    Conflict,
    /// The body is too large.
    TooLarge,
    /// The resulting configuration is invalid, or the action does not apply to the active
    /// configuration. Nothing was changed.
    Refused,
    /// The store does not answer. Nothing was changed.
    #[serde(rename = "store_out")]
    StoreUnavailable,
    /// The store did not answer after the change was sent. The change may be active; sending the
    /// same proposal again determines whether it is.
    OutcomeUnknown,
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
            Self::Conflict => 409,
            Self::TooLarge => 413,
            Self::Refused => 422,
            Self::StoreUnavailable => 503,
            Self::OutcomeUnknown => 504,
        }
    }
}

/// An error of the administration API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// Kind of the error.
    #[serde(rename = "type")]
    pub kind: Kind,
    /// Human-readable message.
    pub message: String,
    /// Problems with their positions.
    #[serde(default)]
    pub problems: Vec<Problem>,
}

impl Error {
    /// Creates an error.
    #[must_use]
    pub fn new(kind: Kind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            problems: Vec::new(),
        }
    }

    /// Returns the error with `problems`.
    #[must_use]
    pub fn with_problems(mut self, problems: Vec<Problem>) -> Self {
        self.problems = problems;
        self
    }
}

/// Body of an error answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// The error.
    pub error: Error,
}

/// Summary of one process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the instance.
    pub instance: String,
    /// Availability zone.
    pub zone: String,
    /// Name of the incarnation, which changes with every restart of the process.
    pub incarnation: String,
    /// Whether the process accepts requests of callers.
    pub ready: bool,
    /// Whether the process is draining and refuses new requests.
    pub draining: bool,
    /// Revision of the active configuration.
    pub revision: u64,
}

/// Origin of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    /// The store, which holds the configuration that was accepted last.
    #[default]
    Store,
    /// The local copy of the instance, which holds its active configuration. The store did not
    /// answer, so a later change may have been accepted.
    Instance,
}

/// A configuration, with its origin and revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Origin of the configuration.
    pub source: Source,
    /// Revision of the configuration.
    pub revision: u64,
    /// Files, by name.
    pub files: BTreeMap<String, File>,
}

/// One file of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct File {
    /// Digest of the text.
    pub digest: String,
    /// Author of the last change.
    pub author: String,
    /// Revision of the last change.
    pub revision: u64,
    /// Text of the file.
    pub text: String,
}

/// The latest changes, newest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Changes, newest first.
    pub changes: Vec<Change>,
}

/// One change of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Revision that the change made.
    pub revision: u64,
    /// Author of the change.
    pub author: String,
    /// Reason that the author gave.
    #[serde(rename = "why")]
    pub reason: String,
    /// Wall-clock time, in seconds since the Unix epoch.
    pub at: u64,
    /// Identifier of the operator's request.
    pub request: String,
    /// Files that were added or changed.
    pub put: Vec<String>,
    /// Files that were removed.
    pub removed: Vec<String>,
}

/// The instances of the router, as recorded by the instance that answers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instances {
    /// Instances, ordered by name.
    pub instances: Vec<Instance>,
}

/// One instance of the router.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name.
    pub instance: String,
    /// Availability zone.
    pub zone: String,
    /// Revision of its active configuration, or `null` if the instance did not answer.
    pub revision: Option<u64>,
    /// Whether the platform lists the instance as leaving.
    pub leaving: bool,
}

/// Totals of the billing ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// One sum for each organisation and version.
    pub sums: Vec<Sum>,
    /// Number of duplicate entries that were dropped, by request identity.
    #[serde(rename = "doubles")]
    pub duplicates: u64,
}

/// Amount that one organisation owes for one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sum {
    /// Name of the organisation.
    pub organisation: String,
    /// Version, or the name of a plain service.
    pub version: String,
    /// Number of requests.
    pub requests: u64,
    /// Input tokens.
    pub input_tokens: u64,
    /// Output tokens.
    pub output_tokens: u64,
    /// Cost in micro-euro.
    pub cost: u64,
}
