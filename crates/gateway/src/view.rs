//! What a node knows to be in force: catalog, backend servers, roll-outs, nodes.
//!
//! The view follows the store by revisions and each key only moves forward, from
//! wherever a change is heard: the node's own watch, a full read or a peer.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use fescuerack_core::clock::Instant;
use fescuerack_core::routed::lease_expiry::Outage;
use fescuerack_core::routed::rank::Instance;

use crate::arrival::ChangeKind;
use crate::catalog::Catalog;
use crate::entry::{NODES, Peer};
use crate::large::{Large, Notice};
use crate::platform::{Change, Item, Platform, Progress, Rollout, ServerEntry, ServerState};
use crate::server::Server;

/// Items of removed keys that are remembered so that peers hear of the removal.
const REMOVED: usize = 512;

/// A roll-out as this node sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// What was ordered.
    pub rollout: Rollout,
    /// Revision of the order in the store: the same version may be ordered again.
    pub ordered: u64,
    /// When the order was given, as far as this node or a peer knows: a node that starts
    /// while a roll-out runs hears of the order late.
    pub given: Instant,
    /// How far it is, as far as the store says.
    pub progress: Option<Progress>,
    /// Revision of the record of its progress; zero if there is none.
    pub revision: u64,
    /// Whether this node has halted it on its own evidence.
    pub is_halted: bool,
}

/// The view.
#[derive(Debug, Default)]
pub struct View {
    /// Configuration in force.
    pub catalog: Option<Arc<Catalog>>,
    /// Backend servers by identifier.
    pub servers: HashMap<Arc<str>, Server>,
    /// Roll-outs by service.
    pub orders: BTreeMap<Arc<str>, Order>,
    /// All nodes by name, this one included once it has heard of its own entry.
    pub nodes: BTreeMap<String, Peer>,
    /// Availability zones whose servers are to get nothing, and since when this node knows.
    pub evacuated: BTreeMap<Arc<str>, Instant>,
    /// Outages of the store.
    pub outage: Outage,
    /// Revision up to which the store was followed without a gap. Items that were
    /// heard of from peers or written here do not move it: what lies between is
    /// still to be heard.
    pub revision: u64,
    /// Items that nodes tell each other by notices.
    pub large: Large,
    /// Entries that could not be read so far.
    pub unreadable: u64,
    /// What came in force since the last [`take_fresh`](Self::take_fresh).
    fresh: Vec<(ChangeKind, u64)>,
    /// Addresses at which a server started again, for [`take_restarted`](Self::take_restarted).
    restarted: Vec<SocketAddr>,
    items: HashMap<String, Item>,
    /// Highest revision of a removal that is no longer remembered.
    forgotten: u64,
}

impl View {
    /// Whether requests can be routed.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.catalog.is_some()
    }

    /// Takes in one item; returns whether it was news.
    pub fn apply(&mut self, now: Instant, platform: &dyn Platform, item: &Item) -> bool {
        if item.revision <= self.revision_of(&item.key) {
            return false;
        }
        self.apply_change(now, item, platform.decode_item(item))
    }

    /// Takes in one item and what it means; returns whether it was news.
    pub fn apply_change(&mut self, now: Instant, item: &Item, change: Change) -> bool {
        if item.revision <= self.revision_of(&item.key) {
            return false;
        }
        self.fresh.push((change.kind(), item.revision));
        let before = self.items.insert(item.key.clone(), item.clone());
        self.large.note(before, item);
        self.take(now, change, item);
        true
    }

    /// Takes in a whole read of the store as of `revision`: keys that it lacks are
    /// removed.
    pub fn replace(
        &mut self,
        now: Instant,
        platform: &dyn Platform,
        items: &[Item],
        revision: u64,
    ) {
        let listed: std::collections::HashSet<&str> =
            items.iter().map(|item| item.key.as_str()).collect();
        let missing: Vec<String> = self
            .items
            .values()
            .filter(|item| item.value.is_some() && item.revision <= revision)
            .filter(|item| !listed.contains(item.key.as_str()))
            .map(|item| item.key.clone())
            .collect();
        for key in missing {
            let removed = Item {
                key,
                value: None,
                revision,
            };
            self.apply(now, platform, &removed);
        }
        for item in items {
            self.apply(now, platform, item);
        }
        self.revision = self.revision.max(revision);
    }

    /// Whether [`since`](Self::since) tells every change after `revision`.
    #[must_use]
    pub const fn remembers(&self, revision: u64) -> bool {
        revision >= self.forgotten
    }

    /// The item at `key`, if its revision is `least` or newer and it was not removed.
    #[must_use]
    pub fn item(&self, key: &str, least: u64) -> Option<&Item> {
        let item = self.items.get(key)?;
        (item.revision >= least && item.value.is_some()).then_some(item)
    }

    /// Revision of the last change of `key` that is in force here; zero if there is none.
    #[must_use]
    pub fn revision_of(&self, key: &str) -> u64 {
        self.items.get(key).map_or(0, |item| item.revision)
    }

    /// The value that `key` has or had at `revision`, if it is still known.
    #[must_use]
    pub fn value(&self, key: &str, revision: u64) -> Option<&str> {
        let item = self.items.get(key)?;
        if item.revision == revision {
            return item.value.as_deref();
        }
        self.large.former(key, revision)
    }

    /// Takes in that a large item has changed, as a peer at `teller` says; returns whether
    /// it is news.
    pub fn hear_large(&mut self, now: Instant, notice: &Notice, teller: SocketAddr) -> bool {
        let known = self.revision_of(&notice.key);
        self.large.hear(now, notice, known, teller)
    }

    /// Returns the small items that changed after `revision`, and notices of the large ones.
    #[must_use]
    pub fn news_since(&self, revision: u64) -> (Vec<Item>, Vec<Notice>) {
        let notices = self.large.since(revision);
        let changed = self.items.values().filter(|item| item.revision > revision);
        let small = changed.filter(|item| !self.large.holds(&item.key));
        let mut items: Vec<Item> = small.cloned().collect();
        items.sort_by_key(|item| item.revision);
        (items, notices)
    }

    /// Returns the items that changed after `revision`.
    #[must_use]
    pub fn since(&self, revision: u64) -> Vec<Item> {
        let mut items: Vec<Item> = self
            .items
            .values()
            .filter(|item| item.revision > revision)
            .cloned()
            .collect();
        items.sort_by_key(|item| item.revision);
        items
    }

    /// Drops servers whose entries have not come back; returns their number.
    pub fn sweep(&mut self, now: Instant) -> usize {
        for server in self.servers.values_mut() {
            server.expire_cold(now);
        }
        let before = self.servers.len();
        self.servers
            .retain(|_, server| server.expires_at.is_none_or(|expires_at| now < expires_at));
        self.forget_removed();
        before - self.servers.len()
    }

    /// All nodes as they have entered themselves.
    pub fn instances(&self) -> impl Iterator<Item = Instance<'_>> {
        self.nodes.iter().map(|(name, peer)| Instance {
            name,
            zone: &peer.zone,
            link_mbps: peer.link_mbps,
        })
    }

    /// Number of nodes, this one included.
    #[must_use]
    pub fn node_count(&self) -> usize {
        self.nodes.len().max(1)
    }

    fn forget_removed(&mut self) {
        let removed = self.items.values().filter(|item| item.value.is_none());
        let mut revisions: Vec<u64> = removed.map(|item| item.revision).collect();
        if revisions.len() <= REMOVED {
            return;
        }
        revisions.sort_unstable();
        let oldest = revisions[revisions.len() - REMOVED / 2];
        self.forgotten = oldest;
        self.items
            .retain(|_, item| item.value.is_some() || item.revision >= oldest);
    }

    fn take(&mut self, now: Instant, change: Change, item: &Item) {
        match change {
            Change::Catalog(catalog) => self.take_catalog(catalog),
            Change::Server(listed) => self.take_server(now, listed, item.revision),
            Change::ServerGone(id) => self.lose_server(now, &id),
            Change::ServerUnreadable(id, reason) => {
                self.note_unreadable(item, &reason);
                // The server may still run, but nothing says as what: what it was before is not
                // what the entry says now.
                self.servers.remove(&id);
            }
            Change::Rollout(rollout) => self.take_rollout(now, rollout, item.revision),
            Change::RolloutGone(service) => {
                self.orders.remove(&service);
                tracing::info!(
                    event = "rollout-withdrawn",
                    service = &*service,
                    revision = item.revision
                );
            }
            Change::RolloutStatus(status) => {
                if let Some(order) = self.orders.get_mut(&status.service) {
                    order.revision = item.revision;
                    if order.rollout.version == status.version {
                        order.progress = Some(status.progress);
                    }
                    tracing::info!(
                        event = "rollout-progress",
                        service = &*status.service,
                        version = &*status.version,
                        progress = ?status.progress,
                        revision = item.revision
                    );
                }
            }
            Change::RolloutStatusGone(service) => {
                if let Some(order) = self.orders.get_mut(&service) {
                    order.progress = None;
                    order.revision = 0;
                }
            }
            Change::Evacuation { zone, is_ordered } => {
                self.take_evacuation(now, zone, is_ordered, item.revision);
            }
            Change::Internal => self.take_own(item),
            Change::Unreadable(reason) => self.note_unreadable(item, &reason),
        }
    }

    fn note_unreadable(&mut self, item: &Item, reason: &str) {
        self.unreadable += 1;
        tracing::error!(
            event = "unreadable-item",
            key = item.key,
            revision = item.revision,
            reason
        );
    }

    /// Returns what has come in force since the last call, with its revision.
    pub fn take_fresh(&mut self) -> Vec<(ChangeKind, u64)> {
        std::mem::take(&mut self.fresh)
    }

    /// Returns the addresses at which a server has started again since the last call:
    /// connections from before lead nowhere.
    pub fn take_restarted(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.restarted)
    }

    fn take_catalog(&mut self, catalog: Arc<Catalog>) {
        let before = self.catalog.as_ref().map_or(0, |known| known.version);
        tracing::info!(
            event = "configuration",
            version = catalog.version,
            before,
            routes = catalog.routes.len(),
            organisations = catalog.organisations.len()
        );
        self.catalog = Some(catalog);
    }

    fn take_server(&mut self, now: Instant, listed: ServerEntry, revision: u64) {
        tracing::info!(
            event = "server",
            server = &*listed.id,
            service = &*listed.service,
            version = &*listed.version,
            state = ?listed.state
        );
        if let Some(known) = self.servers.get_mut(&listed.id) {
            if known.entry.started_ms == listed.started_ms {
                known.update(now, listed, revision);
                return;
            }
            tracing::info!(
                event = "server-restarted",
                server = &*listed.id,
                before_ms = known.entry.started_ms,
                started_ms = listed.started_ms,
                running = known.running
            );
            self.restarted.push(known.entry.address);
        }
        let warmup_ms = self
            .catalog
            .as_ref()
            .map_or(0, |catalog| catalog.warmup_ms(&listed.service));
        let server = Server::new(now, listed, warmup_ms);
        self.servers.insert(server.entry.id.clone(), server);
    }

    /// Takes in an order to evacuate `zone`, or its withdrawal. The servers of a zone that is given
    /// back may have gone cold meanwhile, and their entries tell so a moment later.
    fn take_evacuation(&mut self, now: Instant, zone: Arc<str>, is_ordered: bool, revision: u64) {
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

    fn lose_server(&mut self, now: Instant, id: &str) {
        let held = self.outage.hold_until(now);
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let is_draining = server.entry.state == ServerState::Draining;
        tracing::info!(
            event = "server-gone",
            server = id,
            held_s = held.map(|until| until.since(now).as_secs_f64())
        );
        match held {
            Some(until) if !is_draining => server.expires_at = Some(until),
            _ => {
                self.servers.remove(id);
            }
        }
    }

    fn take_rollout(&mut self, now: Instant, rollout: Rollout, ordered: u64) {
        tracing::info!(
            event = "rollout-ordered",
            service = &*rollout.service,
            version = &*rollout.version,
            within_ms = rollout.within_ms
        );
        let revision = self
            .orders
            .get(&rollout.service)
            .map_or(0, |known| known.revision);
        let order = Order {
            ordered,
            given: now,
            progress: None,
            revision,
            is_halted: false,
            rollout,
        };
        self.orders.insert(order.rollout.service.clone(), order);
    }

    fn take_own(&mut self, item: &Item) {
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
