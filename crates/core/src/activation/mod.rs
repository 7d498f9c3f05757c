//! Activation of configuration changes.
//!
//! The active configuration is defined by one manifest, which names all files
//! and is replaced by compare-and-swap on a single key. A change is accepted
//! when the swap succeeds, so its files become active together or not at all.
//! With a key for each file, an instance could read half of a change, such as
//! an organisation whose model is still missing.
//!
//! - [`Apply`] activates a change despite concurrent operators and lost
//!   responses.
//! - [`Chunk`] holds a part of the history, a bounded ring that records who
//!   changed what, when and why.
//! - [`Follower`] decides what an instance does with a manifest that it reads.

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

/// Maximum bytes of a change's reason; the rest is cut off.
pub const MAX_REASON_BYTES: usize = 500;

/// Returns the key under which the content of a file is stored.
#[must_use]
pub fn blob_key(digest: &str) -> String {
    format!("config/file/{digest}")
}

/// One file of the manifest.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct File {
    /// Digest of its content.
    pub digest: String,
    /// Author of its last change.
    pub author: String,
    /// Revision of its last change.
    pub revision: u64,
}

/// What a revision changed, by whom, when and why.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Revision that the change made.
    pub revision: u64,
    /// Author of the change.
    pub author: String,
    /// Reason for the change.
    pub reason: String,
    /// Wall-clock time, in seconds since the Unix epoch.
    pub at: u64,
    /// Identifier of the operator's request. After a lost response it shows
    /// whether the request was accepted.
    pub request: String,
    /// Digest of each file that was written, or `None` for each that was
    /// removed.
    pub files: BTreeMap<String, Option<String>>,
}

/// Manifest: the files of the active configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Number that rises by one with every accepted change.
    pub revision: u64,
    /// Files by name.
    pub files: BTreeMap<String, File>,
    /// The change that made this revision.
    pub change: Change,
}

/// A change that an operator requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangeRequest {
    /// Manifest on which the change is based. If another operator has since
    /// changed one of the same files, the request conflicts.
    pub base: Manifest,
    /// Content of each file to write, or `None` for each to remove.
    pub files: BTreeMap<String, Option<Bytes>>,
    /// Author of the change.
    pub author: String,
    /// Reason for the change.
    pub reason: String,
    /// Wall-clock time, in seconds since the Unix epoch.
    pub at: u64,
    /// Idempotency key: a request may be sent again with the same one.
    pub request: String,
}
