//! Session stickiness: sessions that stay on the version of a service on which they started.
//!
//! A hash decides which sessions go to a canary version, so nodes agree without messages, and a
//! session that has gone there stays. The hash alone would move a session only at the start of the
//! canary: a caller in the middle of a session would get the next answer from another version. Each
//! node therefore remembers the sessions that it served recently, and a session that was on the old
//! version when the canary started stays there until it pauses.
//!
//! The requests of a session reach several nodes. Before the canary starts and while it runs, nodes
//! send the sessions that they served recently **and that the hash would move**, a few in a
//! hundred, to the collector of the canary's counts, and receive those of all nodes.

use std::collections::HashMap;

use crate::clock::Instant;

/// Maximum number of sessions that are remembered.
const MAX_SESSIONS: usize = 20_000;

/// Sessions that were served recently.
#[derive(Clone, Debug, Default)]
pub struct Recent {
    until: HashMap<u64, Instant>,
}

impl Recent {
    /// Records that the session was served by the old version. It remains ongoing if its next
    /// request comes within `pause_ms`.
    pub fn record(&mut self, now: Instant, session: u64, pause_ms: u64) {
        if self.until.len() >= MAX_SESSIONS {
            self.until.retain(|_, until| now < *until);
        }
        if self.until.len() < MAX_SESSIONS {
            self.until.insert(session, now.plus_millis(pause_ms));
        }
    }

    /// Returns the ongoing sessions for which `filter` holds.
    pub fn ongoing(&self, now: Instant, filter: impl Fn(u64) -> bool) -> Vec<u64> {
        let ongoing = self.until.iter().filter(|(_, until)| now < **until);
        let sessions = ongoing.map(|(&session, _)| session);
        sessions.filter(|&session| filter(session)).collect()
    }

    /// Whether the session is ongoing and stays on the old version.
    #[must_use]
    pub fn is_ongoing(&self, now: Instant, session: u64) -> bool {
        self.until.get(&session).is_some_and(|until| now < *until)
    }
}
