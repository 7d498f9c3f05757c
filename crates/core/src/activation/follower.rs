//! Decision of an instance about a manifest that it has read.
//!
//! A stale read of the store, a slow peer or a bad configuration must not revert
//! an accepted configuration. The active revision therefore only rises. A
//! revision that does not compile is recorded, so that it is refused once and
//! not at every poll.

use super::Manifest;

/// What to do with a manifest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Ignore it: it is not newer than the active one.
    Old,
    /// Ignore it: its revision was refused before.
    Refused,
    /// Fetch its files and compile it.
    Fetch,
}

/// Active and refused revisions of one instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Follower {
    revision: u64,
    refused: Option<u64>,
}

impl Follower {
    /// Creates a follower without an active configuration.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the active revision, or 0 when there is none.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the refused revision if it is newer than the active one.
    #[must_use]
    pub fn refused(&self) -> Option<u64> {
        self.refused.filter(|refused| *refused > self.revision)
    }

    /// Returns what to do with a manifest.
    #[must_use]
    pub fn decide(&self, manifest: &Manifest) -> Decision {
        if manifest.revision <= self.revision {
            Decision::Old
        } else if self.refused == Some(manifest.revision) {
            Decision::Refused
        } else {
            Decision::Fetch
        }
    }

    /// Records that a revision does not compile. The active one stays.
    pub fn refuse(&mut self, revision: u64) {
        self.refused = Some(revision);
    }

    /// Records that a revision is active.
    ///
    /// # Panics
    ///
    /// When the revision does not rise: an accepted configuration would be
    /// reverted.
    pub fn activate(&mut self, revision: u64) {
        assert!(
            revision > self.revision,
            "the configuration would be reverted from revision {} to {revision}",
            self.revision
        );
        self.revision = revision;
    }
}
