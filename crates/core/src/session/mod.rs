//! The version of a session.
//!
//! The start is deterministic: a session's hash is compared with the share of
//! the roll-out, so all instances agree with no message per request. A session
//! that started before the share grew would be moved by the hash alone; it
//! keeps its version by a token, which is handed to the caller with the answer
//! and comes back with the session's next request ([`Pins`], signed by
//! `wire::token`). Any instance honours it, also one that has just started
//! while the store is down. A caller that hands no token back gets the hash:
//! its session moves at most once in a roll-out.
//!
//! Memories of the instances were tried in its place and measured: an instance
//! that remembers and one that does not send a session to and fro, so that it
//! changes more often than by the hash alone.
//!
//! A closed version keeps its sessions. A withdrawn one (by operators, or
//! halted by evidence) loses them: the session moves once, and the answer says
//! so.

mod pins;

use fescuerack_config::key;
use sha2::{Digest as _, Sha256};

pub use pins::Pins;

use crate::rollout::Share;

/// Returns the position of `session` in a roll-out of `model`, in `0.0..1.0`.
///
/// The model's name is part of the hash, so that the same sessions are not
/// the first to meet every new version of every model.
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

/// Returns the version with which a session at `position` starts.
#[must_use]
pub fn starting_version(share: Share, position: f64) -> key::Version {
    match share.candidate {
        Some((candidate, part)) if position < part => candidate,
        _ => share.current,
    }
}

/// Which version a request of a session runs on, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// The session starts.
    Start(key::Version),
    /// The session keeps its version.
    Keep(key::Version),
    /// The session's version is withdrawn: it moves to this one, once.
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

/// Places a request of a session that ran on `pinned`, if it is known to have
/// run; `fresh` chooses the version that a new session gets.
///
/// # Errors
///
/// Whatever `fresh` refuses with.
///
/// # Panics
///
/// When a session would change its version though that is not withdrawn, or
/// would run on one that is.
pub fn place<E>(
    pinned: Option<key::Version>,
    is_withdrawn: impl Fn(key::Version) -> bool,
    fresh: impl FnOnce() -> Result<key::Version, E>,
) -> Result<Placement, E> {
    let place = match pinned {
        None => Placement::Start(fresh()?),
        Some(from) if is_withdrawn(from) => Placement::Move { from, to: fresh()? },
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
