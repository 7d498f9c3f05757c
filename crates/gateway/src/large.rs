//! Items that are too large to be told with others.
//!
//! The pattern: an operator adds a thousand routes, and every node of an availability zone asks
//! the same two watchers. Told whole and at once, the copies fill a watcher's link for ten
//! seconds, and whatever else it has to tell waits behind them: a server that leaves, a key
//! that is taken away, the next configuration.
//!
//! So nodes tell each other small items themselves, and of a large one a [`Notice`]: key, revision
//! and digest. Whoever lacks it [fetches](crate::fetch) the [`difference`]
//! from the value that it has, beside everything else. Values from before are kept
//! for that, four of each key.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

use fescuerack_core::clock::Instant;
use serde::{Deserialize, Serialize};

use crate::difference;
use crate::platform::Item;

/// Bytes of a value from which on it is large: what a link of 10 Mbit/s carries in 6 ms. Entries
/// of servers and nodes are some hundred bytes.
pub const LARGE: usize = 8_192;
/// Values of a key from before the one in force that are kept. Nodes ask within seconds of a
/// change, and operators make a few in that time; with values of a megabyte at most this is 4 MB.
const FORMER: usize = 4;

/// Whether the value of `item` is large.
#[must_use]
pub fn is_large(item: &Item) -> bool {
    item.value
        .as_ref()
        .is_some_and(|value| value.len() >= LARGE)
}

/// Says that a large item has changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Key.
    pub key: String,
    /// Revision of its last change.
    pub revision: u64,
    /// Bytes of the value.
    pub length: usize,
    /// Digest of the value.
    pub digest: u64,
}

impl Notice {
    /// Creates the notice of `item`, unless it is small.
    #[must_use]
    pub fn new(item: &Item) -> Option<Self> {
        let value = item.value.as_ref().filter(|_| is_large(item))?;
        Some(Self {
            key: item.key.clone(),
            revision: item.revision,
            length: value.len(),
            digest: difference::digest(value),
        })
    }
}

/// A large item that this node knows of and does not have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Awaited {
    /// What is missing.
    pub notice: Notice,
    /// Node that told of it.
    pub teller: SocketAddr,
    /// When this node first heard that its value is old.
    pub since: Instant,
}

/// The large items of a view.
#[derive(Debug, Default)]
pub struct Large {
    held: BTreeMap<String, Notice>,
    awaited: BTreeMap<String, Awaited>,
    former: HashMap<String, VecDeque<Item>>,
}

impl Large {
    /// Takes in that `item` is in force in place of `before`.
    pub fn note(&mut self, before: Option<Item>, item: &Item) {
        let is_here = |awaited: &Awaited| awaited.notice.revision <= item.revision;
        if self.awaited.get(&item.key).is_some_and(is_here) {
            self.awaited.remove(&item.key);
        }
        match Notice::new(item) {
            Some(notice) => self.held.insert(item.key.clone(), notice),
            None => self.held.remove(&item.key),
        };
        if let Some(before) = before.filter(is_large) {
            let former = self.former.entry(before.key.clone()).or_default();
            former.push_front(before);
            former.truncate(FORMER);
        }
    }

    /// Takes in what a peer at `teller` says has changed; `known` is the revision of the key
    /// that this node has. Returns whether it is news.
    pub fn hear(&mut self, now: Instant, notice: &Notice, known: u64, teller: SocketAddr) -> bool {
        let awaited = self.awaited.get(&notice.key);
        let heard = awaited.map_or(0, |awaited| awaited.notice.revision);
        if notice.revision <= known.max(heard) {
            return false;
        }
        let awaited = Awaited {
            since: awaited.map_or(now, |awaited| awaited.since),
            notice: notice.clone(),
            teller,
        };
        self.awaited.insert(notice.key.clone(), awaited);
        true
    }

    /// Takes in that `notice` needs nothing more.
    pub fn settle(&mut self, notice: &Notice) {
        let awaited = self.awaited.get(&notice.key);
        if awaited.is_some_and(|awaited| awaited.notice == *notice) {
            self.awaited.remove(&notice.key);
        }
    }

    /// An item that is to be fetched.
    #[must_use]
    pub fn next(&self) -> Option<Awaited> {
        self.awaited.values().next().cloned()
    }

    /// Notices of changes after `revision`, also of those that this node still awaits: whoever
    /// follows it would else take the store as followed without them.
    #[must_use]
    pub fn since(&self, revision: u64) -> Vec<Notice> {
        let awaited = self.awaited.values().map(|awaited| &awaited.notice);
        let held = self.held.values();
        let held = held.filter(|notice| !self.awaited.contains_key(&notice.key));
        let all = held.chain(awaited);
        all.filter(|notice| notice.revision > revision)
            .cloned()
            .collect()
    }

    /// Whether the value of `key` in force here is large.
    #[must_use]
    pub fn holds(&self, key: &str) -> bool {
        self.held.contains_key(key)
    }

    /// The value that `key` had at `revision`, if it is kept.
    #[must_use]
    pub fn former(&self, key: &str, revision: u64) -> Option<&str> {
        let former = self.former.get(key)?;
        let item = former.iter().find(|item| item.revision == revision)?;
        item.value.as_deref()
    }
}
