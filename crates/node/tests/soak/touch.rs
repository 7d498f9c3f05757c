//! Which nodes nothing has been done to, so that promises with a time bound hold for them.

use std::cell::Cell;
use std::time::{Duration, Instant};

use crate::plan::NODES;

/// Time after a fault from which its effects are over.
pub const SETTLE: Duration = Duration::from_secs(3);

/// Until when faults last.
pub struct Touch {
    nodes: [Cell<Instant>; NODES],
    planned: [Cell<Instant>; NODES],
    store: Cell<Instant>,
    backends: Cell<Instant>,
}

impl Touch {
    /// Nothing has been done yet.
    pub fn new() -> Self {
        let now = Instant::now()
            .checked_sub(SETTLE)
            .expect("a clock that runs");
        Self {
            nodes: std::array::from_fn(|_| Cell::new(now)),
            planned: std::array::from_fn(|_| Cell::new(now)),
            store: Cell::new(now),
            backends: Cell::new(now),
        }
    }

    /// Something is done to a node for a while.
    pub fn disturb(&self, node: usize, lasts: Duration) {
        extend(&self.nodes[node], lasts);
    }

    /// Something is done to the store for a while.
    pub fn disturb_store(&self, lasts: Duration) {
        extend(&self.store, lasts);
    }

    /// Something is done to a backend server for a while.
    pub fn disturb_backends(&self, lasts: Duration) {
        extend(&self.backends, lasts);
    }

    /// A node is stopped or told to reload, and nothing else.
    pub fn plan(&self, node: usize, lasts: Duration) {
        extend(&self.planned[node], lasts);
    }

    /// Whether nothing has touched a node or the store since `since` and shortly before.
    pub fn follows(&self, node: usize, since: Instant) -> bool {
        let calm = [&self.nodes[node], &self.planned[node], &self.store];
        calm.into_iter().all(|until| is_over(until, since))
    }

    /// Whether nothing unplanned has touched a node, the store or the backend servers.
    pub fn is_sound(&self, node: usize, since: Instant) -> bool {
        let calm = [&self.nodes[node], &self.store, &self.backends];
        calm.into_iter().all(|until| is_over(until, since))
    }

    /// Whether nothing at all has.
    pub fn is_calm(&self, node: usize, since: Instant) -> bool {
        self.is_sound(node, since) && is_over(&self.planned[node], since)
    }
}

fn is_over(until: &Cell<Instant>, since: Instant) -> bool {
    until.get() + SETTLE <= since
}

fn extend(until: &Cell<Instant>, lasts: Duration) {
    until.set(until.get().max(Instant::now() + lasts));
}
