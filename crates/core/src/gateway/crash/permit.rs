//! Permits for runs of keys under which servers have ended.
//!
//! Evidence may be weak, late or lost, and a bound on the servers that a key ends must hold all the
//! same. So from [`PERMIT_ENDS`] ends on, with no proof since, each run of a key takes a permit from an
//! owner of the key: one at a time among all nodes, until the run is written on or over. A sound key is
//! proved by its first run and free again. One at fault ends one server with each permit, and the
//! pause before the next one doubles each time, so the number of servers that it ends in any time
//! grows with the logarithm of that time, whatever the [weights](super::blame) say.
//!
//! A permit is a lease: a holder that ends, stands still or is cut off loses it, which counts like the
//! end of a server.
//!
//! Nodes that disagree on the owner, or reach different ones, may get a permit from each of the two owners,
//! and one more from each that joins or leaves meanwhile.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::key::Key;
use crate::clock::Instant;

/// Number of servers that have ended under a key from which on each run takes a permit. With one, each
/// end would concern all that ran there.
pub const PERMIT_ENDS: usize = 2;
/// Milliseconds until a permit that is not kept is lost.
pub const PERMIT_MS: u64 = 1_500;
/// Milliseconds after which a holder keeps its permit for as long again.
pub const KEEP_INTERVAL_MS: u64 = PERMIT_MS / 3;
/// Milliseconds from the first server that ends under a permit to the next permit.
const FIRST_PAUSE_MS: u64 = 2_000;
/// Maximum number of doublings of that pause.
const MAX_DOUBLINGS: u32 = 5;
/// Maximum number of keys of which permits are kept.
const MAX_KEYS: usize = 4_096;
/// Milliseconds after the last permit of a key from which on it may be forgotten.
const FORGET_MS: u64 = 120_000;

/// The run that holds a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder(pub u64);

/// What an owner says of a key for which a permit is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// No permit is needed.
    Free {
        /// Milliseconds since the latest proof.
        proved_ms: Option<u64>,
    },
    /// The permit is granted, if those for the other keys of the call are, too.
    Granted,
    /// There is none for some milliseconds.
    Busy {
        /// How many.
        ms: u64,
    },
    /// The key is refused for some milliseconds.
    Refused {
        /// How many.
        ms: u64,
    },
}

/// How a run with a permit has ended, or how far it has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrialEnd {
    /// It says nothing of its keys.
    Void,
    /// It proves its keys sound.
    Proved {
        /// Milliseconds since it began.
        age_ms: u64,
    },
    /// Its server has ended.
    Crashed,
}

/// The permits of one key.
#[derive(Clone, Copy, Debug, Default)]
struct Trial {
    holder: Option<(Holder, Instant)>,
    /// Number of runs whose server has ended, or of which nothing was heard, since the latest proof.
    failures: u32,
    next_at: Instant,
}

impl Trial {
    fn fail(&mut self, at: Instant) {
        let pause_ms = FIRST_PAUSE_MS << self.failures.min(MAX_DOUBLINGS);
        self.holder = None;
        self.failures += 1;
        self.next_at = at.plus_millis(pause_ms);
    }

    /// Ends the lease of a holder that has not kept it.
    fn expire(&mut self, now: Instant) {
        if let Some((_, until)) = self.holder
            && until <= now
        {
            self.fail(until);
        }
    }
}

/// The permits that an owner grants.
#[derive(Clone, Debug, Default)]
pub struct Permits {
    trials: HashMap<Key, Trial>,
}

impl Permits {
    /// Returns when a permit for the key may be taken; a time that is not after `now` if it may now.
    pub fn free_at(&mut self, now: Instant, key: Key, holder: Holder) -> Instant {
        let Some(trial) = self.trials.get_mut(&key) else {
            return now;
        };
        trial.expire(now);
        match trial.holder {
            Some((other, until)) if other != holder => until,
            _ => trial.next_at,
        }
    }

    /// Grants the permit for a key.
    pub fn grant(&mut self, now: Instant, key: Key, holder: Holder) {
        self.make_room(now);
        let trial = self.trials.entry(key).or_default();
        trial.holder = Some((holder, now.plus_millis(PERMIT_MS)));
    }

    /// Prolongs the permit for a key, if it is the holder's.
    pub fn keep(&mut self, now: Instant, key: Key, holder: Holder) {
        let Some(trial) = self.trials.get_mut(&key) else {
            return;
        };
        trial.expire(now);
        if trial.holder.is_some_and(|(other, _)| other == holder) {
            trial.holder = Some((holder, now.plus_millis(PERMIT_MS)));
        }
    }

    /// Ends the permit for a key, if it is the holder's.
    pub fn end(&mut self, now: Instant, key: Key, holder: Holder, end: TrialEnd) {
        if matches!(end, TrialEnd::Proved { .. }) {
            self.forget(key);
            return;
        }
        let Some(trial) = self.trials.get_mut(&key) else {
            return;
        };
        trial.expire(now);
        if trial.holder.is_none_or(|(other, _)| other != holder) {
            return;
        }
        if end == TrialEnd::Crashed {
            trial.fail(now);
        } else {
            trial.holder = None;
        }
    }

    /// Forgets a key that has been proved sound.
    pub fn forget(&mut self, key: Key) {
        self.trials.remove(&key);
    }

    fn make_room(&mut self, now: Instant) {
        if self.trials.len() < MAX_KEYS {
            return;
        }
        self.trials.retain(|_, trial| {
            now < trial.next_at.plus_millis(FORGET_MS) || trial.holder.is_some()
        });
        if self.trials.len() >= MAX_KEYS {
            self.trials.retain(|_, trial| trial.failures > 1);
        }
    }
}
