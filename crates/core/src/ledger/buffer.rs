//! Entries on their way to the store.
//!
//! Pattern of load: thousands of answers a second against a store that takes
//! a few hundred writes from the whole fleet. Entries gather while a write is
//! under way and go together in the next one (group commit), so the number of
//! writes follows the store's pace and not the callers'.
//!
//! One segment is under way at a time. Its content never changes: its write
//! may have taken effect, and a second content under the same key would be
//! lost.
//!
//! Memory is bounded. In an outage so long that the bound is met, the oldest
//! entries that were never sent anywhere are folded into one sum per
//! organisation and version. The bill stays exact; only the lines of single
//! requests are gone. Refusing requests instead would turn an outage of the
//! store into one of the product; dropping entries would leave them unbilled.

use std::collections::{BTreeMap, VecDeque};

use super::{Entry, Segment};

/// Position of an entry; it is kept once [`Buffer::stored_until`] is above it.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct Ticket(pub u64);

/// Bounds of a book.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of one segment; well under the store's largest value, since JSON
    /// takes more room than memory.
    pub segment_bytes: usize,
    /// Bytes of all entries that are not kept yet.
    pub total_bytes: usize,
    /// Bytes of entries that are not kept yet and were offered to a peer.
    pub offered_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            segment_bytes: 400 << 10,
            // A quarter of the 32 MB that control may take: about 35,000
            // entries, or 40 minutes at the peak of 15 requests a second.
            total_bytes: 8 << 20,
            offered_bytes: 1 << 20,
        }
    }
}

/// Gathers entries until they are kept in the store.
#[derive(Clone, Debug)]
pub struct Buffer {
    limits: Limits,
    /// Name of this start of the process; part of the identity of sums.
    writer: String,
    open: VecDeque<Open>,
    open_bytes: usize,
    sent: Option<Sent>,
    sums: BTreeMap<(String, String), Entry>,
    folds: u64,
    next_sequence: u64,
    next_ticket: Ticket,
    kept_until: Ticket,
    offered_until: Ticket,
    copied_until: Ticket,
    added: u64,
    kept: u64,
}

/// An entry that is in no segment yet.
#[derive(Clone, Debug)]
struct Open {
    ticket: Ticket,
    entry: Entry,
    /// Whether no other instance can ever write it.
    ours: bool,
}

/// A segment that is under way.
#[derive(Clone, Debug)]
struct Sent {
    segment: Segment,
    /// Tickets of the last entries of the segment; sums, which come first,
    /// have none.
    tickets: Vec<Ticket>,
    /// First ticket after the segment.
    after: Ticket,
}

impl Buffer {
    /// Returns an empty book of one start of a process.
    #[must_use]
    pub fn new(writer: &str, limits: Limits) -> Self {
        Self {
            limits,
            writer: writer.to_owned(),
            open: VecDeque::new(),
            open_bytes: 0,
            sent: None,
            sums: BTreeMap::new(),
            folds: 0,
            next_sequence: 0,
            next_ticket: Ticket(0),
            kept_until: Ticket(0),
            offered_until: Ticket(0),
            copied_until: Ticket(0),
            added: 0,
            kept: 0,
        }
    }

    /// Adds an entry that only this process can write.
    pub fn add(&mut self, entry: Entry) -> Ticket {
        self.push(entry, true)
    }

    /// Adds an entry that another instance may write too: of a claim, or taken
    /// over from a peer.
    pub fn add_shared(&mut self, entry: Entry) -> Ticket {
        self.push(entry, false)
    }

    /// Returns whether there is room to take entries over from a peer.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.open_bytes < self.limits.total_bytes / 2
    }

    fn push(&mut self, entry: Entry, ours: bool) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket.0 += 1;
        self.added += entry.requests;
        self.open_bytes += entry.size();
        self.open.push_back(Open {
            ticket,
            entry,
            ours,
        });
        while self.open_bytes > self.limits.total_bytes && self.fold() {}
        ticket
    }

    /// Folds the oldest open entry into the sum of its organisation and
    /// version; returns whether there was one.
    ///
    /// Entries that another instance may write too are told by their identity
    /// and stay: a sum could not be recognised as their double. That holds for
    /// entries of claims, for those of a peer, and for those that were offered
    /// to a peer, whether or not it answered. All are bounded: claims need the
    /// store, so in an outage they do not grow; a peer's are taken while there
    /// is room; few are offered at a time.
    fn fold(&mut self) -> bool {
        let offered_until = self.offered_until;
        let foldable = |open: &Open| open.ours && open.ticket >= offered_until;
        let Some(index) = self.open.iter().position(foldable) else {
            return false;
        };
        let Some(Open { entry, .. }) = self.open.remove(index) else {
            return false;
        };
        self.open_bytes -= entry.size();
        let key = (entry.organisation.clone(), entry.version.clone());
        if let Some(sum) = self.sums.get_mut(&key) {
            sum.input_tokens += entry.input_tokens;
            sum.output_tokens += entry.output_tokens;
            sum.cost += entry.cost;
            sum.requests += entry.requests;
            sum.at = sum.at.max(entry.at);
            return true;
        }
        let sum = Entry {
            request: format!("sum-{}-{}", self.writer, self.folds),
            label: String::new(),
            ..entry
        };
        self.folds += 1;
        self.sums.insert(key, sum);
        true
    }

    /// Returns the segment to write: the one that is under way, or the next.
    pub fn segment(&mut self) -> Option<&Segment> {
        if self.sent.is_none() {
            self.seal();
        }
        self.sent.as_ref().map(|sent| &sent.segment)
    }

    fn seal(&mut self) {
        let mut entries: Vec<_> = std::mem::take(&mut self.sums).into_values().collect();
        let mut bytes: usize = entries.iter().map(Entry::size).sum();
        let mut tickets = Vec::new();
        while let Some(open) = self.open.pop_front() {
            let size = open.entry.size();
            if !entries.is_empty() && bytes + size > self.limits.segment_bytes {
                self.open.push_front(open);
                break;
            }
            bytes += size;
            self.open_bytes -= size;
            tickets.push(open.ticket);
            entries.push(open.entry);
        }
        if entries.is_empty() {
            return;
        }
        let after = self
            .open
            .front()
            .map_or(self.next_ticket, |open| open.ticket);
        let segment = Segment {
            sequence: self.next_sequence,
            entries,
        };
        self.next_sequence += 1;
        self.sent = Some(Sent {
            segment,
            tickets,
            after,
        });
    }

    /// Forgets the segment that was under way: the store has it.
    ///
    /// # Panics
    ///
    /// When another segment is under way: entries would be lost.
    pub fn mark_stored(&mut self, sequence: u64) {
        let Some(Sent { segment, after, .. }) = self.sent.take() else {
            return;
        };
        assert_eq!(segment.sequence, sequence, "another segment is under way");
        self.kept += segment
            .entries
            .iter()
            .map(|entry| entry.requests)
            .sum::<u64>();
        self.kept_until = after;
        assert_eq!(
            self.added,
            self.kept + self.pending(),
            "an entry was lost or doubled"
        );
    }

    /// Returns the first ticket that is not kept.
    #[must_use]
    pub fn stored_until(&self) -> Ticket {
        self.kept_until
    }

    /// Returns entries that neither the store nor a peer has yet, with their
    /// tickets, for a peer to hold; no more than `bytes` of them, and none
    /// while [`Limits::offered_bytes`] are out.
    pub fn offer(&mut self, bytes: usize) -> Vec<(Ticket, Entry)> {
        if !self.sums.is_empty() {
            // A sum holds earlier tickets, which would count as copied.
            return Vec::new();
        }
        let mut out = 0;
        let mut offered = Vec::new();
        let mut size = 0;
        for (ticket, entry) in self.ticketed() {
            out += entry.size();
            if ticket < self.copied_until {
                continue;
            }
            size += entry.size();
            let is_over = size > bytes && !offered.is_empty();
            if is_over || out > self.limits.offered_bytes {
                break;
            }
            offered.push((ticket, entry.clone()));
        }
        if let Some((ticket, _)) = offered.last() {
            self.offered_until = self.offered_until.max(Ticket(ticket.0 + 1));
        }
        offered
    }

    fn ticketed(&self) -> impl Iterator<Item = (Ticket, &Entry)> {
        let sent = self.sent.iter().flat_map(|sent| {
            let sums = sent.segment.entries.len() - sent.tickets.len();
            let entries = sent.segment.entries.iter().skip(sums);
            sent.tickets.iter().copied().zip(entries)
        });
        let open = self.open.iter().map(|open| (open.ticket, &open.entry));
        sent.chain(open)
    }

    /// Remembers that a peer holds every entry before `until`.
    pub fn mark_copied(&mut self, until: Ticket) {
        self.copied_until = self.copied_until.max(until);
    }

    /// Forgets that a peer held copies: it is gone, and another one is to get
    /// them all.
    pub fn reset_copies(&mut self) {
        self.copied_until = self.kept_until;
    }

    /// Returns the first ticket that only this process knows.
    #[must_use]
    pub fn durable_until(&self) -> Ticket {
        self.kept_until.max(self.copied_until)
    }

    /// Returns whether peers hold copies that the store does not have yet.
    #[must_use]
    pub fn has_unstored_copies(&self) -> bool {
        self.copied_until > self.kept_until
    }

    /// Returns every entry that is not kept, for a peer to keep.
    #[must_use]
    pub fn entries(&self) -> Vec<Entry> {
        self.all().cloned().collect()
    }

    fn all(&self) -> impl Iterator<Item = &Entry> {
        let sent = self.sent.iter().flat_map(|sent| &sent.segment.entries);
        let open = self.open.iter().map(|open| &open.entry);
        sent.chain(self.sums.values()).chain(open)
    }

    /// Empties the book after a peer has taken [`Buffer::entries`].
    pub fn hand_off(&mut self) {
        self.kept += self.pending();
        self.sent = None;
        self.sums.clear();
        self.open.clear();
        self.open_bytes = 0;
        self.kept_until = self.next_ticket;
    }

    /// Returns how many requests are not kept yet.
    #[must_use]
    pub fn pending(&self) -> u64 {
        self.all().map(|entry| entry.requests).sum()
    }

    /// Returns whether everything is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sent.is_none() && self.open.is_empty() && self.sums.is_empty()
    }

    /// Returns how many sums were begun because the bound was met.
    #[must_use]
    pub fn folds(&self) -> u64 {
        self.folds
    }
}
