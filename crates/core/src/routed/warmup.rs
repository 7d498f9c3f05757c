//! Who may use a backend server that is warming up, and how often.
//!
//! The pattern: a server that has just started bears few requests a second, summed over all nodes,
//! and falls over well above that. Hundreds of nodes that each send it a fair share send more in
//! one unlucky second, and a share of less than one request is no share at all. Left alone until it
//! is warm, an availability zone that comes back leaves all its work to the others.
//!
//! So a few nodes, chosen by rendezvous of node and server, may use a warming server, each at a
//! spacing in time. All nodes that know the same others agree without a message. Nodes that disagree
//! for a while, since some are cut off or have lost their entries, add users; only half of the limit
//! is used, so that two parts of the fleet that do not know each other keep it. A node that has just
//! started knows too few others, so it uses none for [`SETTLE_MS`].

use super::affinity;
use crate::clock::Instant;

/// Part of the limit that is used while all nodes agree.
const USED: f64 = 0.5;
/// Requests that a user may send within a second: one at once and one for the spacing.
const LEAST_SHARE: f64 = 2.0;
/// Requests a second that a user may add to the first one at least.
const LEAST_REFILL: f64 = 0.2;
/// Milliseconds after its start in which a node does not count itself among the users. Nodes that
/// start together enter themselves one after the other.
pub const SETTLE_MS: u64 = 3_000;

/// How many requests a warming server bears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests of all nodes within any second.
    within_second: f64,
}

impl Limit {
    /// Creates the limit of a server that tolerates `per_second` requests, which may be exceeded
    /// `overage` times and by `slack` requests.
    #[must_use]
    pub fn new(per_second: f64, overage: f64, slack: f64) -> Self {
        Self {
            within_second: (per_second * overage + slack).max(0.0),
        }
    }

    /// Number of the `nodes` that may use the server.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the cast saturates, and the quotient is never negative"
    )]
    pub fn users(&self, nodes: usize) -> usize {
        if self.within_second < 1.0 {
            return 0;
        }
        let shares = (self.within_second * USED / LEAST_SHARE) as usize;
        shares.clamp(1, nodes.max(1))
    }

    /// Milliseconds between two requests of one user, of `nodes`.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the cast saturates, and the quotient is positive"
    )]
    pub fn spacing_ms(&self, nodes: usize) -> u64 {
        let users = f64::from(u32::try_from(self.users(nodes).max(1)).unwrap_or(u32::MAX));
        let refill = (self.within_second * USED / users - 1.0).max(LEAST_REFILL);
        (1_000.0 / refill).ceil() as u64
    }
}

/// Whether the node `own` is among the first `users` for the server with the hash `server`; `nodes`
/// are all that it knows, itself or not.
#[must_use]
pub fn is_user<'a>(
    own: &str,
    nodes: impl Iterator<Item = &'a str>,
    server: u64,
    users: usize,
) -> bool {
    let place = |name: &str| affinity::mix(affinity::hash(name.as_bytes()) ^ affinity::mix(server));
    let own_place = place(own);
    let before = nodes.filter(|name| *name != own && place(name) > own_place);
    before.take(users).count() < users
}

/// When a node may send a warming server its next request.
#[derive(Clone, Copy, Debug)]
pub struct Turn {
    next: Instant,
}

impl Default for Turn {
    fn default() -> Self {
        Self {
            next: Instant::ORIGIN,
        }
    }
}

impl Turn {
    /// Whether a request may be sent now.
    #[must_use]
    pub fn is_due(&self, now: Instant) -> bool {
        now >= self.next
    }

    /// Notes that one is sent now; the next may follow `spacing_ms` later.
    pub fn take(&mut self, now: Instant, spacing_ms: u64) {
        self.next = now.plus_millis(spacing_ms);
    }
}
