//! Tracks which nodes are free of faults, so that guarantees with a time limit apply to them.

use std::cell::Cell;
use std::time::{Duration, Instant};

use crate::process::GRACE_PERIOD;

/// Time after the end of a fault at which its effects are over.
pub const SETTLE_TIME: Duration = Duration::from_secs(3);

/// The ends of the faults, by what they affect.
pub struct Disturbances {
    nodes: Vec<Cell<Instant>>,
    planned: Vec<Cell<Instant>>,
    /// When nodes were last asked to stop.
    stops: Vec<Cell<Option<Instant>>>,
    store: Cell<Instant>,
    backends: Cell<Instant>,
    /// Times in which nodes are cut off from all backend servers, and must serve.
    cuts: Vec<Cell<Option<(Instant, Instant)>>>,
}

impl Disturbances {
    /// Creates a record without any fault of `nodes` nodes.
    pub fn new(nodes: usize) -> Self {
        let now = Instant::now()
            .checked_sub(SETTLE_TIME)
            .expect("a clock that runs");
        Self {
            nodes: vec![Cell::new(now); nodes],
            planned: vec![Cell::new(now); nodes],
            stops: vec![Cell::new(None); nodes],
            store: Cell::new(now),
            backends: Cell::new(now),
            cuts: vec![Cell::new(None); nodes],
        }
    }

    /// Records a fault of a node.
    pub fn record_node(&self, node: usize, duration: Duration) {
        extend(&self.nodes[node], duration);
    }

    /// Records that a node is cut off from all backend servers. Requests that peers serve for it
    /// may notice the faults of these.
    pub fn record_cut(&self, node: usize, duration: Duration) {
        let now = Instant::now();
        self.cuts[node].set(Some((now + SETTLE_TIME, now + duration)));
        for node in 0..self.nodes.len() {
            self.record_node(node, Duration::ZERO);
        }
        self.record_node(node, duration);
    }

    /// Returns whether a node was cut off from all backend servers since [`SETTLE_TIME`] before
    /// `at`.
    pub fn is_cut(&self, node: usize, at: Instant) -> bool {
        let is_within = |(from, until): (Instant, Instant)| from <= at && at < until;
        self.cuts[node].get().is_some_and(is_within)
    }

    /// Records a fault of the store.
    pub fn record_store(&self, duration: Duration) {
        extend(&self.store, duration);
    }

    /// Records a fault of a backend server.
    pub fn record_backends(&self, duration: Duration) {
        extend(&self.backends, duration);
    }

    /// Records a planned stop or reload of a node.
    pub fn record_planned(&self, node: usize, duration: Duration) {
        extend(&self.planned[node], duration);
    }

    /// Records that a node is asked to stop.
    pub fn record_stop(&self, node: usize) {
        self.stops[node].set(Some(Instant::now()));
    }

    /// Returns whether a node that was asked to stop may end a request which was sent `at`: a
    /// server still works on it in the last sixth of the grace period.
    pub fn may_end(&self, node: usize, at: Instant) -> bool {
        let is_last_sixth = |asked: Instant| at >= asked && asked.elapsed() >= GRACE_PERIOD * 5 / 6;
        self.stops[node].get().is_some_and(is_last_sixth)
    }

    /// Returns whether neither a fault nor a planned stop or reload has affected a node, nor a
    /// fault the store, since [`SETTLE_TIME`] before `since`.
    pub fn can_follow_store(&self, node: usize, since: Instant) -> bool {
        let ends = [&self.nodes[node], &self.planned[node], &self.store];
        ends.into_iter().all(|until| is_over(until, since))
    }

    /// Returns whether a fault, a planned stop or a reload has affected a node after `since`.
    pub fn has_disturbed(&self, node: usize, since: Instant) -> bool {
        let ends = [&self.nodes[node], &self.planned[node]];
        ends.into_iter().any(|until| until.get() >= since)
    }

    /// Returns whether no fault has affected a node, the store or the backend servers since
    /// [`SETTLE_TIME`] before `since`. Planned stops and reloads do not count.
    pub fn is_free_of_faults(&self, node: usize, since: Instant) -> bool {
        let ends = [&self.nodes[node], &self.store, &self.backends];
        ends.into_iter().all(|until| is_over(until, since))
    }

    /// Returns whether neither a fault nor a planned stop or reload has affected a node since
    /// [`SETTLE_TIME`] before `since`.
    pub fn is_undisturbed(&self, node: usize, since: Instant) -> bool {
        self.is_free_of_faults(node, since) && is_over(&self.planned[node], since)
    }
}

fn is_over(until: &Cell<Instant>, since: Instant) -> bool {
    until.get() + SETTLE_TIME <= since
}

fn extend(until: &Cell<Instant>, duration: Duration) {
    until.set(until.get().max(Instant::now() + duration));
}
