//! What crashes are added up by.

use serde::{Deserialize, Serialize};

use crate::gateway::affinity;

/// Maximum number of keys of a request, so that what it costs does not grow with what its caller
/// sends.
pub const MAX_KEYS: usize = 64;

/// Separates blocks from whole requests.
const BLOCK_SALT: u64 = 0x626c_6f63_6b00_0001;

/// The hash of what may crash servers: a request as a whole, or a block of a prompt. The same on all
/// nodes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Key(pub u64);

impl Key {
    /// Returns the key of a request with the given digest of organisation, path and body.
    #[must_use]
    pub const fn of_request(digest: u64) -> Self {
        Self(digest)
    }

    /// Returns the key of a block with the given identifier, whatever request holds it.
    #[must_use]
    pub fn of_block(id: u64) -> Self {
        Self(affinity::mix(id ^ BLOCK_SALT))
    }
}
