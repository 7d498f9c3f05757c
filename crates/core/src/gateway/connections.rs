//! Connections of callers: how many a node keeps open, and which one gives way to a new one.
//!
//! Each takes a descriptor and a buffer, and a caller may open any number and send nothing. Without a
//! bound, they take the descriptors that the node needs for backend servers, peers, the store and its
//! readiness. At the bound, a new connection takes the place of the one that has waited for a request for
//! longest: callers may send again what was not read. One with a request in progress never gives way.

use slotmap::{SlotMap, new_key_type};

use crate::clock::Instant;

new_key_type! {
    /// An open connection.
    pub struct Key;
}

/// What happens to a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It stays open.
    Opened(Key),
    /// It stays open, and the second one must be closed.
    Replaced(Key, Key),
    /// All others have requests in progress, and it must be closed.
    Refused,
}

/// The open connections.
#[derive(Clone, Debug)]
pub struct Connections {
    max: usize,
    /// Since when each has waited for a request; `None` while one is in progress.
    waiting_since: SlotMap<Key, Option<Instant>>,
}

impl Connections {
    /// Creates an empty set that may hold `max`.
    #[must_use]
    pub fn new(max: usize) -> Self {
        Self {
            max,
            waiting_since: SlotMap::with_key(),
        }
    }

    /// Returns how many are open.
    #[must_use]
    pub fn count(&self) -> usize {
        self.waiting_since.len()
    }

    /// Sets how many may be open. Those beyond that stay until they end or give way.
    pub const fn set_max(&mut self, max: usize) {
        self.max = max;
    }

    /// Decides on a new connection.
    pub fn open(&mut self, now: Instant) -> Admission {
        if self.waiting_since.len() < self.max {
            return Admission::Opened(self.waiting_since.insert(Some(now)));
        }
        let waiting = self.waiting_since.iter();
        let waiting = waiting.filter_map(|(key, since)| Some((key, (*since)?)));
        let Some((longest, _)) = waiting.min_by_key(|(_, since)| *since) else {
            return Admission::Refused;
        };
        self.waiting_since.remove(longest);
        Admission::Replaced(self.waiting_since.insert(Some(now)), longest)
    }

    /// Records that a request has arrived on a connection.
    pub fn begin_request(&mut self, key: Key) {
        if let Some(since) = self.waiting_since.get_mut(key) {
            *since = None;
        }
    }

    /// Records that the answer to a request has been sent.
    pub fn end_request(&mut self, now: Instant, key: Key) {
        if let Some(since) = self.waiting_since.get_mut(key) {
            *since = Some(now);
        }
    }

    /// Records that a connection has ended.
    pub fn close(&mut self, key: Key) {
        self.waiting_since.remove(key);
    }
}
