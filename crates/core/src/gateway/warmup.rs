//! Rate limit for backend servers that are warming up.
//!
//! A server that has just started tolerates few requests a second, summed over all nodes, and fails
//! well above that. If hundreds of nodes each sent a fair share, they could exceed the limit within
//! one second by chance, and a share of less than one request cannot be used. If no node used the
//! server until it is warm, an availability zone that comes back would leave all its load to the
//! other zones.
//!
//! Therefore only a few nodes, the senders, may use a warming server, each with a minimum interval
//! between its requests. Rendezvous hashing of node and server selects them, so nodes with the same
//! list of nodes agree without messages. While nodes disagree, because some are partitioned or have
//! lost their entries, there are more senders. Only half of the limit is used, so that two
//! partitions of the fleet without contact stay within it in total. A node that has just started
//! has discovered too few others, so it is not a sender for [`SETTLE_MS`].

use super::affinity;
use crate::clock::Instant;

/// Share of the limit that is used while all nodes agree.
const USED_SHARE: f64 = 0.5;
/// Minimum number of requests that a sender must be allowed within one second: one at once and one
/// after its interval.
const MIN_SENDER_REQUESTS_PER_S: f64 = 2.0;
/// Minimum rate, in requests a second, at which a sender may continue after its first request.
const MIN_SENDER_REFILL_PER_S: f64 = 0.2;
/// Milliseconds after its start in which a node is not a sender. Nodes that start together register
/// one after the other.
pub const SETTLE_MS: u64 = 3_000;

/// Number of requests that a warming server tolerates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests of all nodes within any second.
    within_second: f64,
}

impl Limit {
    /// Creates the limit of a server that tolerates `per_second` requests a second, multiplied by
    /// `overage` and plus `slack` requests.
    #[must_use]
    pub fn new(per_second: f64, overage: f64, slack: f64) -> Self {
        Self {
            within_second: (per_second * overage + slack).max(0.0),
        }
    }

    /// Returns how many of the `nodes` are senders for the server.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the cast saturates, and the quotient is never negative"
    )]
    pub fn senders(&self, nodes: usize) -> usize {
        if self.within_second < 1.0 {
            return 0;
        }
        let senders = (self.within_second * USED_SHARE / MIN_SENDER_REQUESTS_PER_S) as usize;
        senders.clamp(1, nodes.max(1))
    }

    /// Returns the milliseconds between two requests of one sender, in a fleet of `nodes`.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the cast saturates, and the quotient is positive"
    )]
    pub fn spacing_ms(&self, nodes: usize) -> u64 {
        let senders = f64::from(u32::try_from(self.senders(nodes).max(1)).unwrap_or(u32::MAX));
        let refill = (self.within_second * USED_SHARE / senders - 1.0).max(MIN_SENDER_REFILL_PER_S);
        (1_000.0 / refill).ceil() as u64
    }
}

/// Whether the node `local` is among the first `senders` for the server with the hash `server`.
///
/// `nodes` are all nodes that it has discovered, with or without itself.
#[must_use]
pub fn is_sender<'a>(
    local: &str,
    nodes: impl Iterator<Item = &'a str>,
    server: u64,
    senders: usize,
) -> bool {
    let rank = |name: &str| affinity::mix(affinity::hash(name.as_bytes()) ^ affinity::mix(server));
    let local_rank = rank(local);
    let preceding = nodes.filter(|name| *name != local && rank(name) > local_rank);
    preceding.take(senders).count() < senders
}

/// Spacing of the requests that a sender sends to one warming server.
#[derive(Clone, Copy, Debug)]
pub struct Pacer {
    next: Instant,
}

impl Default for Pacer {
    fn default() -> Self {
        Self {
            next: Instant::ORIGIN,
        }
    }
}

impl Pacer {
    /// Whether a request may be sent now.
    #[must_use]
    pub fn is_due(&self, now: Instant) -> bool {
        now >= self.next
    }

    /// Records that a request is sent now; the next one may follow `spacing_ms` later.
    pub fn record_send(&mut self, now: Instant, spacing_ms: u64) {
        self.next = now.plus_millis(spacing_ms);
    }
}
