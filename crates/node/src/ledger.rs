//! Keeps the ledger: in the store, and beside it with a peer.
//!
//! An answer's end waits until its entry is safe: kept in the store, or copied
//! to a peer when the store cannot keep it in time, for
//! [`crate::Limits::ledger_wait_ms`] at most. The
//! first token waits for nothing. See `docs/design/ledger.md` for the ways that
//! were weighed and their figures.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use fescuerack_client::drive::Timer as _;
use fescuerack_client::ledger::{self, Writer};
use fescuerack_core::ledger::{Buffer, Entry, Hold, Limits, PeerCopies, Segment, Ticket};
use tokio::sync::{Notify, watch};

use crate::peer_fallback::{self, MAX_BATCH_BYTES, Peer, Request};
use crate::shared::{Shared, lock};
use crate::stop::Stop;

/// Time that the store has before entries are copied to a peer. When the last
/// write took longer, the store has no time at all: it is slow, out, or this
/// instance's share of its rate is used up.
const STORE_FIRST: Duration = Duration::from_millis(2);
/// Time of a write, its token included, from which the store counts as late:
/// twice what it takes in good order.
const LATE: Duration = Duration::from_millis(5);
/// Time between two looks when nothing happens, and between two words to the
/// peer that holds copies.
const IDLE: Duration = Duration::from_secs(1);
/// Time between two tries while the store is out.
const RETRY: Duration = Duration::from_millis(200);

/// State of the ledger in one process.
#[derive(Debug)]
pub struct Ledger {
    buffer: Mutex<Buffer>,
    added: Condvar,
    copy: Notify,
    safe: watch::Sender<Ticket>,
    peer_copies: Mutex<PeerCopies>,
    /// The peer that holds our copies.
    keeper: Mutex<Option<Peer>>,
    /// Whether the last write was late.
    is_late: AtomicBool,
}

impl Ledger {
    /// Creates an empty ledger of one start of a process.
    pub fn new(incarnation: &str) -> Self {
        Self {
            buffer: Mutex::new(Buffer::new(incarnation, Limits::default())),
            added: Condvar::new(),
            copy: Notify::new(),
            safe: watch::Sender::new(Ticket::default()),
            peer_copies: Mutex::new(PeerCopies::new()),
            keeper: Mutex::new(None),
            is_late: AtomicBool::new(false),
        }
    }

    /// Adds an entry; it will be kept.
    pub fn add(&self, entry: Entry) -> Ticket {
        let ticket = lock(&self.buffer).add(entry);
        self.wake();
        ticket
    }

    /// Adds an entry that another instance may add too: that of a claim.
    pub fn add_shared(&self, entry: Entry) -> Ticket {
        let ticket = lock(&self.buffer).add_shared(entry);
        self.wake();
        ticket
    }

    fn wake(&self) {
        self.added.notify_one();
        self.copy.notify_one();
    }

    /// Waits until an entry is safe, but not longer than `wait`; returns
    /// whether it is.
    pub async fn wait_durable(&self, ticket: Ticket, wait: Duration) -> bool {
        let mut safe = self.safe.subscribe();
        let waiting = safe.wait_for(|until| *until > ticket);
        matches!(tokio::time::timeout(wait, waiting).await, Ok(Ok(_)))
    }

    fn tell(&self) {
        let until = lock(&self.buffer).durable_until();
        self.safe.send_if_modified(|safe| {
            let rises = until > *safe;
            *safe = until.max(*safe);
            rises
        });
    }

    /// Returns the state for the dump.
    pub fn state(&self) -> serde_json::Value {
        let buffer = lock(&self.buffer);
        serde_json::json!({
            "pending": buffer.pending(),
            "folds": buffer.folds(),
            "copies_out": buffer.has_unstored_copies(),
            "copies_held": lock(&self.peer_copies).len(),
        })
    }

    /// Holds copies of a peer's entries; returns whether it did.
    pub fn hold(&self, shared: &Shared, asked: Hold) -> bool {
        let now = shared.wall.now();
        let is_held = lock(&self.peer_copies).hold(now, asked);
        if !is_held {
            shared.metrics.count("ledger.shelf_full");
        }
        is_held
    }

    /// Takes over the entries of a peer that ends; returns whether it did.
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

    fn wait(&self, wait: Duration) {
        let buffer = lock(&self.buffer);
        let waited = self
            .added
            .wait_timeout_while(buffer, wait, |buffer| buffer.is_empty());
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }
}

/// Keeps entries in the store until `stop` is set.
pub fn run(shared: &Arc<Shared>, stop: &Stop) {
    while !stop.wait(Duration::ZERO) {
        shared.ledger.wait(IDLE);
        take_orphans(shared);
        if !keep(shared) && stop.wait(RETRY) {
            return;
        }
    }
}

fn take_orphans(shared: &Shared) {
    let orphans = lock(&shared.ledger.peer_copies).take_orphans(shared.wall.now());
    if orphans.is_empty() {
        return;
    }
    let count = orphans.len();
    log::warn!(count; "keeping the ledger entries of a silent peer");
    shared.metrics.count("ledger.orphans");
    let mut buffer = lock(&shared.ledger.buffer);
    for entry in orphans {
        buffer.add_shared(entry);
    }
}

/// Writes what the store does not hold yet; returns whether nothing is left.
pub fn keep(shared: &Shared) -> bool {
    while let Some(segment) = next(shared) {
        let begun = shared.now();
        let written = ledger::write(&shared.ledger_store, &shared.writer(), &segment);
        let is_late = written.is_err() || shared.now().since(begun) > LATE;
        shared.ledger.is_late.store(is_late, Ordering::Relaxed);
        if written.is_err() {
            shared.metrics.count("ledger.store_failed");
            return false;
        }
        lock(&shared.ledger.buffer).mark_stored(segment.sequence);
        shared.ledger.tell();
    }
    true
}

fn next(shared: &Shared) -> Option<Segment> {
    lock(&shared.ledger.buffer).segment().cloned()
}

/// Copies entries that the store could not keep in time to a peer.
pub async fn run_copies(shared: Arc<Shared>) {
    let desk = &shared.ledger;
    loop {
        let waited = tokio::time::timeout(IDLE, desk.copy.notified()).await;
        if waited.is_ok() && !desk.is_late.load(Ordering::Relaxed) {
            tokio::time::sleep(STORE_FIRST).await;
        }
        let mut more = true;
        while more {
            more = send(&shared).await;
        }
    }
}

/// Sends a batch of copies, or a word about what is kept, to the peer that
/// holds ours; returns whether there is more.
async fn send(shared: &Arc<Shared>) -> bool {
    let desk = &shared.ledger;
    let keeper = lock(&desk.keeper).clone();
    let (copies, kept_until) = {
        let mut buffer = lock(&desk.buffer);
        if keeper.is_none() {
            // What an earlier one held may be gone with it.
            buffer.reset_copies();
        }
        (buffer.offer(MAX_BATCH_BYTES), buffer.stored_until())
    };
    if copies.is_empty() && keeper.is_none() {
        return false;
    }
    let chosen = || Peer::new(&peer_fallback::copy_holder(shared)?).ok();
    let Some(keeper) = keeper.or_else(chosen) else {
        return false;
    };
    let until = copies.last().map(|(ticket, _)| Ticket(ticket.0 + 1));
    let hold = Request::Hold(Hold {
        owner: shared.owner(),
        kept_until,
        copies,
    });
    let is_held = matches!(keeper.call::<bool>(shared, &hold).await, Ok(true));
    if !is_held {
        shared.metrics.count("ledger.copy_failed");
        // Another one next time; this one writes what it holds after a while,
        // and a reader drops the doubles.
        *lock(&desk.keeper) = None;
        return false;
    }
    let Some(until) = until else {
        let done = !lock(&desk.buffer).has_unstored_copies();
        *lock(&desk.keeper) = (!done).then_some(keeper);
        return false;
    };
    *lock(&desk.keeper) = Some(keeper);
    lock(&desk.buffer).mark_copied(until);
    desk.tell();
    shared.metrics.count("ledger.copied");
    true
}

/// Ends the ledger of a process that ends: what the store does not take goes
/// to a peer, and what no peer takes goes to the log as a last resort.
pub fn finish(shared: &Arc<Shared>, deadline: fescuerack_core::clock::Instant) {
    let held = lock(&shared.ledger.peer_copies).drain();
    for entry in held {
        lock(&shared.ledger.buffer).add_shared(entry);
    }
    while !keep(shared) {
        if hand_off(shared) {
            return;
        }
        if shared.now() >= deadline {
            return leave(shared);
        }
        std::thread::sleep(RETRY);
    }
}

fn hand_off(shared: &Arc<Shared>) -> bool {
    let entries = lock(&shared.ledger.buffer).entries();
    let count = entries.len();
    let Some(address) = peer_fallback::copy_holder(shared) else {
        return false;
    };
    for batch in batches(entries) {
        let adopting = Request::Adopt(batch);
        let call = peer_fallback::call::<bool>(shared, &address, &adopting);
        if !shared.runtime.block_on(call).unwrap_or(false) {
            // What it has taken is told by its identity if it is written twice.
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

fn leave(shared: &Shared) {
    for entry in lock(&shared.ledger.buffer).entries() {
        let entry = serde_json::to_string(&entry).unwrap_or_default();
        log::error!(entry; "a ledger entry is kept nowhere else");
    }
}

impl Shared {
    /// Returns who writes this process's segments.
    pub fn writer(&self) -> Writer {
        Writer {
            instance: self.settings.instance.clone(),
            incarnation: self.incarnation.clone(),
        }
    }

    fn owner(&self) -> String {
        format!("{}/{}", self.settings.instance, self.incarnation)
    }
}
