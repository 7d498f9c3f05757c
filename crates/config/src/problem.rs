//! Problems found in configuration or settings, with their position.

use std::fmt;

/// One problem in one file; `Display` prints `file:line: message`.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Problem {
    /// Name of the file.
    pub file: String,
    /// Line, counted from 1; 0 when the problem concerns the whole file.
    pub line: usize,
    /// What is wrong and what is accepted.
    pub message: String,
}

impl Problem {
    /// Creates a problem at `line` of `file`.
    #[must_use]
    pub fn new(file: &str, line: usize, message: impl Into<String>) -> Self {
        Self {
            file: file.to_owned(),
            line,
            message: message.into(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: {}", self.file, self.line, self.message)
    }
}

impl std::error::Error for Problem {}
