//! The view: a node's copy of the store, with the catalog, the backend servers, the roll-outs and
//! the nodes that are active on it.
//!
//! Changes arrive from the node's own watch, from full reads and from peers, in any order. Each key
//! keeps the change with the highest position; older ones are ignored. What orders some keys besides,
//! since the store may come back from a copy, is in `view/change.rs`.

mod change;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::lease_expiry::Outage;
use fescuerack_core::gateway::position::Position;
use fescuerack_core::gateway::rank::Instance;
use fescuerack_core::membership::Membership;
use fescuerack_core::route::leaving::LeavingServers;
use serde::{Deserialize, Serialize};

use crate::arrival::ChangeKind;
use crate::catalog::Catalog;
use crate::entry::{NODES, Peer};
use crate::large::{LargeItems, Notice};
use crate::platform::{Change, Item, Platform, Progress, Rollout};
use crate::server::Server;

/// Maximum number of items in an answer to a node that follows this one, some hundred kilobytes.
const MAX_BATCH: usize = 512;
/// Milliseconds for which nodes stay listed whose entries the store has lost. They write them again
/// at once.
const NODE_KEPT_MS: u64 = 4_000;
/// The same for all else: backend servers and operators write within seconds.
const ITEM_KEPT_MS: u64 = 5_000;
/// Maximum number of tombstones, which pass the removal of keys on to peers. Above it, only about
/// the newest half of this number is kept.
const MAX_TOMBSTONES: usize = 512;

/// An ordered roll-out and its state on this node.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// What was ordered.
    pub rollout: Rollout,
    /// Revision of the order in the store. It distinguishes orders for the same version.
    pub order_revision: Position,
    /// When the order was given: the earliest time that this node or a peer has recorded. A node
    /// that starts during a roll-out receives the order late.
    pub ordered_at: Instant,
    /// Progress according to the record in the store.
    pub progress: Option<Progress>,
    /// Progress that the store's record states. It differs if the store has lost the last record.
    pub recorded: Option<Progress>,
    /// Position of that record; the origin if there is none.
    pub record_revision: Position,
    /// Whether this node has halted it because of its own evidence.
    pub is_halted: bool,
}

/// The view of one node.
#[derive(Debug, Default)]
pub struct View {
    /// Active configuration.
    pub catalog: Option<Arc<Catalog>>,
    /// Backend servers by identifier.
    pub servers: HashMap<Arc<str>, Server>,
    /// Roll-outs by service.
    pub orders: BTreeMap<Arc<str>, Order>,
    /// The entries of all members by name, including this node once it has received its own entry.
    pub nodes: BTreeMap<String, Peer>,
    /// Who is there, by the same names.
    pub membership: Membership,
    /// Evacuated availability zones, whose servers get no requests, and when this node received the
    /// order.
    pub evacuated: BTreeMap<Arc<str>, Instant>,
    /// Starts of servers that have stated in an answer that they are about to stop, by
    /// [`Server::leaving_key`].
    pub leaving: LeavingServers,
    /// Outages of the store.
    pub outage: Outage,
    /// Revision up to which the store was followed without a gap. Items that were received from
    /// peers or written by this node do not advance it, since changes before them may be missing.
    pub revision: Position,
    /// Large items, for which nodes exchange notices.
    pub large: LargeItems,
    /// Number of changes so far that were applied, from wherever.
    pub applied: u64,
    /// Number of entries so far that could not be decoded.
    pub unreadable: u64,
    /// Changes that became active since the last [`take_activated`](Self::take_activated).
    activated: Vec<(ChangeKind, Position)>,
    /// Addresses at which a server restarted, for [`take_restarted`](Self::take_restarted).
    restarted: Vec<SocketAddr>,
    /// Last change of each key. A removed key has an item without a value, its tombstone.
    items: HashMap<String, Item>,
    /// Tombstones of revisions before this one were dropped.
    pruned_before: Position,
    /// Revisions before and of the last full read. Removals between them are unknown.
    gap: (Position, Position),
    /// When this node entered the era of the store that it follows.
    era_since: Instant,
}

/// Up to where a view is complete, and which removals it does not know.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completeness {
    /// Revision up to which the store was followed.
    pub revision: Position,
    /// Tombstones of revisions before this one were dropped.
    pub pruned_before: Position,
    /// Removals between these revisions are unknown.
    pub gap: (Position, Position),
}

impl View {
    /// Whether the node has the whole state, with a configuration, so that requests can be routed.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.has_state() && self.catalog.is_some()
    }

    /// Whether the node has read the store or received a snapshot of it.
    #[must_use]
    pub const fn has_state(&self) -> bool {
        !self.revision.is_origin()
    }

    /// Decodes and applies an item. Returns whether it is newer than the previous one of its key.
    pub fn apply(&mut self, now: Instant, platform: &dyn Platform, item: &Item) -> bool {
        if item.revision <= self.revision_of(&item.key) {
            return false;
        }
        self.apply_change(now, item, platform.decode_item(item))
    }

    /// Applies an item that was decoded to `change`. Returns whether it is newer than the previous
    /// one of its key.
    pub fn apply_change(&mut self, now: Instant, item: &Item, change: Change) -> bool {
        if item.revision <= self.revision_of(&item.key) {
            return false;
        }
        if self.is_outdated(item, &change) {
            return false;
        }
        self.applied += 1;
        self.activated.push((change.kind(), item.revision));
        let before = self.items.insert(item.key.clone(), item.clone());
        self.large.record_item(before, item);
        self.apply_decoded(now, change, item);
        true
    }

    /// Ends a full read of the store as of `revision`, whose items were applied: keys other than the
    /// `listed` ones are removed, except those that changed after `revision`.
    ///
    /// A key that was created and removed between the former state and this read left no trace
    /// here, so nodes that have followed the store to a revision in between must not follow this
    /// node.
    ///
    /// Keys of an earlier era stay for a while: the store has lost what was written last, and their
    /// writers write it again.
    pub fn finish_read(
        &mut self,
        now: Instant,
        platform: &dyn Platform,
        listed: &HashSet<String>,
        revision: Position,
    ) {
        let missing: Vec<String> = self
            .items
            .values()
            .filter(|item| item.value.is_some() && item.revision <= revision)
            .filter(|item| item.revision.era() == revision.era())
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
        self.gap = (self.revision, revision.max(self.revision));
        self.advance(now, revision);
    }

    /// Records that the store was followed up to `revision`.
    pub fn advance(&mut self, now: Instant, revision: Position) {
        if revision.era() > self.revision.era() {
            self.era_since = now;
        }
        self.revision = self.revision.max(revision);
    }

    /// Removes what the store has not had since it came back from a copy, once its writers have had
    /// the time to write it again.
    fn drop_earlier_eras(&mut self, now: Instant, platform: &dyn Platform) {
        let entered = self.revision;
        let is_due = |key: &str| {
            let is_node = key.starts_with(NODES);
            let kept_ms = if is_node { NODE_KEPT_MS } else { ITEM_KEPT_MS };
            now >= self.era_since.plus_millis(kept_ms)
        };
        let earlier: Vec<String> = self
            .items
            .values()
            .filter(|item| item.value.is_some() && item.revision.era() < entered.era())
            .filter(|item| is_due(&item.key))
            .map(|item| item.key.clone())
            .collect();
        for key in earlier {
            let removed = Item {
                key,
                value: None,
                revision: entered,
            };
            let change = platform.decode_item(&removed);
            if change.is_removal_of_others() {
                tracing::info!(event = "not-written-again", key = removed.key);
                self.apply_change(now, &removed, change);
            }
        }
    }

    /// Ends the transfer of a snapshot, whose items were applied. The first snapshot makes this node
    /// as complete as the one that sent it.
    pub fn finish_snapshot(
        &mut self,
        now: Instant,
        platform: &dyn Platform,
        listed: &HashSet<String>,
        completeness: Completeness,
    ) {
        let is_first = !self.has_state();
        self.finish_read(now, platform, listed, completeness.revision);
        self.pruned_before = self.pruned_before.max(completeness.pruned_before);
        if is_first {
            self.gap = completeness.gap;
        }
    }

    /// Returns what is known of all changes up to now.
    #[must_use]
    pub const fn completeness(&self) -> Completeness {
        Completeness {
            revision: self.revision,
            pruned_before: self.pruned_before,
            gap: self.gap,
        }
    }

    /// Returns all items, including tombstones, in the order of their keys, as the store lists them.
    ///
    /// A node must apply them in this order: the record of a roll-out is ignored before its order.
    #[must_use]
    pub fn all_items(&self) -> Vec<Item> {
        let mut items: Vec<Item> = self.items.values().cloned().collect();
        items.sort_unstable_by(|left, right| left.key.cmp(&right.key));
        items
    }

    /// Whether [`items_since`](Self::items_since) returns every change after `revision`.
    #[must_use]
    pub fn has_changes_since(&self, revision: Position) -> bool {
        if revision.era() < self.revision.era() && !revision.is_origin() {
            // All that this node has of its era is after that.
            return true;
        }
        let is_in_gap = revision > self.gap.0 && revision < self.gap.1;
        revision >= self.pruned_before && !is_in_gap
    }

    /// Returns the item of `key`, if its revision is at least `min_revision` and it was not removed.
    #[must_use]
    pub fn item(&self, key: &str, min_revision: Position) -> Option<&Item> {
        let item = self.items.get(key)?;
        (item.revision >= min_revision && item.value.is_some()).then_some(item)
    }

    /// Returns the revision of the last change of `key` on this node; zero if there is none.
    #[must_use]
    pub fn revision_of(&self, key: &str) -> Position {
        self.items
            .get(key)
            .map_or(Position::ORIGIN, |item| item.revision)
    }

    /// Returns the value that `key` has or had at `revision`, if it is still kept.
    #[must_use]
    pub fn value_at(&self, key: &str, revision: Position) -> Option<&str> {
        let item = self.items.get(key)?;
        if item.revision == revision {
            return item.value.as_deref();
        }
        self.large.former_value(key, revision)
    }

    /// Records a notice of a large item from the node at `peer`. Returns whether it announces a
    /// newer revision than all before.
    pub fn record_notice(&mut self, now: Instant, notice: &Notice, peer: SocketAddr) -> bool {
        let known = self.revision_of(&notice.key);
        self.large.record_notice(now, notice, known, peer)
    }

    /// Returns the small items that changed after `revision`, and notices of the large ones.
    #[must_use]
    pub fn updates_since(&self, revision: Position) -> (Vec<Item>, Vec<Notice>) {
        let items = self.small_since(revision);
        (
            items.into_iter().cloned().collect(),
            self.large.notices_since(revision),
        )
    }

    /// Returns the first changes after `revision`, `MAX_BATCH` small items at most, with the
    /// revision up to which they are complete.
    ///
    /// The nodes that follow this one may all be far behind, as after an outage. Answers with all
    /// changes since would fill this node's memory.
    #[must_use]
    pub fn batch_since(&self, revision: Position) -> (Vec<Item>, Vec<Notice>, Position) {
        let mut items = self.small_since(revision);
        let mut notices = self.large.notices_since(revision);
        let mut until = self.revision;
        if items.len() > MAX_BATCH {
            items.truncate(MAX_BATCH);
            let last = items.last().map_or(until, |item| item.revision);
            notices.retain(|notice| notice.revision <= last);
            // Changes before an item that came from a peer may be missing here.
            until = until.min(last);
        }
        (items.into_iter().cloned().collect(), notices, until)
    }

    /// Returns the small items that changed after `revision`, in order.
    fn small_since(&self, revision: Position) -> Vec<&Item> {
        let changed = self.items.values().filter(|item| item.revision > revision);
        let mut small: Vec<&Item> = changed
            .filter(|item| !self.large.has_large(&item.key))
            .collect();
        small.sort_by_key(|item| item.revision);
        small
    }

    /// Returns all items that changed after `revision`, including the large ones.
    #[must_use]
    pub fn items_since(&self, revision: Position) -> Vec<Item> {
        let mut items: Vec<Item> = self
            .items
            .values()
            .filter(|item| item.revision > revision)
            .cloned()
            .collect();
        items.sort_by_key(|item| item.revision);
        items
    }

    /// Ends the warm-up of servers whose warm-up time is over, drops the servers whose entries were
    /// removed shortly after an outage of the store and not restored in time, and prunes the
    /// tombstones. Returns the number of dropped servers.
    pub fn sweep(&mut self, now: Instant, platform: &dyn Platform) -> usize {
        self.drop_earlier_eras(now, platform);
        for server in self.servers.values_mut() {
            server.expire_cold(now);
        }
        let before = self.servers.len();
        self.servers
            .retain(|_, server| server.expires_at.is_none_or(|expires_at| now < expires_at));
        self.drop_tombstones();
        before - self.servers.len()
    }

    /// Returns all nodes by their entries.
    pub fn instances(&self) -> impl Iterator<Item = Instance<'_>> {
        self.nodes.iter().map(|(name, peer)| Instance {
            name,
            zone: &peer.zone,
            link_mbps: peer.link_mbps,
        })
    }

    /// Records whether the store confirms the list of nodes to this node, `local`, and drops the
    /// nodes that are no members any more.
    pub fn observe_members(&mut self, now: Instant, local: &str, is_confirmed: bool) {
        for name in self.membership.observe(now, local, is_confirmed) {
            tracing::info!(event = "member-gone", instance = name);
            self.nodes.remove(&name);
        }
    }

    fn drop_tombstones(&mut self) {
        let removed = self.items.values().filter(|item| item.value.is_none());
        let mut revisions: Vec<Position> = removed.map(|item| item.revision).collect();
        if revisions.len() <= MAX_TOMBSTONES {
            return;
        }
        revisions.sort_unstable();
        let oldest = revisions[revisions.len() - MAX_TOMBSTONES / 2];
        self.pruned_before = oldest;
        self.items
            .retain(|_, item| item.value.is_some() || item.revision >= oldest);
    }

    /// Returns the kind and revision of each change that became active since the last call.
    pub fn take_activated(&mut self) -> Vec<(ChangeKind, Position)> {
        std::mem::take(&mut self.activated)
    }

    /// Returns the addresses at which a server has restarted since the last call. Connections to
    /// its earlier process are dead.
    pub fn take_restarted(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.restarted)
    }
}
