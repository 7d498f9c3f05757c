//! Choice of the version on which a session runs.
//!
//! The starting version is deterministic: the hash of the session is compared with the share of the
//! roll-out, so all instances agree without a message per request. By the hash alone, a session
//! that started before the share grew would move to another version. It keeps its version by
//! a token, which the caller receives with each answer and returns with the session's next request
//! ([`Pins`], signed by `wire::token`). Every instance accepts the token, also one that has just
//! started while the store is down. Without a token the hash decides, and the session moves at most
//! once in a roll-out.
//!
//! State on the instances is no alternative to the token: an instance that has recorded the session
//! and one that has not move it back and forth, so that it changes its version more often than by
//! the hash alone.
//!
//! A closed version keeps its sessions. A withdrawn version (by an operator, or halted by evidence)
//! loses them: each session moves once, and the answer reports the move.

mod pins;

use fescuerack_config::key;
use sha2::{Digest as _, Sha256};

pub use pins::Pins;

use crate::rollout::VersionSplit;

/// Returns the position of `session` in a roll-out of `model`, in `0.0..1.0`.
///
/// The hash includes the model's name, so that the new versions of all models do not go to the same
/// sessions first.
#[must_use]
pub fn position(model: &str, session: &[u8]) -> f64 {
    let mut hash = Sha256::new();
    hash.update(model.as_bytes());
    hash.update([0]);
    hash.update(session);
    let digest = hash.finalize();
    let mut first = [0; 4];
    first.copy_from_slice(&digest[..4]);
    f64::from(u32::from_be_bytes(first)) / (f64::from(u32::MAX) + 1.0)
}

/// Returns the version on which a session at `position` starts.
#[must_use]
pub fn starting_version(split: VersionSplit, position: f64) -> key::Version {
    match split.candidate {
        Some((candidate, share)) if position < share => candidate,
        _ => split.current,
    }
}

/// Version on which a request of a session runs, and the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// The session starts.
    Start(key::Version),
    /// The session keeps its version.
    Keep(key::Version),
    /// The session's version has been withdrawn, and the session moves to another one, once.
    Move {
        /// The withdrawn version.
        from: key::Version,
        /// The session's version from now on.
        to: key::Version,
    },
}

impl Placement {
    /// Returns the version that the request runs on.
    #[must_use]
    pub fn version(self) -> key::Version {
        match self {
            Self::Start(version) | Self::Keep(version) | Self::Move { to: version, .. } => version,
        }
    }
}

/// Chooses the version for a request of a session that has run on `pinned`, if that is known.
///
/// `choose_new` chooses the version of a new session.
///
/// # Errors
///
/// Returns the error of `choose_new`.
///
/// # Panics
///
/// Panics if a session would leave a version that is not withdrawn, or would run on a withdrawn
/// one.
pub fn place<E>(
    pinned: Option<key::Version>,
    is_withdrawn: impl Fn(key::Version) -> bool,
    choose_new: impl FnOnce() -> Result<key::Version, E>,
) -> Result<Placement, E> {
    let place = match pinned {
        None => Placement::Start(choose_new()?),
        Some(from) if is_withdrawn(from) => Placement::Move {
            from,
            to: choose_new()?,
        },
        Some(version) => Placement::Keep(version),
    };
    assert!(
        !is_withdrawn(place.version()),
        "new work on a version that is known to be withdrawn"
    );
    let kept = pinned.is_none_or(|version| version == place.version() || is_withdrawn(version));
    assert!(kept, "a session's version changes by withdrawal only");
    Ok(place)
}
