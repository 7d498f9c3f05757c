//! Copies of peers' entries.
//!
//! The failure it answers: the store is out or slow and an instance that has
//! just answered is killed. Its entries were only in its memory. An instance
//! therefore gives a copy to a peer, in another availability zone if there is
//! one, before an answer ends that the store could not keep in time. The peer holds the copy
//! until the owner says that the store has it. When the owner has been silent
//! for too long, the peer writes the entries itself, under the same
//! identities; a reader drops the doubles if the owner lives after all.

use std::collections::BTreeMap;

use super::{Entry, Ticket};
use crate::clock::Instant;

/// Milliseconds of silence after which an owner counts as gone. An owner
/// speaks every second while it has copies out; a pause of some seconds must
/// not make every peer write doubles.
pub const OWNER_TIMEOUT_MS: u64 = 10_000;

#[derive(Clone, Debug)]
struct Owner {
    heard: Instant,
    entries: BTreeMap<Ticket, Entry>,
}

/// Copies by owner.
#[derive(Clone, Debug, Default)]
pub struct PeerCopies {
    owners: BTreeMap<String, Owner>,
    bytes: usize,
}

impl PeerCopies {
    /// Bytes of copies that are held; beyond it a copy is refused and its
    /// owner knows that it is alone with it.
    pub const MAX_BYTES: usize = 4 << 20;

    /// Returns an empty shelf.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes copies and forgets those that the store has: all before
    /// `kept_until`. Returns whether the copies are held.
    pub fn hold(&mut self, now: Instant, asked: Hold) -> bool {
        let Hold {
            owner,
            kept_until,
            copies,
        } = asked;
        let size: usize = copies.iter().map(|(_, entry)| entry.size()).sum();
        let held = self.owners.entry(owner.clone()).or_insert(Owner {
            heard: now,
            entries: BTreeMap::new(),
        });
        held.heard = held.heard.max(now);
        let kept = held.entries.extract_if(..kept_until, |_, _| true);
        let freed: usize = kept.map(|(_, entry)| entry.size()).sum();
        self.bytes -= freed;
        if self.bytes + size > Self::MAX_BYTES {
            return false;
        }
        for (ticket, entry) in copies {
            if ticket >= kept_until && held.entries.insert(ticket, entry.clone()).is_none() {
                self.bytes += entry.size();
            }
        }
        if held.entries.is_empty() {
            self.owners.remove(&owner);
        }
        true
    }

    /// Gives up the entries of every owner that has been silent for too long.
    pub fn take_orphans(&mut self, now: Instant) -> Vec<Entry> {
        let gone = |owner: &Owner| owner.heard.plus_millis(OWNER_TIMEOUT_MS) <= now;
        let orphaned = self.owners.extract_if(.., |_, owner| gone(owner));
        let entries: Vec<Entry> = orphaned
            .flat_map(|(_, owner)| owner.entries.into_values())
            .collect();
        self.bytes -= entries.iter().map(Entry::size).sum::<usize>();
        entries
    }

    /// Gives up everything, for a process that ends.
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

    /// Returns whether no copy is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }
}

/// What an owner asks a peer to hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Hold {
    /// One start of one instance.
    pub owner: String,
    /// First ticket that the store does not have yet.
    pub kept_until: Ticket,
    /// Copies.
    pub copies: Vec<(Ticket, Entry)>,
}
