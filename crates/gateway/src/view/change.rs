//! The effects of decoded changes on a view.

use std::sync::Arc;

use fescuerack_core::clock::Instant;

use super::{Order, View};
use crate::catalog::Catalog;
use crate::entry::{NODES, Peer};
use crate::platform::{Change, Item, Rollout, ServerEntry, ServerState};
use crate::server::Server;

impl View {
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
                    revision = item.revision
                );
            }
            Change::RolloutRecord(record) => {
                if let Some(order) = self.orders.get_mut(&record.service) {
                    order.record_revision = item.revision;
                    if order.rollout.version == record.version {
                        order.progress = Some(record.progress);
                    }
                    tracing::info!(
                        event = "rollout-progress",
                        service = &*record.service,
                        version = &*record.version,
                        progress = ?record.progress,
                        revision = item.revision
                    );
                }
            }
            Change::RolloutRecordGone(service) => {
                if let Some(order) = self.orders.get_mut(&service) {
                    order.progress = None;
                    order.record_revision = 0;
                }
            }
            Change::Evacuation { zone, is_ordered } => {
                self.apply_evacuation(now, zone, is_ordered, item.revision);
            }
            Change::Internal => self.apply_node_entry(item),
            Change::Unreadable(reason) => self.record_unreadable(item, &reason),
        }
    }

    fn record_unreadable(&mut self, item: &Item, reason: &str) {
        self.unreadable += 1;
        tracing::error!(
            event = "unreadable-item",
            key = item.key,
            revision = item.revision,
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

    fn apply_server(&mut self, now: Instant, entry: ServerEntry, revision: u64) {
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
    fn apply_evacuation(&mut self, now: Instant, zone: Arc<str>, is_ordered: bool, revision: u64) {
        if is_ordered {
            tracing::info!(event = "zone-evacuated", zone = &*zone, revision);
            self.evacuated.entry(zone).or_insert(now);
            return;
        }
        if self.evacuated.remove(&zone).is_none() {
            return;
        }
        tracing::info!(event = "zone-returned", zone = &*zone, revision);
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

    fn apply_rollout(&mut self, now: Instant, rollout: Rollout, order_revision: u64) {
        tracing::info!(
            event = "rollout-ordered",
            service = &*rollout.service,
            version = &*rollout.version,
            within_ms = rollout.within_ms
        );
        let record_revision = self
            .orders
            .get(&rollout.service)
            .map_or(0, |previous| previous.record_revision);
        let order = Order {
            order_revision,
            ordered_at: now,
            progress: None,
            record_revision,
            is_halted: false,
            rollout,
        };
        self.orders.insert(order.rollout.service.clone(), order);
    }

    fn apply_node_entry(&mut self, item: &Item) {
        let Some(name) = item.key.strip_prefix(NODES) else {
            return;
        };
        let peer = item.value.as_deref().and_then(Peer::new);
        match peer {
            Some(peer) => self.nodes.insert(name.to_owned(), peer),
            None => self.nodes.remove(name),
        };
    }
}
