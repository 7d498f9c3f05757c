//! The program that the tests start: the build under test and, if `FESCUERACK_OTHER_PROGRAM` is
//! the path of another build's `fescuerackd`, that build too.
//!
//! Nodes with an odd number then start with the other build. Tests with several nodes so check
//! that the two builds read each other's messages and stored data.
//!
//! ```console
//! $ FESCUERACK_OTHER_PROGRAM=/path/to/fescuerackd cargo test -p fescuerack-node --test all
//! ```

use std::path::PathBuf;

/// A build of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Build {
    /// The build under test.
    Own,
    /// The other build, or the build under test if there is no other one.
    Other,
}

impl Build {
    /// Returns the build with which a node starts that was started `earlier_starts` times before.
    /// Each start takes the other of the two builds.
    pub fn of_start(node: &str, earlier_starts: usize) -> Self {
        let number = node.trim_start_matches(|letter: char| !letter.is_ascii_digit());
        let number: usize = number.parse().unwrap_or(0);
        if (number + earlier_starts).is_multiple_of(2) {
            Self::Own
        } else {
            Self::Other
        }
    }

    /// Returns the path of the program.
    pub fn path(self) -> PathBuf {
        let other = std::env::var_os("FESCUERACK_OTHER_PROGRAM");
        let other = other.filter(|_| self == Self::Other);
        other.map_or_else(|| env!("CARGO_BIN_EXE_fescuerackd").into(), PathBuf::from)
    }
}
