//! Rate limits of backend servers that all nodes keep together.
//!
//! A server that is [warming up](Limit::warmup) tolerates few requests a second, summed over all
//! nodes, and fails well above that. A server in need [states](Limit::stated) how many it accepts.
//! If hundreds of nodes each sent a fair share, they could exceed the limit within one window by
//! chance, and a share of less than one request cannot be used. If no node used the server, its
//! load would be left to the others.
//!
//! Therefore only a few nodes, the senders, may use such a server, each with a minimum interval
//! between its requests. Rendezvous hashing of node and server selects them, so nodes with the same
//! list of nodes agree without messages. While nodes disagree, because some are partitioned or have
//! lost their entries, there are more senders. Only half of the requests of a window are used, so
//! that two partitions of the fleet without contact stay within it in total. Which nodes there are is
//! the matter of [`membership`](crate::membership), and when a node that has become a sender begins,
//! that of [`duty`](super::duty).
//!
//! Senders are chosen anew for each [round](Target::round) of a stated limit; see
//! [`stated_limit`](super::stated_limit).

use std::collections::HashMap;

use super::affinity;
use super::duty::Duties;
use crate::clock::Instant;
use crate::membership::Standing;

/// Share of the requests of a window that is used while all nodes agree.
const USED_SHARE: f64 = 0.5;
/// Minimum number of requests a second that a sender must be allowed, averaged over the window.
const MIN_SENDER_REQUESTS_PER_S: f64 = 2.0;
/// The same for a stated limit, whose window is longer.
const MIN_STATED_SENDER_REQUESTS_PER_S: f64 = 1.0;
/// Minimum number of requests a window at which a sender may continue after its first request.
const MIN_SENDER_REFILL: f64 = 0.2;
/// Window of a warm-up limit, in milliseconds.
const WARMUP_WINDOW_MS: u64 = 1_000;
/// Window over which a server that states a limit sums its requests, in milliseconds.
const STATED_WINDOW_MS: u64 = 4_000;
/// Factor by which the requests of such a window may exceed the stated rate.
const STATED_OVERAGE: f64 = 1.5;
/// Requests in such a window beyond that.
const STATED_SLACK: f64 = 5.0;
/// Minimum rate in requests a second that a stated limit is taken for. Only an answer shows that a
/// limit has ended, so a server that accepts nothing still gets a request now and then.
const MIN_STATED_PER_S: f64 = 0.2;

/// Number of requests that a server tolerates from all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests of all nodes within any window.
    within_window: f64,
    /// Length of the window.
    window_ms: u64,
    /// Requests a second that the senders may not exceed together over a long time.
    per_second: f64,
    /// Requests in a window that a sender must be allowed.
    min_per_sender: f64,
}

impl Limit {
    /// Creates the limit of a server that is warming up and tolerates `per_second` requests a
    /// second, multiplied by `overage` and plus `slack` requests.
    #[must_use]
    pub fn warmup(per_second: f64, overage: f64, slack: f64) -> Self {
        Self {
            within_window: (per_second * overage + slack).max(0.0),
            window_ms: WARMUP_WINDOW_MS,
            per_second: f64::INFINITY,
            min_per_sender: MIN_SENDER_REQUESTS_PER_S,
        }
    }

    /// Creates the limit of a server that states that it accepts `per_second` requests a second.
    #[must_use]
    pub fn stated(per_second: f64) -> Self {
        let per_second = per_second.max(MIN_STATED_PER_S);
        let window_s = seconds(STATED_WINDOW_MS);
        Self {
            within_window: per_second * STATED_OVERAGE * window_s + STATED_SLACK,
            window_ms: STATED_WINDOW_MS,
            per_second,
            min_per_sender: MIN_STATED_SENDER_REQUESTS_PER_S * window_s,
        }
    }

    /// Returns the stricter of two limits: the one with the lower rate.
    #[must_use]
    pub fn stricter(self, other: Self) -> Self {
        if other.rate_per_s() < self.rate_per_s() {
            other
        } else {
            self
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
        if self.within_window < 1.0 {
            return 0;
        }
        let senders = (self.within_window * USED_SHARE / self.min_per_sender) as usize;
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
        let refill = (self.within_window * USED_SHARE / senders - 1.0).max(MIN_SENDER_REFILL);
        let by_window_s = seconds(self.window_ms) / refill;
        let by_rate_s = senders / self.per_second;
        (by_window_s.max(by_rate_s) * 1_000.0).ceil() as u64
    }

    /// Returns the requests a second that all nodes may send, averaged over a window.
    fn rate_per_s(&self) -> f64 {
        (self.within_window / seconds(self.window_ms)).min(self.per_second)
    }
}

fn seconds(millis: u64) -> f64 {
    f64::from(u32::try_from(millis).unwrap_or(u32::MAX)) / 1_000.0
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

/// A server with a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Target {
    /// Hash of the server's identity.
    pub identity: u64,
    /// Its limit.
    pub limit: Limit,
    /// Round for which the senders are chosen.
    pub round: u32,
}

impl Target {
    /// Returns the hash by which the senders of the round are chosen.
    #[must_use]
    pub const fn hash(&self) -> u64 {
        match self.round {
            0 => self.identity,
            round => affinity::mix(self.identity ^ affinity::mix(round as u64)),
        }
    }
}

/// Spacing of the requests that a sender sends to one server.
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

/// The limits that one node keeps, by the identity of the server.
#[derive(Debug)]
pub struct Gate {
    senders: Duties,
    pacers: HashMap<u64, Pacer>,
}

impl Gate {
    /// Creates the state of a node that starts at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            senders: Duties::new(now),
            pacers: HashMap::new(),
        }
    }

    /// Whether it holds no state.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.senders.is_empty()
    }

    /// Drops the state of servers that have no limit any more.
    pub fn retain(&mut self, is_limited: impl Fn(u64) -> bool) {
        self.senders.retain(&is_limited);
        self.pacers.retain(|&identity, _| is_limited(identity));
    }

    /// Returns whether the node may send a request to the server now. `is_sender` computes whether
    /// it is a sender by the target's [hash](Target::hash).
    pub fn admits(
        &mut self,
        now: Instant,
        standing: Standing,
        target: &Target,
        is_sender: impl FnOnce() -> bool,
    ) -> bool {
        let round = (target.identity, target.hash());
        let is_sender = self.senders.has(now, standing, round, is_sender);
        let pacer = self.pacers.get(&target.identity);
        is_sender && pacer.is_none_or(|pacer| pacer.is_due(now))
    }

    /// Records that a request is sent to the server now, in a fleet of `nodes`.
    pub fn record_send(&mut self, now: Instant, target: &Target, nodes: usize) {
        let pacer = self.pacers.entry(target.identity).or_default();
        pacer.record_send(now, target.limit.spacing_ms(nodes));
    }

    /// Returns when a request to the server may be admitted again, by this node or, as far as it can
    /// tell, by another sender. A caller's retry may reach any node.
    #[must_use]
    pub fn next_at(&self, now: Instant, target: &Target, nodes: usize) -> Instant {
        let senders = u64::try_from(target.limit.senders(nodes).max(1)).unwrap_or(u64::MAX);
        let by_any = now.plus_millis(target.limit.spacing_ms(nodes) / senders);
        if !self.senders.had(target.identity) {
            return by_any;
        }
        let own = self.pacers.get(&target.identity).copied();
        let next = own.unwrap_or_default().next;
        next.clamp(now, by_any.max(now))
    }
}
