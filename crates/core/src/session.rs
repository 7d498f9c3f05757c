//! The version of a session.
//!
//! The start is deterministic: a session's hash is compared with the share of
//! the roll-out, so all instances agree with no message per request. Shares
//! only grow while a roll-out advances, so a session that has reached the
//! candidate stays on it.

use fescuerack_config::{Rollout, key};
use sha2::{Digest as _, Sha256};

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
pub fn start(rollout: &Rollout, position: f64) -> key::Version {
    let share = rollout.stages.get(rollout.stage).copied().unwrap_or(0.0);
    match rollout.candidate {
        Some(candidate) if position < share => candidate,
        _ => rollout.current,
    }
}
