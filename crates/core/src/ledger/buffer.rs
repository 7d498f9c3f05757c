//! Write buffer for ledger entries that the store does not hold yet.
//!
//! The fleet answers thousands of requests a second, while the store accepts a
//! few hundred writes a second from the whole fleet. Entries therefore collect
//! while a write is in flight and are written together in the next segment
//! (group commit). The number of writes depends on the store's latency and not
//! on the request rate.
//!
//! One segment is in flight at a time, and its content never changes: its
//! write may already have taken effect, and a different content written under
//! the same key would be lost.
//!
//! Memory is bounded. When a store outage lasts until the bound is reached, the
//! oldest entries that were never sent anywhere are folded into one sum for
//! each organisation and version. The bill stays exact; only the itemisation
//! by request is lost. Refusing requests instead would turn an outage of the
//! store into an outage of the service, and dropping entries would leave them
//! unbilled.

use std::collections::{BTreeMap, VecDeque};

use super::{Entry, Segment};

/// Number of an entry: its position among all entries that were added to its
/// buffer. The store holds the entry, or a peer has taken it over, once
/// [`Buffer::stored_until`] is above it.
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

/// Memory and message bounds of a [`Buffer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum bytes of one segment, counted by [`Entry::size`]. It is well
    /// below the store's largest value because the JSON encoding is larger than
    /// the entries in memory.
    pub segment_bytes: usize,
    /// Maximum bytes of entries that are in no segment yet.
    pub total_bytes: usize,
    /// Maximum bytes of entries that are not stored yet and were offered to a
    /// peer.
    pub offered_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            segment_bytes: 400 << 10,
            // A quarter of the 32 MB of memory that the control functions may
            // use: about 35,000 entries, or 40 minutes at the peak of 15
            // requests a second.
            total_bytes: 8 << 20,
            offered_bytes: 1 << 20,
        }
    }
}

/// Holds entries until the store has them.
#[derive(Clone, Debug)]
pub struct Buffer {
    limits: Limits,
    /// Incarnation of the process; part of the identity of sums.
    writer: String,
    unsent: VecDeque<Unsent>,
    unsent_bytes: usize,
    in_flight: Option<InFlight>,
    /// Folded entries by organisation and version.
    sums: BTreeMap<(String, String), Entry>,
    folds: u64,
    next_sequence: u64,
    next_ticket: Ticket,
    stored_until: Ticket,
    offered_until: Ticket,
    copied_until: Ticket,
    /// Requests of all entries that were ever added.
    added_requests: u64,
    /// Requests of all entries that the store or another instance took over.
    stored_requests: u64,
}

/// An entry that is in no segment yet.
#[derive(Clone, Debug)]
struct Unsent {
    ticket: Ticket,
    entry: Entry,
    /// Whether no other instance can ever write the entry.
    is_exclusive: bool,
}

/// The segment whose write is in flight.
#[derive(Clone, Debug)]
struct InFlight {
    segment: Segment,
    /// Tickets of the entries at the end of the segment. The sums at its start
    /// have no ticket.
    tickets: Vec<Ticket>,
    /// First ticket after the segment.
    next: Ticket,
}

impl Buffer {
    /// Returns an empty buffer. `writer` names the incarnation of the process.
    #[must_use]
    pub fn new(writer: &str, limits: Limits) -> Self {
        Self {
            limits,
            writer: writer.to_owned(),
            unsent: VecDeque::new(),
            unsent_bytes: 0,
            in_flight: None,
            sums: BTreeMap::new(),
            folds: 0,
            next_sequence: 0,
            next_ticket: Ticket(0),
            stored_until: Ticket(0),
            offered_until: Ticket(0),
            copied_until: Ticket(0),
            added_requests: 0,
            stored_requests: 0,
        }
    }

    /// Adds an entry that no other instance can write.
    pub fn add(&mut self, entry: Entry) -> Ticket {
        self.push(entry, true)
    }

    /// Adds an entry that another instance may write as well: the entry of a
    /// claim, or one taken over from a peer.
    pub fn add_shared(&mut self, entry: Entry) -> Ticket {
        self.push(entry, false)
    }

    /// Returns whether there is room to take over entries from a peer.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.unsent_bytes < self.limits.total_bytes / 2
    }

    fn push(&mut self, entry: Entry, is_exclusive: bool) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket.0 += 1;
        self.added_requests += entry.requests;
        self.unsent_bytes += entry.size();
        self.unsent.push_back(Unsent {
            ticket,
            entry,
            is_exclusive,
        });
        while self.unsent_bytes > self.limits.total_bytes && self.fold() {}
        ticket
    }

    /// Folds the oldest foldable unsent entry into the sum of its organisation
    /// and version. Returns whether there was one.
    ///
    /// Entries that another instance may write as well are not folded: they are
    /// deduplicated by their identity, and a sum could not be recognised as a
    /// duplicate of them. These are the entries of claims, those taken over
    /// from a peer, and those offered to a peer, whether or not it answered.
    /// Their number is bounded: claims need the store, so they do not grow
    /// during an outage; entries of a peer are taken only while there is room;
    /// few entries are offered at a time.
    fn fold(&mut self) -> bool {
        let offered_until = self.offered_until;
        let foldable = |unsent: &Unsent| unsent.is_exclusive && unsent.ticket >= offered_until;
        let Some(index) = self.unsent.iter().position(foldable) else {
            return false;
        };
        let Some(Unsent { entry, .. }) = self.unsent.remove(index) else {
            return false;
        };
        self.unsent_bytes -= entry.size();
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

    /// Returns the segment to write: the one in flight, or a new one.
    pub fn segment(&mut self) -> Option<&Segment> {
        if self.in_flight.is_none() {
            self.seal_segment();
        }
        self.in_flight.as_ref().map(|in_flight| &in_flight.segment)
    }

    fn seal_segment(&mut self) {
        let mut entries: Vec<_> = std::mem::take(&mut self.sums).into_values().collect();
        let mut bytes: usize = entries.iter().map(Entry::size).sum();
        let mut tickets = Vec::new();
        while let Some(unsent) = self.unsent.pop_front() {
            let size = unsent.entry.size();
            if !entries.is_empty() && bytes + size > self.limits.segment_bytes {
                self.unsent.push_front(unsent);
                break;
            }
            bytes += size;
            self.unsent_bytes -= size;
            tickets.push(unsent.ticket);
            entries.push(unsent.entry);
        }
        if entries.is_empty() {
            return;
        }
        let next = self
            .unsent
            .front()
            .map_or(self.next_ticket, |unsent| unsent.ticket);
        let segment = Segment {
            sequence: self.next_sequence,
            entries,
        };
        self.next_sequence += 1;
        self.in_flight = Some(InFlight {
            segment,
            tickets,
            next,
        });
    }

    /// Drops the segment in flight after the store has confirmed it.
    ///
    /// # Panics
    ///
    /// When `sequence` is not the segment in flight: entries would be lost.
    /// Also when the requests that are stored and pending do not add up to those
    /// that were added.
    pub fn mark_stored(&mut self, sequence: u64) {
        let Some(InFlight { segment, next, .. }) = self.in_flight.take() else {
            return;
        };
        assert_eq!(segment.sequence, sequence, "another segment is in flight");
        self.stored_requests += segment
            .entries
            .iter()
            .map(|entry| entry.requests)
            .sum::<u64>();
        self.stored_until = next;
        assert_eq!(
            self.added_requests,
            self.stored_requests + self.pending(),
            "a ledger entry was lost or duplicated"
        );
    }

    /// Returns the first ticket that neither the store holds nor a peer has taken
    /// over by [`Buffer::hand_off`].
    #[must_use]
    pub fn stored_until(&self) -> Ticket {
        self.stored_until
    }

    /// Returns entries that neither the store nor a peer holds yet, with their
    /// tickets, to be copied to a peer: at most `bytes` of them, or a single
    /// larger entry. Only the oldest unstored entries, up to
    /// [`Limits::offered_bytes`], are offered.
    pub fn offer(&mut self, bytes: usize) -> Vec<(Ticket, Entry)> {
        if !self.sums.is_empty() {
            // The tickets of a sum are lower than those offered here and would
            // be counted as copied.
            return Vec::new();
        }
        let mut unstored_bytes = 0;
        let mut offered = Vec::new();
        let mut size = 0;
        for (ticket, entry) in self.ticketed() {
            unstored_bytes += entry.size();
            if ticket < self.copied_until {
                continue;
            }
            size += entry.size();
            let is_over = size > bytes && !offered.is_empty();
            if is_over || unstored_bytes > self.limits.offered_bytes {
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
        let in_flight = self.in_flight.iter().flat_map(|in_flight| {
            let sums = in_flight.segment.entries.len() - in_flight.tickets.len();
            let entries = in_flight.segment.entries.iter().skip(sums);
            in_flight.tickets.iter().copied().zip(entries)
        });
        let unsent = self
            .unsent
            .iter()
            .map(|unsent| (unsent.ticket, &unsent.entry));
        in_flight.chain(unsent)
    }

    /// Records that a peer holds a copy of every entry before `until`.
    pub fn mark_copied(&mut self, until: Ticket) {
        self.copied_until = self.copied_until.max(until);
    }

    /// Discards the record of copies because the peer that held them is gone.
    /// Another peer is to receive all entries that are not stored.
    pub fn reset_copies(&mut self) {
        self.copied_until = self.stored_until;
    }

    /// Returns the first ticket that only this process holds.
    #[must_use]
    pub fn durable_until(&self) -> Ticket {
        self.stored_until.max(self.copied_until)
    }

    /// Returns whether a peer holds copies of entries that the store does not
    /// hold yet.
    #[must_use]
    pub fn has_unstored_copies(&self) -> bool {
        self.copied_until > self.stored_until
    }

    /// Returns every entry that is not stored, to be handed off to a peer.
    #[must_use]
    pub fn entries(&self) -> Vec<Entry> {
        self.pending_entries().cloned().collect()
    }

    fn pending_entries(&self) -> impl Iterator<Item = &Entry> {
        let in_flight = self
            .in_flight
            .iter()
            .flat_map(|in_flight| &in_flight.segment.entries);
        let unsent = self.unsent.iter().map(|unsent| &unsent.entry);
        in_flight.chain(self.sums.values()).chain(unsent)
    }

    /// Empties the buffer after a peer has taken over [`Buffer::entries`].
    pub fn hand_off(&mut self) {
        self.stored_requests += self.pending();
        self.in_flight = None;
        self.sums.clear();
        self.unsent.clear();
        self.unsent_bytes = 0;
        self.stored_until = self.next_ticket;
    }

    /// Returns how many requests are not stored yet.
    #[must_use]
    pub fn pending(&self) -> u64 {
        self.pending_entries().map(|entry| entry.requests).sum()
    }

    /// Returns whether no entry remains to be stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.in_flight.is_none() && self.unsent.is_empty() && self.sums.is_empty()
    }

    /// Returns how many sums were started because [`Limits::total_bytes`] was
    /// reached.
    #[must_use]
    pub fn folds(&self) -> u64 {
        self.folds
    }
}
