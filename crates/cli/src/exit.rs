//! Exit codes, so that scripts can tell failures apart without parsing messages.
//!
//! | code | meaning |
//! | --- | --- |
//! | 0 | done |
//! | 1 | failed for another reason |
//! | 2 | wrong usage |
//! | 3 | refused: problems in the files, or the action makes no sense; nothing was changed |
//! | 4 | conflict with another operator; nothing was changed |
//! | 5 | not permitted: no token, a wrong one, or outside its scope |
//! | 6 | no instance or no store answers; nothing was changed |
//! | 7 | the outcome is not known: send the same request again |
//! | 8 | accepted, but not in force everywhere within the time given |

use std::fmt;
use std::process::ExitCode;

use fescuerack_config::Problem;
use fescuerack_wire::admin::{Error, Kind};

/// Exit codes as `--help` prints them.
pub const HELP: &str = "\
Exit codes:
  0  done
  1  failed for another reason
  2  wrong usage
  3  refused: problems in the files, or the action makes no sense; nothing was changed
  4  conflict with another operator; nothing was changed
  5  not permitted: no token, a wrong one, or outside its scope
  6  no instance or no store answers; nothing was changed
  7  the outcome is not known: send the same request again
  8  accepted, but not in force everywhere within the time given";

const FAILED: u8 = 1;
const USAGE: u8 = 2;
const REFUSED: u8 = 3;
const CONFLICT: u8 = 4;
const FORBIDDEN: u8 = 5;
const UNREACHABLE: u8 = 6;
const OUTCOME_UNKNOWN: u8 = 7;
const NOT_ACTIVE_EVERYWHERE: u8 = 8;

/// A failure with its exit code.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failed {
    /// Exit code.
    pub code: u8,
    /// Human-readable message.
    pub message: String,
    /// Configuration problems and their positions.
    pub problems: Vec<Problem>,
}

impl Failed {
    fn new(code: u8, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            problems: Vec::new(),
        }
    }

    /// Creates a failure for wrong usage.
    pub fn usage(message: impl Into<String>) -> Self {
        Self::new(USAGE, message)
    }

    /// Creates a failure for when no instance or store answers.
    pub fn unreachable(message: impl Into<String>) -> Self {
        Self::new(UNREACHABLE, message)
    }

    /// Creates a failure for a request that was sent and whose outcome is unknown.
    pub fn unknown(message: impl Into<String>) -> Self {
        Self::new(OUTCOME_UNKNOWN, message)
    }

    /// Returns whether the outcome of the request is unknown.
    pub fn is_unknown(&self) -> bool {
        self.code == OUTCOME_UNKNOWN
    }

    /// Creates a failure for a change that is accepted but not yet active on every instance.
    pub fn behind(message: impl Into<String>) -> Self {
        Self::new(NOT_ACTIVE_EVERYWHERE, message)
    }

    /// Creates a failure for problems in configuration files.
    pub fn problems(problems: Vec<Problem>) -> Self {
        let message = format!("{} problems", problems.len());
        Self {
            problems,
            ..Self::new(REFUSED, message)
        }
    }
}

impl From<Error> for Failed {
    fn from(error: Error) -> Self {
        let code = match error.kind {
            Kind::InvalidRequest | Kind::NotFound => FAILED,
            Kind::TooLarge | Kind::Refused => REFUSED,
            Kind::Unauthorized | Kind::Forbidden => FORBIDDEN,
            Kind::Conflict => CONFLICT,
            Kind::StoreUnavailable => UNREACHABLE,
            Kind::OutcomeUnknown => OUTCOME_UNKNOWN,
        };
        Self {
            code,
            message: error.message,
            problems: error.problems,
        }
    }
}

impl fmt::Display for Failed {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for problem in &self.problems {
            writeln!(formatter, "{problem}")?;
        }
        formatter.write_str(&self.message)
    }
}

impl std::error::Error for Failed {}

/// Returns the exit code of an error; 1 if it is not a [`Failed`].
pub fn code(error: &anyhow::Error) -> ExitCode {
    let failed = error.downcast_ref::<Failed>();
    ExitCode::from(failed.map_or(FAILED, |failed| failed.code))
}
