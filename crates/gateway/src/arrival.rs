//! When changes of the store came to the first node that told of them.
//!
//! The store does not say when a key was written, and a node hears most changes from another one.
//! So whoever follows the store notes when each revision came, and tells it with the news; the
//! age of a change when it is in force here is then counted from that moment. What passed
//! before, between the store and the first node, is not in it.

use std::collections::VecDeque;

use fescuerack_core::clock::Instant;
use serde::{Deserialize, Serialize};

/// Revisions that are remembered. A watcher hears a few times a second, and news is seconds old at
/// most while things go well.
const MAX_REVISIONS: usize = 128;

/// What kind of change it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// The operators' configuration.
    Configuration,
    /// A backend server's entry.
    Server,
    /// An order for a roll-out, or a record of one.
    Rollout,
    /// An order to evacuate an availability zone, or its withdrawal.
    Evacuation,
    /// A node's entry.
    Node,
    /// An entry that could not be read.
    Unreadable,
}

impl ChangeKind {
    /// Returns the name under which metrics count it.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Server => "server",
            Self::Rollout => "rollout",
            Self::Evacuation => "evacuation",
            Self::Node => "node",
            Self::Unreadable => "unreadable",
        }
    }
}

/// A revision and how long ago it came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Arrival {
    /// Revision of the store.
    pub revision: u64,
    /// Milliseconds since it came.
    pub age_ms: u64,
}

/// When revisions came, in order.
#[derive(Clone, Debug, Default)]
pub struct Arrivals(VecDeque<(u64, Instant)>);

impl Arrivals {
    /// Notes that all changes up to `revision` had come at `at`.
    pub fn record(&mut self, revision: u64, at: Instant) {
        let last = self.0.back().map_or(0, |(last, _)| *last);
        if revision <= last {
            return;
        }
        if self.0.len() >= MAX_REVISIONS {
            self.0.pop_front();
        }
        self.0.push_back((revision, at));
    }

    /// When the change of `revision` came, if that is remembered.
    #[must_use]
    pub fn at(&self, revision: u64) -> Option<Instant> {
        let next = self.0.partition_point(|(known, _)| *known < revision);
        // Before the first one that is remembered, nothing says how much earlier it came.
        let is_remembered = next > 0 || self.0.front().is_some_and(|(first, _)| *first == revision);
        let (_, at) = self.0.get(next)?;
        is_remembered.then_some(*at)
    }

    /// Arrivals after `revision`, and the last one before, from which they are counted.
    #[must_use]
    pub fn since(&self, now: Instant, revision: u64) -> Vec<Arrival> {
        let next = self.0.partition_point(|(known, _)| *known <= revision);
        let from = next.saturating_sub(1);
        let arrivals = self.0.range(from..).map(|&(revision, at)| Arrival {
            revision,
            age_ms: u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX),
        });
        arrivals.collect()
    }
}
