//! How many requests a node may run at the engines of a service, so that all nodes together fill
//! their places.
//!
//! Every node sees the same free places, half a second late. If each filled them, they would be used
//! as often as there are nodes. So the requests that a node may run are those that it had when the
//! others were counted, and a part of the places that were free then, by its part of recent use. If
//! all nodes have the same counts, these numbers add up to all places, whatever each node has begun
//! since: no place is given twice. Where the counts differ, the excess is bounded by what the nodes
//! began and ended between them.
//!
//! A node whose callers come later would find all places held by the others, each of which replaces
//! what ends. So all nodes move towards equal parts by a tenth (`LEVELLING`) at each report.
//!
//! What a node held lapses with its report. A node that hears nothing uses its part of all places.

use std::collections::VecDeque;

use super::load::REPORT_INTERVAL_MS;
use crate::clock::Instant;
use crate::num::{float, whole};

/// Milliseconds by which the counts of the others are late: the number of reports from one zone to
/// another. With a longer one, a small fleet used a third more than its places when load rose.
const LAG_MS: u64 = 3 * REPORT_INTERVAL_MS;
/// Share by which parts move towards equal ones within [`LAG_MS`]. Nodes without callers keep this
/// share of their equal part free.
const LEVELLING: f64 = 0.1;
/// Half-life of recent use in milliseconds.
const USE_HALF_LIFE_MS: f64 = 2_000.0;

/// Requests at a group of engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Occupancy {
    slots: u32,
    own: u32,
    peers: u32,
    free: u32,
}

impl Occupancy {
    /// Adds an engine with `slots` places, on which this node runs `own` requests and all others
    /// `peers`.
    pub fn add(&mut self, slots: u32, own: u32, peers: u32) {
        let used = own.saturating_add(peers);
        self.slots = self.slots.saturating_add(slots);
        self.own = self.own.saturating_add(own);
        self.peers = self.peers.saturating_add(peers);
        self.free = self.free.saturating_add(slots.saturating_sub(used));
    }

    /// Returns the number of requests of this node.
    #[must_use]
    pub const fn own(&self) -> u32 {
        self.own
    }
}

/// What one node may run at a group of engines.
#[derive(Clone, Debug, Default)]
pub struct Room {
    allowed: usize,
    due: Instant,
    /// Requests of this node at the last reports, the oldest first.
    history: VecDeque<(Instant, u32)>,
    own_use: f64,
    all_use: f64,
    used_at: Instant,
}

impl Room {
    /// Returns whether the room is to be computed anew.
    #[must_use]
    pub fn is_due(&self, now: Instant) -> bool {
        now >= self.due
    }

    /// Returns the number of requests that this node may run.
    #[must_use]
    pub const fn allowed(&self) -> usize {
        self.allowed
    }

    /// Computes the room by the requests of all `nodes` nodes. `is_current` states whether those of
    /// the others are known. A random `draw` below 1 rounds, so that nodes with less than one place
    /// each take turns.
    pub fn observe(
        &mut self,
        now: Instant,
        seen: Occupancy,
        is_current: bool,
        nodes: usize,
        draw: f64,
    ) {
        self.due = now.plus_millis(REPORT_INTERVAL_MS);
        let nodes = float(nodes.max(1));
        let base = self.record(now, seen.own);
        // Without the others their last use stays, so that the parts still add up to one.
        if is_current {
            self.record_use(now, f64::from(base), f64::from(seen.peers));
        }
        let share = (self.own_use + 1.0) / (self.all_use + nodes);
        let slots = f64::from(seen.slots);
        let allowed = if is_current {
            let base = f64::from(base);
            let free = (f64::from(seen.free) + f64::from(seen.own) - base).max(0.0);
            (base + share * free) * (1.0 - LEVELLING) + slots / nodes * LEVELLING
        } else {
            slots * share.min(1.0)
        };
        self.allowed = whole(allowed + draw);
    }

    /// Records the requests of this node, and returns those that it had when the others were counted.
    fn record(&mut self, now: Instant, own: u32) -> u32 {
        self.history.push_back((now, own));
        let counted_at = now.minus_millis(LAG_MS);
        while self.history.get(1).is_some_and(|(at, _)| *at <= counted_at) {
            self.history.pop_front();
        }
        // Without requests for a long time, nothing is known of that moment.
        let oldest = self.history.front();
        oldest
            .filter(|(at, _)| *at >= now.minus_millis(2 * LAG_MS))
            .map_or(own, |(_, base)| *base)
    }

    /// Records the use as it was when the others were counted. With the present requests of this node,
    /// the parts would add up to more than one while the load rises.
    fn record_use(&mut self, now: Instant, own: f64, peers: f64) {
        let age_ms = now.since(self.used_at).as_secs_f64() * 1_000.0;
        let kept = 0.5_f64.powf(age_ms / USE_HALF_LIFE_MS);
        let smooth = |mean: f64, new: f64| mean * kept + new * (1.0 - kept);
        self.own_use = smooth(self.own_use, own);
        self.all_use = smooth(self.all_use, own + peers);
        self.used_at = now;
    }
}
