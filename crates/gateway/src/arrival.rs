//! When changes of the store arrived at the first node that received them.
//!
//! The store does not report when a key was written, and a node receives most changes from another
//! node. So each node that follows the store records when a revision arrived and sends this with
//! its updates. The age of a change when it becomes active on this node is counted from that
//! moment. It excludes the time between the write and the arrival at the first node.

use std::collections::VecDeque;

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::position::Position;
use serde::{Deserialize, Serialize};

/// Revisions that are kept. A watcher receives changes a few times a second, and in normal
/// operation updates are at most seconds old.
const MAX_REVISIONS: usize = 128;

/// The kind of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// The configuration by the operators.
    Configuration,
    /// A backend server's entry.
    Server,
    /// An order for a roll-out, or the record of one.
    Rollout,
    /// An order to evacuate an availability zone, or its withdrawal.
    Evacuation,
    /// A node's entry.
    Node,
    /// An entry that could not be decoded.
    Unreadable,
}

impl ChangeKind {
    /// Returns the label value in metrics.
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

/// A revision and how long ago it arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Arrival {
    /// Revision of the store.
    pub revision: Position,
    /// Milliseconds since its arrival.
    pub age_ms: u64,
}

/// The times at which revisions arrived, in order.
#[derive(Clone, Debug, Default)]
pub struct Arrivals(VecDeque<(Position, Instant)>);

impl Arrivals {
    /// Records that all changes up to `revision` had arrived at `at`.
    pub fn record(&mut self, revision: Position, at: Instant) {
        let last = self.0.back().map_or(Position::ORIGIN, |(last, _)| *last);
        if revision <= last {
            return;
        }
        if self.0.len() >= MAX_REVISIONS {
            self.0.pop_front();
        }
        self.0.push_back((revision, at));
    }

    /// Returns when the change of `revision` arrived, if that is still kept.
    #[must_use]
    pub fn at(&self, revision: Position) -> Option<Instant> {
        let next = self.0.partition_point(|(known, _)| *known < revision);
        // A revision before the first one kept arrived at an unknown earlier time.
        let is_remembered = next > 0 || self.0.front().is_some_and(|(first, _)| *first == revision);
        let (_, at) = self.0.get(next)?;
        is_remembered.then_some(*at)
    }

    /// Returns the arrivals after `revision`, preceded by the last one up to it, so that the
    /// receiver knows where the range of the first of them begins.
    #[must_use]
    pub fn since(&self, now: Instant, revision: Position) -> Vec<Arrival> {
        let next = self.0.partition_point(|(known, _)| *known <= revision);
        let from = next.saturating_sub(1);
        let arrivals = self.0.range(from..).map(|&(revision, at)| Arrival {
            revision,
            age_ms: u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX),
        });
        arrivals.collect()
    }
}
