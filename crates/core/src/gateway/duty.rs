//! When a node begins what one or a few nodes do for all: sending to a server with a limit, or owning a
//! brittle one.
//!
//! Nodes that know the same [members](crate::membership) agree without messages who has a duty. While they
//! do not, a duty may be had twice, and what all nodes send to a server sums up to more than it bears. So:
//!
//! - A node that has just started knows too few others. It begins once the list is
//!   [calm](Standing::is_calm), unless a process before it on the same instance may have sent a moment
//!   ago, or after [`SETTLE_MS`].
//! - A node that gets a duty which another one had begins once the list has been calm, so that this one has
//!   given it up, or after [`SETTLE_MS`] if names come and go all the while.
//! - A node gives up a duty at once.

use std::collections::HashMap;

use crate::clock::Instant;
use crate::membership::{CALM_MS, Standing};

/// Milliseconds after which a node begins a duty although the list is not calm. Nodes that start
/// together register one after the other.
pub const SETTLE_MS: u64 = 3_000;
/// Milliseconds for which a node caches whether it has a duty. Servers are picked more often than
/// nodes join and leave.
const CACHED_MS: u64 = 500;

/// Whether the node has one duty.
#[derive(Clone, Copy, Debug)]
struct Duty {
    is_own: bool,
    /// Round for which `is_own` was computed; a new one chooses other nodes.
    round: u64,
    /// When the node got it from another one.
    taken_over_at: Option<Instant>,
    /// Until when `is_own` is cached.
    until: Instant,
}

/// The duties of one node, by the identity of the server.
#[derive(Clone, Debug)]
pub struct Duties {
    started_at: Instant,
    has_begun: bool,
    known: HashMap<u64, Duty>,
}

impl Duties {
    /// Creates the state of a node that starts at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            has_begun: false,
            known: HashMap::new(),
        }
    }

    /// Whether it holds no state.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns whether this node has the duty for `server` in `round` and has begun it; `compute` finds out by
    /// the members whether it has it.
    pub fn has(
        &mut self,
        now: Instant,
        standing: Standing,
        (server, round): (u64, u64),
        compute: impl FnOnce() -> bool,
    ) -> bool {
        if !self.begins(now, standing) {
            return false;
        }
        let known = self.known.get(&server).copied();
        let cached = known.filter(|known| known.round == round && now < known.until);
        let duty = cached.unwrap_or_else(|| {
            let is_own = compute();
            let before = known.filter(|known| known.round == round);
            let taken_over_at = match before {
                Some(before) if before.is_own == is_own => before.taken_over_at,
                Some(_) => Some(now),
                None => None,
            };
            Duty {
                is_own,
                round,
                taken_over_at,
                until: now.plus_millis(CACHED_MS),
            }
        });
        self.known.insert(server, duty);
        let is_waiting = duty.taken_over_at.is_some_and(|at| {
            let wait_ms = if standing.is_calm { CALM_MS } else { SETTLE_MS };
            now < at.plus_millis(wait_ms)
        });
        duty.is_own && !is_waiting
    }

    /// Whether this node had the duty for `server` when it was last asked.
    #[must_use]
    pub fn had(&self, server: u64) -> bool {
        let duty = self.known.get(&server);
        self.has_begun && duty.is_some_and(|duty| duty.is_own)
    }

    /// Whether the node may have any duty.
    fn begins(&mut self, now: Instant, standing: Standing) -> bool {
        let is_first = standing.is_calm && standing.is_first_start;
        self.has_begun |= is_first || now >= self.started_at.plus_millis(SETTLE_MS);
        self.has_begun
    }

    /// Drops the state of servers for which `is_kept` does not hold.
    pub fn retain(&mut self, is_kept: impl Fn(u64) -> bool) {
        self.known.retain(|&server, _| is_kept(server));
    }
}
