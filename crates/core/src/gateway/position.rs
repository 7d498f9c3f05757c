//! Positions in the store of the platform.
//!
//! The store counts its changes by revisions. When it comes back from a copy, it has lost the newest
//! ones and gives their revisions out again: a revision is unique within one era of the store only.
//! So whatever is ordered or compared is a position, the era first.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Bits of the packed form that hold the revision: thousands of years of changes.
const REVISION_BITS: u32 = 40;
/// Largest revision and era that the packed form holds.
const MAX_REVISION: u64 = (1 << REVISION_BITS) - 1;
const MAX_ERA: u64 = (1 << (64 - REVISION_BITS)) - 1;

/// A position in the store: an era and a revision in it.
///
/// Nodes send it to each other as one number, with the era in the high bits.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(from = "u64", into = "u64")]
pub struct Position {
    era: u64,
    revision: u64,
}

impl Position {
    /// Before all changes.
    pub const ORIGIN: Self = Self {
        era: 0,
        revision: 0,
    };

    /// Creates the position of `revision` in `era`.
    #[must_use]
    pub const fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Returns the same revision in `era`, for an answer that states the era apart.
    #[must_use]
    pub const fn in_era(self, era: u64) -> Self {
        Self {
            era,
            revision: self.revision,
        }
    }

    /// Returns the era.
    #[must_use]
    pub const fn era(self) -> u64 {
        self.era
    }

    /// Returns the revision, which means something only to the store, and in this era.
    #[must_use]
    pub const fn revision(self) -> u64 {
        self.revision
    }

    /// Whether it is before all changes.
    #[must_use]
    pub const fn is_origin(self) -> bool {
        self.era == 0 && self.revision == 0
    }
}

impl From<u64> for Position {
    /// Unpacks a position. A plain revision is one of the era 0.
    fn from(packed: u64) -> Self {
        Self::new(packed >> REVISION_BITS, packed & MAX_REVISION)
    }
}

impl From<Position> for u64 {
    fn from(position: Position) -> Self {
        let revision = position.revision.min(MAX_REVISION);
        (position.era.min(MAX_ERA) << REVISION_BITS) | revision
    }
}

impl fmt::Display for Position {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.era, self.revision)
    }
}
