//! The share of the slack of a retry [`Bound`](super::budget::Bound) that one node may use.

use crate::clock::Instant;

/// Factor by which a node may underestimate the number of nodes: nodes that start are counted only
/// once they have been discovered. Half of the slack covers a doubling.
pub const MAX_UNDERCOUNT: f64 = 2.0;

/// What a node knows of the number of nodes that share the slack.
#[derive(Clone, Debug, Default)]
pub struct Share {
    listed: usize,
    confirmed_at: Option<Instant>,
    registered_at: Option<Instant>,
}

impl Share {
    /// Records how many nodes are listed, and whether the store has confirmed the list to this node
    /// just now.
    pub fn observe(&mut self, now: Instant, listed: usize, is_confirmed: bool) {
        self.listed = listed;
        if is_confirmed {
            self.confirmed_at = Some(now);
        }
    }

    /// Records that the store has accepted the entry of this node.
    pub fn register(&mut self, now: Instant) {
        self.registered_at.get_or_insert(now);
    }

    /// Returns the number of nodes that the slack is divided by.
    #[must_use]
    pub fn nodes(&self) -> usize {
        self.listed.max(1)
    }

    /// Returns the part of `slack` that this node may use within a window of `window_ms`.
    #[must_use]
    pub fn of(&self, _now: Instant, slack: f64, _window_ms: u64) -> f64 {
        let nodes = f64::from(u32::try_from(self.nodes()).unwrap_or(u32::MAX));
        slack / (MAX_UNDERCOUNT * nodes)
    }

    /// Returns when the store last confirmed the list of nodes, if it ever did.
    #[must_use]
    pub const fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// Returns when the store first accepted the entry of this node, if it has.
    #[must_use]
    pub const fn registered_at(&self) -> Option<Instant> {
        self.registered_at
    }
}
