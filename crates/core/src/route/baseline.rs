//! Baseline load-balancing policies, for comparison with [`super::Table`] in benches.

use fescuerack_config::key;
use rand::{Rng, RngExt as _};

/// Round robin: each server in turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl RoundRobin {
    /// Creates a policy that starts with the server at index `first`.
    #[must_use]
    pub fn new(first: usize) -> Self {
        Self { next: first }
    }

    /// Chooses the next server.
    pub fn choose(&mut self, servers: &[key::Server]) -> Option<key::Server> {
        let index = self.next % servers.len().max(1);
        self.next = self.next.wrapping_add(1);
        servers.get(index).copied()
    }
}

/// Chooses the less loaded of two servers drawn at random (power of two choices).
pub fn two_choices<R: Rng>(
    servers: &[key::Server],
    load: impl Fn(key::Server) -> u64,
    rng: &mut R,
) -> Option<key::Server> {
    if servers.is_empty() {
        return None;
    }
    let first = servers[rng.random_range(0..servers.len())];
    let second = servers[rng.random_range(0..servers.len())];
    Some(if load(second) < load(first) {
        second
    } else {
        first
    })
}
