//! Sessions that keep the version of a service that they began on.
//!
//! Which sessions go to a version on trial follows from a hash, so nodes agree on it
//! without a message, and a session that has gone there stays. The one moment at
//! which the hash alone would move a session is the start of the trial: a caller in
//! the middle of a session would get the next answer from another version. So each
//! node remembers the sessions that it served lately, and one that was on the old
//! version when the trial began stays there until it pauses.
//!
//! A session's requests reach several nodes. Before the trial begins and while it
//! runs, nodes tell the collector of its counts the sessions that they served lately
//! **and that the hash would move**, a few in a hundred, and hear those of all.

use std::collections::HashMap;

use crate::clock::Instant;

/// Sessions that are remembered at most.
const MOST: usize = 20_000;

/// Sessions that were served lately.
#[derive(Clone, Debug, Default)]
pub struct Recent {
    until: HashMap<u64, Instant>,
}

impl Recent {
    /// Notes that the session was served by the old version and goes on if its next
    /// request comes within `pause_ms`.
    pub fn record(&mut self, now: Instant, session: u64, pause_ms: u64) {
        if self.until.len() >= MOST {
            self.until.retain(|_, until| now < *until);
        }
        if self.until.len() < MOST {
            self.until.insert(session, now.plus_millis(pause_ms));
        }
    }

    /// Sessions that go on and that `wanted` picks.
    pub fn ongoing(&self, now: Instant, wanted: impl Fn(u64) -> bool) -> Vec<u64> {
        let going_on = self.until.iter().filter(|(_, until)| now < **until);
        let sessions = going_on.map(|(&session, _)| session);
        sessions.filter(|&session| wanted(session)).collect()
    }

    /// Whether the session goes on where it was.
    #[must_use]
    pub fn is_ongoing(&self, now: Instant, session: u64) -> bool {
        self.until.get(&session).is_some_and(|until| now < *until)
    }
}
