//! Writes the billing ledger to the store, and copies entries to a peer while
//! the store is slow.
//!
//! The end of an answer waits until its ledger entry is durable, for at most
//! [`crate::Limits::ledger_wait_ms`]. An entry is durable once the store holds
//! it, or once a peer holds a copy because the store did not store it in time.
//! The first token never waits. `docs/design/ledger.md` compares the
//! alternatives, with measurements.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use fescuerack_client::drive::Timer as _;
use fescuerack_client::ledger::{self, Writer};
use fescuerack_core::ledger::{Buffer, Entry, HoldRequest, Limits, PeerCopies, Segment, Ticket};
use tokio::sync::{Notify, watch};

use crate::node_state::{NodeState, lock};
use crate::peer_fallback::{self, MAX_BATCH_BYTES, Peer, Request};
use crate::stop::Stop;

/// Time that the store has to store an entry before it is copied to a peer.
/// After a late write the copy is sent without this delay, because the store is
/// slow or unavailable, or this instance's share of its rate is used up.
const COPY_DELAY: Duration = Duration::from_millis(2);
/// Duration of a write, including the wait for the rate limiter, above which the
/// store counts as late. It is twice the usual duration.
const LATE_WRITE: Duration = Duration::from_millis(5);
/// Time between two checks without new entries, and between two reports to the
/// peer that holds copies.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two attempts while the store is unavailable.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The ledger of one process: entries that are not yet stored, and copies of
/// peers' entries.
#[derive(Debug)]
pub struct Ledger {
    buffer: Mutex<Buffer>,
    added: Condvar,
    copy_wanted: Notify,
    /// Entries before this ticket are durable.
    durable_until: watch::Sender<Ticket>,
    peer_copies: Mutex<PeerCopies>,
    /// The peer that holds copies of this process's entries.
    copy_holder: Mutex<Option<Peer>>,
    /// Whether the last write was late.
    is_store_late: AtomicBool,
}

impl Ledger {
    /// Creates an empty ledger for one incarnation of a process.
    pub fn new(incarnation: &str) -> Self {
        Self {
            buffer: Mutex::new(Buffer::new(incarnation, Limits::default())),
            added: Condvar::new(),
            copy_wanted: Notify::new(),
            durable_until: watch::Sender::new(Ticket::default()),
            peer_copies: Mutex::new(PeerCopies::new()),
            copy_holder: Mutex::new(None),
            is_store_late: AtomicBool::new(false),
        }
    }

    /// Adds an entry, which will be written to the store.
    pub fn add(&self, entry: Entry) -> Ticket {
        let ticket = lock(&self.buffer).add(entry);
        self.wake();
        ticket
    }

    /// Adds an entry that another instance may add too: the entry of a claim.
    pub fn add_shared(&self, entry: Entry) -> Ticket {
        let ticket = lock(&self.buffer).add_shared(entry);
        self.wake();
        ticket
    }

    fn wake(&self) {
        self.added.notify_one();
        self.copy_wanted.notify_one();
    }

    /// Waits until an entry is durable, for at most `timeout`; returns whether
    /// it is.
    pub async fn wait_durable(&self, ticket: Ticket, timeout: Duration) -> bool {
        let mut durable_until = self.durable_until.subscribe();
        let waiting = durable_until.wait_for(|until| *until > ticket);
        matches!(tokio::time::timeout(timeout, waiting).await, Ok(Ok(_)))
    }

    /// Wakes the answers whose entries have become durable.
    fn publish_durable(&self) {
        let until = lock(&self.buffer).durable_until();
        self.durable_until.send_if_modified(|current| {
            let has_advanced = until > *current;
            *current = until.max(*current);
            has_advanced
        });
    }

    /// Returns the state for the state dump.
    pub fn state(&self) -> serde_json::Value {
        let buffer = lock(&self.buffer);
        serde_json::json!({
            "pending": buffer.pending(),
            "folds": buffer.folds(),
            "copies_out": buffer.has_unstored_copies(),
            "copies_held": lock(&self.peer_copies).len(),
        })
    }

    /// Holds copies of a peer's entries; returns whether there was room.
    pub fn hold(&self, shared: &NodeState, request: HoldRequest) -> bool {
        let now = shared.wall.now();
        let is_held = lock(&self.peer_copies).hold(now, request);
        if !is_held {
            shared.metrics.count("ledger.shelf_full");
        }
        is_held
    }

    /// Takes over the entries of a peer that shuts down; returns whether there
    /// was room.
    pub fn adopt(&self, entries: Vec<Entry>) -> bool {
        let mut buffer = lock(&self.buffer);
        if !buffer.has_room() {
            return false;
        }
        for entry in entries {
            buffer.add_shared(entry);
        }
        self.added.notify_one();
        true
    }

    /// Waits until there is an entry to write, for at most `timeout`.
    fn wait(&self, timeout: Duration) {
        let buffer = lock(&self.buffer);
        let waited = self
            .added
            .wait_timeout_while(buffer, timeout, |buffer| buffer.is_empty());
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }
}

/// Writes entries to the store until `stop` is set.
pub fn run(shared: &Arc<NodeState>, stop: &Stop) {
    while !stop.wait(Duration::ZERO) {
        shared.ledger.wait(IDLE_INTERVAL);
        take_orphans(shared);
        if !flush(shared) && stop.wait(RETRY_INTERVAL) {
            return;
        }
    }
}

/// Takes over the copies whose owner has sent no message for too long.
fn take_orphans(shared: &NodeState) {
    let orphans = lock(&shared.ledger.peer_copies).take_orphans(shared.wall.now());
    if orphans.is_empty() {
        return;
    }
    let count = orphans.len();
    log::warn!(count; "taking over the ledger entries of a peer that sends no messages");
    shared.metrics.count("ledger.orphans");
    let mut buffer = lock(&shared.ledger.buffer);
    for entry in orphans {
        buffer.add_shared(entry);
    }
}

/// Writes all entries that the store does not hold yet; returns whether it
/// succeeded.
pub fn flush(shared: &NodeState) -> bool {
    while let Some(segment) = next_segment(shared) {
        let start = shared.now();
        let written = ledger::write(&shared.ledger_store, &shared.writer(), &segment);
        let is_late = written.is_err() || shared.now().since(start) > LATE_WRITE;
        shared
            .ledger
            .is_store_late
            .store(is_late, Ordering::Relaxed);
        if written.is_err() {
            shared.metrics.count("ledger.store_failed");
            return false;
        }
        lock(&shared.ledger.buffer).mark_stored(segment.sequence);
        shared.ledger.publish_durable();
    }
    true
}

fn next_segment(shared: &NodeState) -> Option<Segment> {
    lock(&shared.ledger.buffer).segment().cloned()
}

/// Copies the entries that the store did not store in time to a peer.
pub async fn run_copies(shared: Arc<NodeState>) {
    let ledger = &shared.ledger;
    loop {
        let waited = tokio::time::timeout(IDLE_INTERVAL, ledger.copy_wanted.notified()).await;
        if waited.is_ok() && !ledger.is_store_late.load(Ordering::Relaxed) {
            tokio::time::sleep(COPY_DELAY).await;
        }
        let mut has_more = true;
        while has_more {
            has_more = send_copies(&shared).await;
        }
    }
}

/// Sends a batch of copies to the peer that holds the copies, with a report of
/// which entries are stored; returns whether there may be more to send.
async fn send_copies(shared: &Arc<NodeState>) -> bool {
    let ledger = &shared.ledger;
    let holder = lock(&ledger.copy_holder).clone();
    let (copies, stored_until) = {
        let mut buffer = lock(&ledger.buffer);
        if holder.is_none() {
            // The copies at the previous holder may be lost with it.
            buffer.reset_copies();
        }
        (buffer.offer(MAX_BATCH_BYTES), buffer.stored_until())
    };
    if copies.is_empty() && holder.is_none() {
        return false;
    }
    let choose = || Peer::new(&peer_fallback::copy_holder(shared)?).ok();
    let Some(holder) = holder.or_else(choose) else {
        return false;
    };
    let until = copies.last().map(|(ticket, _)| Ticket(ticket.0 + 1));
    let hold = Request::Hold(HoldRequest {
        owner: shared.owner(),
        stored_until,
        copies,
    });
    let is_held = matches!(holder.call::<bool>(shared, &hold).await, Ok(true));
    if !is_held {
        shared.metrics.count("ledger.copy_failed");
        // The next call chooses another peer. This one writes its copies to the
        // store after a while, and readers of the ledger drop the duplicates.
        *lock(&ledger.copy_holder) = None;
        return false;
    }
    let Some(until) = until else {
        let is_done = !lock(&ledger.buffer).has_unstored_copies();
        *lock(&ledger.copy_holder) = (!is_done).then_some(holder);
        return false;
    };
    *lock(&ledger.copy_holder) = Some(holder);
    lock(&ledger.buffer).mark_copied(until);
    ledger.publish_durable();
    shared.metrics.count("ledger.copied");
    true
}

/// Writes out the ledger of a process that shuts down. Entries that the store
/// does not accept are handed to a peer; entries that no peer accepts before
/// the deadline are written to the log as a last resort.
pub fn finish(shared: &Arc<NodeState>, deadline: fescuerack_core::clock::Instant) {
    let held = lock(&shared.ledger.peer_copies).drain();
    for entry in held {
        lock(&shared.ledger.buffer).add_shared(entry);
    }
    while !flush(shared) {
        if hand_off(shared) {
            return;
        }
        if shared.now() >= deadline {
            return log_entries(shared);
        }
        std::thread::sleep(RETRY_INTERVAL);
    }
}

/// Hands all entries to a peer; returns whether the peer accepted them.
fn hand_off(shared: &Arc<NodeState>) -> bool {
    let entries = lock(&shared.ledger.buffer).entries();
    let count = entries.len();
    let Some(address) = peer_fallback::copy_holder(shared) else {
        return false;
    };
    for batch in batches(entries) {
        let adopt = Request::Adopt(batch);
        let call = peer_fallback::call::<bool>(shared, &address, &adopt);
        if !shared.runtime.block_on(call).unwrap_or(false) {
            // Entries of earlier batches may be written twice. Readers drop the
            // duplicates by the identity of the entry.
            return false;
        }
    }
    lock(&shared.ledger.buffer).hand_off();
    shared.metrics.count("ledger.handed_off");
    log::info!(count; "handed the ledger to a peer");
    true
}

fn batches(entries: Vec<Entry>) -> Vec<Vec<Entry>> {
    let mut batches = vec![Vec::new()];
    let mut size = 0;
    for entry in entries {
        size += entry.size();
        if size > MAX_BATCH_BYTES {
            size = entry.size();
            batches.push(Vec::new());
        }
        batches.last_mut().expect("never empty").push(entry);
    }
    batches
}

fn log_entries(shared: &NodeState) {
    for entry in lock(&shared.ledger.buffer).entries() {
        let entry = serde_json::to_string(&entry).unwrap_or_default();
        log::error!(entry; "a ledger entry is kept nowhere else");
    }
}

impl NodeState {
    /// Returns the writer of this process's segments.
    pub fn writer(&self) -> Writer {
        Writer {
            instance: self.settings.instance.clone(),
            incarnation: self.incarnation.clone(),
        }
    }

    /// Returns the owner that this process's entries have at a peer.
    fn owner(&self) -> String {
        format!("{}/{}", self.settings.instance, self.incarnation)
    }
}
