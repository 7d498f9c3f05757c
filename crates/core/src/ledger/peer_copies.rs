//! Copies of ledger entries that are held for peers.
//!
//! While the store is unavailable or slow, the entries of an instance exist
//! only in its memory and are lost if it is killed right after an answer. When
//! the store does not accept an entry in time, the instance therefore copies it
//! to a peer, in another availability zone if there is one, before the answer
//! ends. The peer holds the copy until the owner reports that the store holds
//! the entry. When the owner has been silent for [`OWNER_TIMEOUT_MS`], the peer
//! writes the entries itself under the same identities. If the owner is alive
//! after all, readers drop the duplicates.

use std::collections::BTreeMap;

use super::{Entry, Ticket};
use crate::clock::Instant;

/// Milliseconds without a message after which an owner counts as gone. An owner
/// sends a message every second while a peer holds its copies. A pause of a few
/// seconds must not make its peers write duplicates.
pub const OWNER_TIMEOUT_MS: u64 = 10_000;

#[derive(Clone, Debug)]
struct Owner {
    last_received: Instant,
    entries: BTreeMap<Ticket, Entry>,
}

/// Copies of ledger entries, by owner.
#[derive(Clone, Debug, Default)]
pub struct PeerCopies {
    owners: BTreeMap<String, Owner>,
    bytes: usize,
}

impl PeerCopies {
    /// Maximum bytes of copies. Further copies are refused, and their owner does
    /// not count the entries as durable because it is still their only holder.
    pub const MAX_BYTES: usize = 4 << 20;

    /// Returns a collection without copies.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Drops the owner's copies before `stored_until`, which the store holds, and
    /// adds the new ones. Returns whether the new copies are held.
    pub fn hold(&mut self, now: Instant, request: HoldRequest) -> bool {
        let HoldRequest {
            owner,
            stored_until,
            copies,
        } = request;
        let size: usize = copies.iter().map(|(_, entry)| entry.size()).sum();
        let held = self.owners.entry(owner.clone()).or_insert(Owner {
            last_received: now,
            entries: BTreeMap::new(),
        });
        held.last_received = held.last_received.max(now);
        let stored = held.entries.extract_if(..stored_until, |_, _| true);
        let freed: usize = stored.map(|(_, entry)| entry.size()).sum();
        self.bytes -= freed;
        if self.bytes + size > Self::MAX_BYTES {
            if held.entries.is_empty() {
                self.owners.remove(&owner);
            }
            return false;
        }
        for (ticket, entry) in copies {
            if ticket >= stored_until && held.entries.insert(ticket, entry.clone()).is_none() {
                self.bytes += entry.size();
            }
        }
        if held.entries.is_empty() {
            self.owners.remove(&owner);
        }
        true
    }

    /// Removes and returns the entries of every owner that has timed out.
    pub fn take_orphans(&mut self, now: Instant) -> Vec<Entry> {
        let is_gone = |owner: &Owner| owner.last_received.plus_millis(OWNER_TIMEOUT_MS) <= now;
        let orphaned = self.owners.extract_if(.., |_, owner| is_gone(owner));
        let entries: Vec<Entry> = orphaned
            .flat_map(|(_, owner)| owner.entries.into_values())
            .collect();
        self.bytes -= entries.iter().map(Entry::size).sum::<usize>();
        entries
    }

    /// Removes and returns all entries, for a process that shuts down.
    pub fn drain(&mut self) -> Vec<Entry> {
        self.bytes = 0;
        let owners = std::mem::take(&mut self.owners).into_values();
        owners
            .flat_map(|owner| owner.entries.into_values())
            .collect()
    }

    /// Returns how many copies are held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.owners.values().map(|owner| owner.entries.len()).sum()
    }

    /// Returns whether no copies are held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }
}

/// Request of an owner that a peer hold copies of its entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HoldRequest {
    /// Owner of the entries: an instance and its incarnation.
    pub owner: String,
    /// First ticket that the store does not hold yet.
    #[serde(rename = "kept_until")]
    pub stored_until: Ticket,
    /// Copies of entries, with their tickets.
    pub copies: Vec<(Ticket, Entry)>,
}
