//! The configuration in force: one manifest that names all files, swapped in
//! one key.
//!
//! All files of a change come into force together or not at all. Accepted
//! means: the manifest was swapped. What goes wrong without the single key:
//! an instance sees half a change, such as an organisation whose model is
//! still missing.
//!
//! - [`Apply`] puts a change in force, against racing operators and lost
//!   answers.
//! - [`Chunk`] keeps who changed what, when and why, in a bounded ring.
//! - [`Follower`] decides what an instance does with a manifest that it sees.

mod apply;
mod follower;
mod history;

pub use apply::{Applied, Apply};
pub use follower::{Decision, Follower};
pub use history::{CHANGES_PER_CHUNK, CHUNK_COUNT, Chunk, chunk_key};

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Key of the manifest.
pub const KEY: &str = "config/manifest";

/// Most bytes of a reason that are kept.
pub const MAX_REASON_BYTES: usize = 500;

/// Returns the key under which a file's content is kept.
#[must_use]
pub fn blob_key(digest: &str) -> String {
    format!("config/file/{digest}")
}

/// One file of the manifest.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct File {
    /// Digest of its content.
    pub digest: String,
    /// Who changed it last.
    pub author: String,
    /// Revision at which it was changed last.
    pub revision: u64,
}

/// What a revision changed, by whom, when and why.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Revision that it made.
    pub revision: u64,
    /// Who made it.
    pub author: String,
    /// Why.
    pub reason: String,
    /// Wall-clock time, in seconds since 1970.
    pub at: u64,
    /// Identifier of the operator's request: the nonce by which a lost answer
    /// is resolved.
    pub request: String,
    /// Digest of each file that was put; none for each that was removed.
    pub files: BTreeMap<String, Option<String>>,
}

/// Which files are in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Rises by one with every accepted change.
    pub revision: u64,
    /// The files.
    pub files: BTreeMap<String, File>,
    /// The change that made this revision.
    pub change: Change,
}

/// What an operator wants changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangeRequest {
    /// The manifest that the operator has seen; a file that somebody else
    /// changed since then is a conflict.
    pub base: Manifest,
    /// Content of each file to put; none for each to remove.
    pub files: BTreeMap<String, Option<Bytes>>,
    /// Who asks.
    pub author: String,
    /// Why.
    pub reason: String,
    /// Wall-clock time, in seconds since 1970.
    pub at: u64,
    /// Identifier of this request; the same one may be sent again.
    pub request: String,
}
