//! Items that are too large to be sent together with other updates.
//!
//! If an operator adds a thousand routes, every node of an availability zone polls the same two
//! watchers. Sent in full and at once, the copies would saturate a watcher's link for ten seconds
//! and delay all other updates: a server that leaves, an API key that is revoked, the next
//! configuration.
//!
//! Nodes therefore send each other small items in full, and for a large item only a [`Notice`] with
//! its key, revision and digest. A node that lacks the item [fetches](crate::fetch) the
//! [delta](crate::delta) against the value that it has, concurrently with other updates. For this,
//! nodes keep four former values of each key.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::position::Position;
use serde::{Deserialize, Serialize};

use crate::delta_codec;
use crate::platform::Item;

/// Minimum size of a large value in bytes: what a link of 10 Mbit/s transfers in 6 ms. Entries of
/// servers and nodes have a few hundred bytes.
pub const MIN_LARGE_BYTES: usize = 8_192;
/// Maximum number of former values that are kept of a key. Nodes request an item within seconds of a
/// change, and operators make a few changes in that time. Values have a megabyte at most, so these
/// have 4 MB.
const MAX_FORMER: usize = 4;

/// Whether the value of `item` is large.
#[must_use]
pub fn is_large(item: &Item) -> bool {
    item.value
        .as_ref()
        .is_some_and(|value| value.len() >= MIN_LARGE_BYTES)
}

/// Announcement that a large item has changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Key.
    pub key: String,
    /// Revision of its last change.
    pub revision: Position,
    /// Length of the value in bytes.
    pub length: usize,
    /// Digest of the value.
    pub digest: u64,
}

impl Notice {
    /// Creates the notice of `item`; `None` if it is small or was removed.
    #[must_use]
    pub fn new(item: &Item) -> Option<Self> {
        let value = item.value.as_ref().filter(|_| is_large(item))?;
        Some(Self {
            key: item.key.clone(),
            revision: item.revision,
            length: value.len(),
            digest: delta_codec::digest(value),
        })
    }
}

/// A large item of which this node has a notice but not the value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Awaited {
    /// Newest notice of the item.
    pub notice: Notice,
    /// Node that sent the notice.
    pub peer: SocketAddr,
    /// When this node received the first notice of a newer value than its own.
    pub since: Instant,
}

/// The large items of a view.
#[derive(Debug, Default)]
pub struct LargeItems {
    /// Notices of the values that this node has.
    held: BTreeMap<String, Notice>,
    awaited: BTreeMap<String, Awaited>,
    /// Former values, the newest first.
    former: HashMap<String, VecDeque<Item>>,
}

impl LargeItems {
    /// Records that `item` has replaced `before`.
    pub fn record_item(&mut self, before: Option<Item>, item: &Item) {
        let is_received = |awaited: &Awaited| awaited.notice.revision <= item.revision;
        if self.awaited.get(&item.key).is_some_and(is_received) {
            self.awaited.remove(&item.key);
        }
        match Notice::new(item) {
            Some(notice) => self.held.insert(item.key.clone(), notice),
            None => self.held.remove(&item.key),
        };
        if let Some(before) = before.filter(is_large) {
            let former = self.former.entry(before.key.clone()).or_default();
            former.push_front(before);
            former.truncate(MAX_FORMER);
        }
    }

    /// Records a notice from the node at `peer`. `known` is the revision of the key that this node
    /// has. Returns whether the notice announces a newer revision than that and all earlier notices.
    pub fn record_notice(
        &mut self,
        now: Instant,
        notice: &Notice,
        known: Position,
        peer: SocketAddr,
    ) -> bool {
        let awaited = self.awaited.get(&notice.key);
        let announced = awaited.map_or(Position::ORIGIN, |awaited| awaited.notice.revision);
        if notice.revision <= known.max(announced) {
            return false;
        }
        let awaited = Awaited {
            since: awaited.map_or(now, |awaited| awaited.since),
            notice: notice.clone(),
            peer,
        };
        self.awaited.insert(notice.key.clone(), awaited);
        true
    }

    /// Stops awaiting the value of `key` of `revision`, which was not taken.
    pub fn reject(&mut self, key: &str, revision: Position) {
        let awaited = self.awaited.get(key);
        if awaited.is_some_and(|awaited| awaited.notice.revision <= revision) {
            self.awaited.remove(key);
        }
    }

    /// Stops awaiting the item of `notice`, unless a newer notice has replaced it.
    pub fn resolve(&mut self, notice: &Notice) {
        let awaited = self.awaited.get(&notice.key);
        if awaited.is_some_and(|awaited| awaited.notice == *notice) {
            self.awaited.remove(&notice.key);
        }
    }

    /// Returns an item that is to be fetched, if there is one.
    #[must_use]
    pub fn next_awaited(&self) -> Option<Awaited> {
        self.awaited.values().next().cloned()
    }

    /// Returns notices of the changes after `revision`, including those that this node still awaits:
    /// otherwise a node that follows this one would advance its revision without them.
    #[must_use]
    pub fn notices_since(&self, revision: Position) -> Vec<Notice> {
        let awaited = self.awaited.values().map(|awaited| &awaited.notice);
        let held = self.held.values();
        let held = held.filter(|notice| !self.awaited.contains_key(&notice.key));
        let all = held.chain(awaited);
        all.filter(|notice| notice.revision > revision)
            .cloned()
            .collect()
    }

    /// Whether this node has a large value of `key`.
    #[must_use]
    pub fn has_large(&self, key: &str) -> bool {
        self.held.contains_key(key)
    }

    /// Returns the value that `key` had at `revision`, if it is kept as a former one.
    #[must_use]
    pub fn former_value(&self, key: &str, revision: Position) -> Option<&str> {
        let former = self.former.get(key)?;
        let item = former.iter().find(|item| item.revision == revision)?;
        item.value.as_deref()
    }
}
