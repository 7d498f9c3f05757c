//! Messages of the administration API on the operators' port.
//!
//! `docs/openapi.yaml` describes the paths; a test compares it with these
//! types and with the answers of a running process. All messages are JSON.

use std::collections::BTreeMap;

use fescuerack_config::Problem;
use fescuerack_config::change::Action;
use fescuerack_config::effect::Effect;
use serde::{Deserialize, Serialize};

/// A change that an operator proposes: files, or an action by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Proposal {
    /// Identifier chosen by the sender; sending the same proposal again under
    /// the same identifier changes nothing more.
    pub request: String,
    /// Why the change is made; kept in the history.
    pub why: String,
    /// Text of each file to put; `null` for each to remove.
    pub files: BTreeMap<String, Option<String>>,
    /// Digest of each file that the proposal was made on. A file that has
    /// another digest meanwhile is a conflict. A file that is not named here
    /// is taken as it stands.
    pub seen: BTreeMap<String, String>,
    /// Action, in place of files.
    pub action: Option<Action>,
}

/// What a proposal would do.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Revision that it was compared with.
    pub revision: u64,
    /// Files that would be new.
    pub added: Vec<String>,
    /// Files whose text would change.
    pub changed: Vec<String>,
    /// Files that would go.
    pub removed: Vec<String>,
    /// Effects, losses first.
    pub effects: Vec<Effect>,
}

/// A change that was accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Revision in force.
    pub revision: u64,
    /// Whether everything stood like this already.
    pub unchanged: bool,
    /// Effects, losses first.
    pub effects: Vec<Effect>,
}

/// What went wrong with an operator's request; each kind has one HTTP status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request is not well formed.
    InvalidRequest,
    /// No token of an operator was presented.
    Unauthorized,
    /// The change lies outside the operator's scope.
    Forbidden,
    /// No such path.
    NotFound,
    /// Somebody else changed a file meanwhile, or the identifier was used for
    /// another proposal. Nothing was changed.
    Conflict,
    /// The body is too large.
    TooLarge,
    /// The configuration that would come out holds problems, or the action
    /// makes no sense for it. Nothing was changed.
    Refused,
    /// The store gives no answer. Nothing was changed.
    StoreOut,
    /// The store gave no answer after the change was sent. It may be in force;
    /// sending the same proposal again tells.
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
            Self::StoreOut => 503,
            Self::OutcomeUnknown => 504,
        }
    }
}

/// An error of the administration API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// What went wrong.
    #[serde(rename = "type")]
    pub kind: Kind,
    /// Text for people.
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

    /// Adds problems.
    #[must_use]
    pub fn with_problems(mut self, problems: Vec<Problem>) -> Self {
        self.problems = problems;
        self
    }
}

/// Body of an answer that is an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// The error.
    pub error: Error,
}

/// One process in short.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the instance.
    pub instance: String,
    /// Availability zone.
    pub zone: String,
    /// Name of this start of the process.
    pub incarnation: String,
    /// Whether it takes callers.
    pub ready: bool,
    /// Whether it refuses new requests.
    pub draining: bool,
    /// Revision of the configuration in force.
    pub revision: u64,
}

/// Where an answer comes from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    /// The store: the latest that was accepted.
    #[default]
    Store,
    /// The instance's own copy: what is in force here. The store gave no
    /// answer, so a later change may have been accepted.
    Instance,
}

/// The configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Where it comes from.
    pub source: Source,
    /// Revision.
    pub revision: u64,
    /// Files by name.
    pub files: BTreeMap<String, File>,
}

/// One file of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct File {
    /// Digest of its text.
    pub digest: String,
    /// Who changed it last.
    pub author: String,
    /// Revision at which it was changed last.
    pub revision: u64,
    /// Text.
    pub text: String,
}

/// The last changes, the newest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Changes.
    pub changes: Vec<Change>,
}

/// One change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Revision that it made.
    pub revision: u64,
    /// Who made it.
    pub author: String,
    /// Why.
    pub why: String,
    /// When, in seconds since 1970.
    pub at: u64,
    /// Identifier of the operator's request.
    pub request: String,
    /// Files that were put.
    pub put: Vec<String>,
    /// Files that were removed.
    pub removed: Vec<String>,
}

/// The instances of fescuerack, as the one that answers knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instances {
    /// Instances, by name.
    pub instances: Vec<Instance>,
}

/// One instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name.
    pub instance: String,
    /// Availability zone.
    pub zone: String,
    /// Revision in force there; `null` when it gave no answer.
    pub revision: Option<u64>,
    /// Whether the platform's list shows it as leaving.
    pub leaving: bool,
}

/// The ledger's totals.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// One sum for each organisation and version.
    pub sums: Vec<Sum>,
    /// Entries that were dropped because their request was seen before.
    pub doubles: u64,
}

/// What one organisation owes for one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sum {
    /// Organisation.
    pub organisation: String,
    /// Version, or the name of a plain service.
    pub version: String,
    /// Requests.
    pub requests: u64,
    /// Input tokens.
    pub input_tokens: u64,
    /// Output tokens.
    pub output_tokens: u64,
    /// Cost in micro-euro.
    pub cost: u64,
}
