//! The effects of decoded changes on a view.
//!
//! Positions order the changes of a key. When the store has come back from a copy, its newest changes
//! are older than what a node knew. What orders each kind of key then:
//!
//! | key | order | the copy lacks it |
//! | --- | --- | --- |
//! | configuration | its version; a lower one is ignored | stays |
//! | backend server | the position; one that leaves never returns in the same start | stays for seconds, then goes |
//! | node | the position | stays for seconds, then goes |
//! | order of a roll-out | the position; the same order of a later era is the same roll-out | stays for seconds, then goes |
//! | record of a roll-out | the progress within one order; it never goes back | a node writes it again |
//! | evacuation | the position | stays for seconds, then ends |

use std::sync::Arc;

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::position::Position;

use super::{Order, View};
use crate::catalog::Catalog;
use crate::entry::{NODES, Peer};
use crate::platform::{Change, Item, Progress, Rollout, ServerEntry, ServerState};
use crate::server::Server;

impl View {
    /// Whether a change is older than what is active, though its position is later: it comes from a
    /// copy of the store.
    pub(super) fn is_outdated(&mut self, item: &Item, change: &Change) -> bool {
        let Change::Catalog(catalog) = change else {
            return false;
        };
        let active = self
            .catalog
            .as_ref()
            .map_or(0, |active| active.config_version);
        if catalog.config_version >= active {
            return false;
        }
        tracing::info!(
            event = "older-configuration",
            version = catalog.config_version,
            active,
            revision = %item.revision
        );
        self.large.reject(&item.key, item.revision);
        true
    }

    pub(super) fn apply_decoded(&mut self, now: Instant, change: Change, item: &Item) {
        match change {
            Change::Catalog(catalog) => self.apply_catalog(catalog),
            Change::Server(entry) => self.apply_server(now, entry, item.revision),
            Change::ServerGone(id) => self.remove_server(now, &id),
            Change::ServerUnreadable(id, reason) => {
                self.record_unreadable(item, &reason);
                // The server may still run, but its service and version are unknown: the new entry
                // may state others than the previous one.
                self.servers.remove(&id);
            }
            Change::Rollout(rollout) => self.apply_rollout(now, rollout, item.revision),
            Change::RolloutGone(service) => {
                self.orders.remove(&service);
                tracing::info!(
                    event = "rollout-withdrawn",
                    service = &*service,
                    revision = %item.revision
                );
            }
            Change::RolloutRecord(record) => {
                if let Some(order) = self.orders.get_mut(&record.service) {
                    order.record_revision = item.revision;
                    let is_over = order.progress.is_some_and(Progress::is_over);
                    if order.rollout.version == record.version && !is_over {
                        order.progress = Some(record.progress);
                    }
                    if order.rollout.version == record.version {
                        order.recorded = Some(record.progress);
                    }
                    tracing::info!(
                        event = "rollout-progress",
                        service = &*record.service,
                        version = &*record.version,
                        progress = ?record.progress,
                        revision = %item.revision
                    );
                }
            }
            Change::RolloutRecordGone(service) => {
                if let Some(order) = self.orders.get_mut(&service) {
                    order.recorded = None;
                    if !order.progress.is_some_and(Progress::is_over) {
                        order.progress = None;
                    }
                    order.record_revision = Position::ORIGIN;
                }
            }
            Change::Evacuation { zone, is_ordered } => {
                self.apply_evacuation(now, zone, is_ordered, item.revision);
            }
            Change::Internal => self.apply_node_entry(now, item),
            Change::Unreadable(reason) => self.record_unreadable(item, &reason),
        }
    }

    fn record_unreadable(&mut self, item: &Item, reason: &str) {
        self.unreadable += 1;
        tracing::error!(
            event = "unreadable-item",
            key = item.key,
            revision = %item.revision,
            reason
        );
    }

    fn apply_catalog(&mut self, catalog: Arc<Catalog>) {
        let before = self
            .catalog
            .as_ref()
            .map_or(0, |previous| previous.config_version);
        tracing::info!(
            event = "configuration",
            version = catalog.config_version,
            before,
            routes = catalog.routes.len(),
            organisations = catalog.organisations.len()
        );
        self.catalog = Some(catalog);
    }

    fn apply_server(&mut self, now: Instant, entry: ServerEntry, revision: Position) {
        // The servers of the first read are logged as one number.
        if self.has_state() {
            tracing::info!(
                event = "server",
                server = &*entry.id,
                service = &*entry.service,
                version = &*entry.version,
                state = ?entry.state
            );
        }
        if let Some(server) = self.servers.get_mut(&entry.id) {
            if server.entry.started_ms == entry.started_ms {
                if server.entry.state == ServerState::Draining {
                    // The entry of a copy may be older.
                    server.is_leaving = true;
                }
                server.update(now, entry, revision);
                return;
            }
            tracing::info!(
                event = "server-restarted",
                server = &*entry.id,
                before_ms = server.entry.started_ms,
                started_ms = entry.started_ms,
                running = server.running
            );
            self.restarted.push(server.entry.address);
        }
        let warmup_ms = self
            .catalog
            .as_ref()
            .map_or(0, |catalog| catalog.warmup_ms(&entry.service));
        let mut server = Server::new(now, entry, warmup_ms);
        // An entry that vanished in an outage of the store returns as it was.
        server.is_leaving = self.leaving.is_leaving(&server.leaving_key());
        self.servers.insert(server.entry.id.clone(), server);
    }

    /// Applies an order to evacuate `zone`, or its withdrawal. The servers of a returned zone may
    /// have gone cold in the meantime, and their entries state it only a moment later.
    fn apply_evacuation(
        &mut self,
        now: Instant,
        zone: Arc<str>,
        is_ordered: bool,
        revision: Position,
    ) {
        if is_ordered {
            tracing::info!(event = "zone-evacuated", zone = &*zone, revision = %revision);
            self.evacuated.entry(zone).or_insert(now);
            return;
        }
        if self.evacuated.remove(&zone).is_none() {
            return;
        }
        tracing::info!(event = "zone-returned", zone = &*zone, revision = %revision);
        let Some(catalog) = &self.catalog else {
            return;
        };
        let servers = self.servers.values_mut();
        for server in servers.filter(|server| server.entry.zone == zone) {
            let warmup_ms = catalog.warmup_ms(&server.entry.service);
            server.mark_cold(now, warmup_ms, revision);
        }
    }

    fn remove_server(&mut self, now: Instant, id: &str) {
        let hold_until = self.outage.hold_until(now);
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let is_draining = server.entry.state == ServerState::Draining;
        tracing::info!(
            event = "server-gone",
            server = id,
            held_s = hold_until.map(|until| until.since(now).as_secs_f64())
        );
        match hold_until {
            Some(until) if !is_draining => server.expires_at = Some(until),
            _ => {
                self.servers.remove(id);
            }
        }
    }

    fn apply_rollout(&mut self, now: Instant, rollout: Rollout, order_revision: Position) {
        if let Some(known) = self.orders.get_mut(&rollout.service)
            && known.rollout == rollout
            && known.order_revision.era() < order_revision.era()
        {
            // The store has come back with it, or its operator has written it again.
            known.order_revision = order_revision;
            known.record_revision = Position::ORIGIN;
            known.recorded = None;
            return;
        }
        tracing::info!(
            event = "rollout-ordered",
            service = &*rollout.service,
            version = &*rollout.version,
            within_ms = rollout.within_ms
        );
        let record_revision = self
            .orders
            .get(&rollout.service)
            .map_or(Position::ORIGIN, |previous| previous.record_revision);
        let order = Order {
            order_revision,
            ordered_at: now,
            progress: None,
            recorded: None,
            record_revision,
            is_halted: false,
            rollout,
        };
        self.orders.insert(order.rollout.service.clone(), order);
    }

    fn apply_node_entry(&mut self, now: Instant, item: &Item) {
        let Some(name) = item.key.strip_prefix(NODES) else {
            return;
        };
        let peer = item.value.as_deref().and_then(Peer::new);
        let Some(peer) = peer else {
            self.membership.unlist(now, name);
            return;
        };
        self.membership.list(now, name);
        self.nodes.insert(name.to_owned(), peer);
    }
}
