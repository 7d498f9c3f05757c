//! What an instance does with a manifest that it has seen.
//!
//! The failure it guards against: an old read of the store, a slow peer or a
//! bad configuration makes an accepted configuration revert. A revision only
//! rises, and one that does not compile is remembered, so that it is refused
//! once and not on every look.

use super::Manifest;

/// What to do with a manifest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is not newer than the one in force.
    Old,
    /// It was refused before.
    Refused,
    /// Fetch its files and compile it.
    Fetch,
}

/// Follows the manifest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Follower {
    revision: u64,
    refused: Option<u64>,
}

impl Follower {
    /// Creates a follower that has no configuration.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision in force, 0 when there is none.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the newer revision that was refused, if there is one.
    #[must_use]
    pub fn refused(&self) -> Option<u64> {
        self.refused.filter(|refused| *refused > self.revision)
    }

    /// Decides about a manifest.
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

    /// Remembers that a revision does not compile; the old one stays.
    pub fn refuse(&mut self, revision: u64) {
        self.refused = Some(revision);
    }

    /// Puts a revision in force.
    ///
    /// # Panics
    ///
    /// When the revision falls: an accepted configuration would revert.
    pub fn activate(&mut self, revision: u64) {
        assert!(
            revision > self.revision,
            "the configuration would fall from revision {} to {revision}",
            self.revision
        );
        self.revision = revision;
    }
}
