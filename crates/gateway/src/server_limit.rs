//! Limits on the requests that this node sends to backend servers that are warming up or have stated
//! a limit in their answers; see [`shared_limit`] and
//! [`stated_limit`](fescuerack_core::gateway::stated_limit).

use std::cell::RefCell;
use std::collections::HashMap;

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::shared_limit::{self, Gate, Limit, Target};
use fescuerack_core::gateway::stated_limit::{Change, Digest, StatedLimits};

use crate::clock::now;
use crate::metrics::ServerMetrics;
use crate::pick::Pick;
use crate::server::Server;
use crate::settings::Excess;
use crate::statements::OWN_ANSWER;
use crate::view::View;

/// The limits that this node knows and keeps. Where `excess` is a parameter, it says how many requests a
/// cold server tolerates beyond its rate.
#[derive(Debug)]
pub struct ServerLimits {
    /// Name of this node.
    instance: String,
    metrics: ServerMetrics,
    statements: RefCell<StatedLimits>,
    gate: RefCell<Gate>,
}

impl ServerLimits {
    /// Creates the state of the node `instance`.
    #[must_use]
    pub fn new(instance: &str, metrics: ServerMetrics) -> Self {
        Self {
            instance: instance.to_owned(),
            metrics,
            statements: RefCell::default(),
            gate: RefCell::new(Gate::new(now())),
        }
    }

    /// Returns whether the limits allow this node to send `server` a request now.
    #[must_use]
    pub fn admits(&self, view: &View, server: &Server, excess: Excess, now: Instant) -> bool {
        let Some(target) = self.target(view, server, excess, now) else {
            return true;
        };
        let mut gate = self.gate.borrow_mut();
        let standing = view.membership.standing(now);
        gate.admits(now, standing, &target, || self.is_sender(view, &target))
    }

    /// Records that a request is sent to `server` now.
    pub fn record_request(&self, view: &View, server: &Server, excess: Excess, now: Instant) {
        let Some(target) = self.target(view, server, excess, now) else {
            return;
        };
        let mut gate = self.gate.borrow_mut();
        gate.record_send(now, &target, view.membership.count());
        let requests = if server.is_cold(now) {
            &self.metrics.cold_requests
        } else {
            &self.metrics.limited_requests
        };
        requests.with_label_values(&[&*server.entry.service]).inc();
        tracing::info!(
            event = "limited-request",
            server = &*server.entry.id,
            cold = server.is_cold(now),
            members = view.membership.count(),
            missing = view.membership.missing_count(),
            confirmed = view.membership.is_confirmed()
        );
    }

    /// Returns when a request to `server` may be admitted again, by this node or by another.
    #[must_use]
    pub fn next_at(&self, view: &View, server: &Server, excess: Excess, now: Instant) -> Instant {
        let target = self.target(view, server, excess, now);
        let gate = self.gate.borrow();
        target.map_or(now, |target| {
            gate.next_at(now, &target, view.membership.count())
        })
    }

    /// Records the limit that the answer of `pick` to a request that was sent at `sent_at` states, in
    /// requests a second; `None` if it states none.
    pub fn record_statement(&self, pick: &Pick, sent_at: Instant, per_second: Option<f64>) {
        let mut statements = self.statements.borrow_mut();
        if let Some(change) = statements.record(now(), sent_at, pick.identity, per_second) {
            self.log_change(&pick.id, change, OWN_ANSWER, 0);
        }
    }

    /// Returns the statements for `peer`.
    pub fn digest(&self, peer: &str) -> Digest {
        self.statements.borrow_mut().digest(now(), peer)
    }

    /// Returns all statements, for a node that starts.
    #[must_use]
    pub fn all(&self) -> Digest {
        self.statements.borrow().all(now())
    }

    /// Merges the statements that the peer `source` has passed on.
    pub fn receive(&self, view: &View, source: &str, digest: &Digest) {
        let changes = self.statements.borrow_mut().merge(now(), digest);
        for (identity, change, age_ms) in changes {
            let mut servers = view.servers.values();
            let server = servers.find(|server| server.identity == identity);
            // A server whose entry has not arrived yet is logged by its hash.
            match server {
                Some(server) => self.log_change(&server.entry.id, change, source, age_ms),
                None => self.log_change(&format!("{identity:016x}"), change, source, age_ms),
            }
        }
    }

    /// Drops the state of servers that have no limit any more or are no longer listed.
    pub fn sweep(&self, view: &View, now: Instant) {
        if self.statements.borrow().is_empty() && self.gate.borrow().is_empty() {
            return;
        }
        let listed: HashMap<u64, &Server> = view
            .servers
            .values()
            .map(|server| (server.identity, server))
            .collect();
        let mut statements = self.statements.borrow_mut();
        statements.sweep(now, |identity| listed.contains_key(&identity));
        let is_cold = |identity| {
            let server: Option<&&Server> = listed.get(&identity);
            server.is_some_and(|server| server.is_cold(now))
        };
        self.gate
            .borrow_mut()
            .retain(|identity| is_cold(identity) || statements.target(now, identity).is_some());
        let count = i64::try_from(statements.limited_count()).unwrap_or(i64::MAX);
        self.metrics.limited.set(count);
    }

    /// Returns the limit that the server with `identity` has stated; `None` if it has none.
    #[must_use]
    pub fn stated(&self, now: Instant, identity: u64) -> Option<Target> {
        self.statements.borrow().target(now, identity)
    }

    /// Returns the number of servers that have stated a limit.
    #[must_use]
    pub fn stated_count(&self) -> usize {
        self.statements.borrow().limited_count()
    }

    /// Returns whether this node is a sender for the server.
    fn is_sender(&self, view: &View, target: &Target) -> bool {
        let names = view.membership.names();
        let senders = target.limit.senders(view.membership.count());
        shared_limit::is_sender(&self.instance, names, target.hash(), senders)
    }

    /// Returns the server with the strictest of its limits; `None` if it has none.
    fn target(&self, view: &View, server: &Server, excess: Excess, now: Instant) -> Option<Target> {
        let stated = self.stated(now, server.identity);
        let Some(warmup) = warmup_limit(view, server, excess, now) else {
            return stated;
        };
        let round = stated.map_or(0, |stated| stated.round);
        Some(Target {
            identity: server.identity,
            limit: stated.map_or(warmup, |stated| stated.limit.stricter(warmup)),
            round,
        })
    }

    fn log_change(&self, server: &str, change: Change, source: &str, age_ms: u64) {
        let (label, limit) = match change {
            Change::Learnt(limit) => ("learnt", Some(limit)),
            Change::Changed(limit) => ("changed", Some(limit)),
            Change::Ended => ("ended", None),
        };
        self.metrics.limit_changes.with_label_values(&[label]).inc();
        tracing::info!(
            event = "stated-limit",
            server,
            change = label,
            limit,
            source,
            age_ms
        );
    }
}

/// Returns the limit of the server while it is cold; `None` if its service states none.
fn warmup_limit(view: &View, server: &Server, excess: Excess, now: Instant) -> Option<Limit> {
    if !server.is_cold(now) {
        return None;
    }
    let catalog = view.catalog.as_ref()?;
    let warmup = catalog.services.get(&server.entry.service)?.warmup?;
    Some(Limit::warmup(
        warmup.per_second,
        excess.overage,
        excess.slack,
    ))
}
