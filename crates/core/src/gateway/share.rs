//! The share of the slack of a retry [`Bound`](super::budget::Bound) that one node may use.
//!
//! The slack is a fixed number of further attempts in a window, for all nodes together. Nodes do
//! not ask each other for it: each divides it by the number of nodes. What a node knows of that
//! number may be wrong, and mostly in times in which servers fail as well:
//!
//! - Entries lapse in an outage of the store, or when their nodes lose it, though these nodes go on
//!   to serve. If a node counted only what is listed, each would soon take all of the slack.
//!   Therefore a larger number [counts on](MEMORY_MS) for some time in which the store answers, and
//!   the largest one that the process has ever seen counts as long as the store does not answer.
//! - Some nodes may never have been listed together. The nodes without the store count all that
//!   they have ever seen, and those with the store count each other, so that each of the two parts
//!   uses one share at most: half of the slack.
//! - A process that starts does not know what the one before it on the same instance has spent a
//!   moment ago, and the other nodes do not count it yet. Its share begins a window after the store
//!   has accepted its entry. Until then it makes further attempts by ratio only.
//!
//! A node makes whole attempts, and with few requests rounding decides whether it makes any. Where
//! the other half of the slack has room for it, each node rounds to the nearest number, so that the
//! first failure of a quiet node is retried. In a large fleet, whose nodes have a small part of the
//! slack each, this would sum up to more than the bound. There each process adds its
//! [phase](Share::new) and rounds down: the phases are spread evenly, so the attempts sum up to
//! what the nodes may make.

use std::collections::VecDeque;

use crate::clock::Instant;

/// Parts of the fleet that may not know of each other. Each uses an equal part of the slack.
const FLEET_PARTS: f64 = 2.0;
/// Milliseconds for which a number of nodes counts on after the list has become shorter, while the
/// store confirms the list. Nodes whose entries have lapsed register again within that time.
pub const MEMORY_MS: u64 = 60_000;

/// Part of an attempt that is added before rounding down, if each node rounds to the nearest
/// number.
const HALF_ATTEMPT: f64 = 0.5;

/// The further attempts that a node may make within a window, besides those by ratio.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// Attempts out of the slack.
    pub attempts: f64,
    /// Part of an attempt that is added before all of them are rounded down.
    pub rounding: f64,
}

/// What a node knows of the number of nodes that share the slack.
#[derive(Clone, Debug, Default)]
pub struct Share {
    /// Largest number of nodes that was ever listed.
    most: usize,
    /// Numbers of nodes that count on, each larger than those after it.
    recent: VecDeque<Listed>,
    is_confirmed: bool,
    confirmed_at: Option<Instant>,
    registered_at: Option<Instant>,
    /// Between zero and one.
    phase: f64,
}

/// A number of nodes that was listed.
#[derive(Clone, Copy, Debug)]
struct Listed {
    nodes: usize,
    until: Instant,
}

impl Share {
    /// Creates the share of a process that has just started. `phase`, at random between zero and
    /// one, decides where it rounds in a large fleet.
    #[must_use]
    pub fn new(phase: f64) -> Self {
        Self {
            phase,
            ..Self::default()
        }
    }

    /// Records how many nodes are listed, and whether the store confirms the list to this node.
    pub fn observe(&mut self, now: Instant, listed: usize, is_confirmed: bool) {
        let until = now.plus_millis(MEMORY_MS);
        self.most = self.most.max(listed);
        self.is_confirmed = is_confirmed;
        if is_confirmed {
            self.confirmed_at = Some(now);
            self.recent.retain(|earlier| now < earlier.until);
        } else {
            for earlier in &mut self.recent {
                earlier.until = until;
            }
        }
        while self
            .recent
            .pop_back_if(|last| last.nodes <= listed)
            .is_some()
        {}
        let nodes = listed;
        self.recent.push_back(Listed { nodes, until });
    }

    /// Records that the store has accepted the entry of this node.
    pub fn register(&mut self, now: Instant) {
        self.registered_at.get_or_insert(now);
    }

    /// Returns the number of nodes that the slack is divided by.
    #[must_use]
    pub fn nodes(&self) -> usize {
        let recent = self.recent.front().map_or(0, |largest| largest.nodes);
        let nodes = if self.is_confirmed { recent } else { self.most };
        nodes.max(1)
    }

    /// Returns the part of `slack` that this node may use within a window of `window_ms`.
    #[must_use]
    pub fn of(&self, now: Instant, slack: f64, window_ms: u64) -> Part {
        let nodes = f64::from(u32::try_from(self.nodes()).unwrap_or(u32::MAX));
        let attempts = slack / (FLEET_PARTS * nodes);
        // Before its first list the node may be one of many.
        let is_rounding_covered = self.most > 0 && attempts >= HALF_ATTEMPT;
        let begins = self.registered_at.map(|at| at.plus_millis(window_ms));
        let has_begun = begins.is_some_and(|begins| now >= begins);
        Part {
            attempts: if has_begun { attempts } else { 0.0 },
            rounding: if is_rounding_covered {
                HALF_ATTEMPT
            } else {
                self.phase
            },
        }
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
