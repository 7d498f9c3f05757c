//! Replication of the store: one full read, then one watch call at a time.
//!
//! A burst of changes costs one call, since after a change the node waits for a quarter of a second
//! before the next watch. While the store does not answer, the node continues with its current view
//! and asks a peer for newer items.
//!
//! In a region with large availability zones only two nodes watch the store. The hubs of the zones
//! poll these watchers, and the other nodes poll their hubs ([`watcher`]). A node for which none of
//! them is fresh watches the store itself.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fescuerack_core::gateway::watcher;
use rand::RngExt as _;
use tokio::task::JoinSet;

use crate::apply;
use crate::clock::now;
use crate::fetch;
use crate::node::Node;
use crate::offload::{self, Decoded};
use crate::peer;
use crate::platform::{Item, Page, StoreRequest, StoreResponse};
use crate::source::{self, FailedWatchers, Source};
use crate::store::Fault;
use crate::updates::{self, Updates};

/// Milliseconds that a watch waits at the store. A watch on a dead connection times out one second
/// after that, so this bounds how long a node can miss changes; they must become active within some
/// seconds.
const WATCH_WAIT_MS: u64 = 3_000;
/// Milliseconds for which changes accumulate before the next watch.
const BATCH_MS: u64 = 250;
/// Milliseconds that a watch waits at the store during an outage. A long watch of a store that does
/// not answer times out only seconds later, and a node that started one just before the end of the
/// outage would receive nothing in the meantime.
const OUTAGE_WATCH_WAIT_MS: u64 = 50;
/// Mean of the milliseconds between two calls during an outage.
const RETRY_DELAY_MS: u64 = 350;
/// Prefix of the keys that are read and watched: all of the store concerns the gateway.
const ALL_KEYS: &str = "";

/// Result of a watch or poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The node continues from its revision.
    Continue,
    /// The store no longer keeps the history after the node's revision; a full read is needed.
    HistoryGone,
}

/// Replicates the store until the process ends.
pub async fn run(node: Rc<Node>) {
    let mut has_read = false;
    let mut direct_until = now();
    let mut failed = FailedWatchers::default();
    loop {
        if !has_read {
            has_read = read(&node).await;
            if has_read {
                peer::join_rollouts(&node).await;
            }
            continue;
        }
        let source = source::current(&node);
        let is_outage = node.view.borrow().outage.is_ongoing();
        let step = match &source {
            Source::Peers(watchers) if is_outage => follow_any(&node, &source, watchers).await,
            Source::Peers(watchers) if now() >= direct_until => {
                if follow_watcher(&node, watchers, &mut failed).await {
                    continue;
                }
                direct_until = now().plus_millis(watcher::DIRECT_WATCH_MS);
                watch(&node, &source).await
            }
            _ => watch(&node, &source).await,
        };
        has_read = step == Step::Continue;
    }
}

/// Calls the store and polls all watchers concurrently, and continues with the first answer.
///
/// During an outage of the store, watchers may not answer either. If they and the store were called
/// one after the other, a node would detect the end of the outage up to 2.8 s late.
async fn follow_any(node: &Rc<Node>, source: &Source, watchers: &[(String, SocketAddr)]) -> Step {
    let mut polls = JoinSet::new();
    for (name, address) in watchers.iter().cloned() {
        let node = node.clone();
        polls.spawn_local(async move {
            let updates = fresh_updates(&node, &name, address).await?;
            Some((updates, address))
        });
    }
    let first_fresh = async {
        while let Some(answer) = polls.join_next().await {
            if let Ok(Some(updates)) = answer {
                return Some(updates);
            }
        }
        None
    };
    tokio::pin!(first_fresh);
    let direct = watch(node, source);
    tokio::pin!(direct);
    tokio::select! {
        updates = &mut first_fresh => match updates {
            Some((updates, address)) => {
                apply_updates(node, &updates, address).await;
                Step::Continue
            }
            None => direct.await,
        },
        step = &mut direct => step,
    }
}

async fn read(node: &Rc<Node>) -> bool {
    match read_all(node).await {
        Ok(()) => true,
        Err(fault) => {
            record_fault(node, "range", &fault);
            back_off(node).await;
            false
        }
    }
}

/// Polls the watchers in turn and applies the first fresh response. Returns whether there was one.
async fn follow_watcher(
    node: &Rc<Node>,
    watchers: &[(String, SocketAddr)],
    failed: &mut FailedWatchers,
) -> bool {
    for (name, address) in failed.ordered(watchers) {
        if let Some(updates) = fresh_updates(node, &name, address).await {
            apply_updates(node, &updates, address).await;
            return true;
        }
        failed.record(address);
    }
    false
}

/// Polls a watcher. Returns its updates, or `None` if it does not answer, is stale or lacks changes
/// after this node's revision.
async fn fresh_updates(node: &Node, name: &str, address: SocketAddr) -> Option<Updates> {
    let after = node.view.borrow().revision;
    match updates::poll(node, address, after).await {
        Ok(updates) if updates.is_whole && updates.age_ms <= watcher::MAX_AGE_MS => {
            return Some(updates);
        }
        Ok(updates) => tracing::info!(
            event = "watcher-stale",
            peer = name,
            age_ms = updates.age_ms,
            whole = updates.is_whole,
            after
        ),
        Err(error) => tracing::info!(event = "peer-failed", peer = name, reason = %error),
    }
    None
}

async fn apply_updates(node: &Node, updates: &Updates, peer: SocketAddr) {
    // Nodes that follow this one receive the age of the store's answer, not of the watcher's.
    let answered = now().minus_millis(updates.age_ms);
    node.store_answered
        .set(answered.max(node.store_answered.get()));
    for arrival in &updates.arrivals {
        let at = now().minus_millis(arrival.age_ms);
        node.arrivals.borrow_mut().record(arrival.revision, at);
    }
    apply::apply_items(node, &updates.items).await;
    let mut view = node.view.borrow_mut();
    view.revision = view.revision.max(updates.revision);
    let is_back = view.outage.record_answer(now());
    drop(view);
    fetch::receive_notices(node, &updates.large, peer);
    if is_back {
        tracing::info!(event = "store-regained", call = "watcher");
    }
    apply::publish_view(node);
}

/// Makes one watch call at the store. The call is short on nodes whose freshness other nodes rely
/// on.
async fn watch(node: &Rc<Node>, source: &Source) -> Step {
    let (after, is_outage) = {
        let view = node.view.borrow();
        (view.revision, view.outage.is_ongoing())
    };
    let (wait_ms, batch_ms) = match source {
        Source::Store => (WATCH_WAIT_MS, BATCH_MS),
        Source::StoreAsWatcher | Source::Peers(_) => (watcher::STORE_WAIT_MS, watcher::BATCH_MS),
    };
    let wait_ms = if is_outage {
        OUTAGE_WATCH_WAIT_MS
    } else {
        wait_ms
    };
    let call = StoreRequest::Watch {
        prefix: ALL_KEYS,
        after,
        wait_ms,
    };
    match call_store(node, &call, is_outage).await {
        Ok(StoreResponse::Page(page)) => {
            record_answer(node, "watch");
            let has_changes = !page.items.is_empty();
            apply_page(node, &page).await;
            if has_changes {
                tokio::time::sleep(Duration::from_millis(batch_ms)).await;
            }
        }
        Ok(StoreResponse::Gone) => {
            record_answer(node, "watch");
            tracing::info!(event = "history-gone", after);
            return Step::HistoryGone;
        }
        Ok(other) => {
            tracing::error!(event = "store-odd-answer", call = "watch", answer = ?other);
            back_off(node).await;
        }
        Err(fault) => {
            record_fault(node, "watch", &fault);
            back_off(node).await;
        }
    }
    Step::Continue
}

/// Makes a call to the store. During an outage a peer is asked for newer items at the same time, so
/// that a call that hangs does not delay these.
async fn call_store(
    node: &Rc<Node>,
    call: &StoreRequest<'_>,
    is_outage: bool,
) -> Result<StoreResponse, Fault> {
    if !is_outage {
        return node.store.call(call).await;
    }
    let (call_to_store, call_to_peer) = (node.store.call(call), peer::catch_up(node));
    tokio::pin!(call_to_store, call_to_peer);
    tokio::select! {
        answer = &mut call_to_store => {
            if answer.is_err() {
                call_to_peer.await;
            }
            answer
        }
        () = &mut call_to_peer => call_to_store.await,
    }
}

/// Reads the whole store. The pages are not one snapshot, so the watch continues from the revision
/// of the first page and receives changes made between the pages again.
async fn read_all(node: &Rc<Node>) -> Result<(), Fault> {
    let mut items: Vec<Item> = Vec::new();
    let mut revision = None;
    loop {
        let after = items.last().map(|item| item.key.clone());
        let call = StoreRequest::Range {
            prefix: ALL_KEYS,
            after: after.as_deref(),
        };
        match node.store.call(&call).await? {
            StoreResponse::Page(page) => {
                revision = revision.or(Some(page.revision));
                items.extend(page.items);
                if !page.has_more {
                    break;
                }
            }
            other => return Err(Fault::NotDone(format!("{other:?}"))),
        }
    }
    record_answer(node, "range");
    let revision = revision.unwrap_or_default();
    tracing::info!(event = "store-read", items = items.len(), revision);
    node.arrivals.borrow_mut().record(revision, now());
    let mut decoded = Vec::new();
    for item in items.iter().filter(|item| offload::is_needed(item)) {
        decoded.extend(offload::decode(node, item.clone()).await);
    }
    let mut view = node.view.borrow_mut();
    for Decoded { item, change } in decoded {
        view.apply_change(now(), &item, change);
    }
    view.replace(now(), &*node.platform, &items, revision);
    drop(view);
    apply::publish_view(node);
    Ok(())
}

async fn apply_page(node: &Node, page: &Page) {
    node.arrivals.borrow_mut().record(page.revision, now());
    apply::apply_items(node, &page.items).await;
    let mut view = node.view.borrow_mut();
    view.revision = view.revision.max(page.revision);
    drop(view);
    apply::publish_view(node);
}

/// Waits before the next call, with jitter so that the nodes do not call at the same time.
async fn back_off(node: &Rc<Node>) {
    let jitter = node.random.borrow_mut().random_range(0..RETRY_DELAY_MS);
    tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS / 2 + jitter)).await;
}

fn record_answer(node: &Node, kind: &str) {
    node.store_answered.set(now());
    node.metrics
        .store_calls
        .with_label_values(&[kind, "answered"])
        .inc();
    if node.view.borrow_mut().outage.record_answer(now()) {
        tracing::info!(event = "store-regained", call = kind);
    }
}

fn record_fault(node: &Node, kind: &str, fault: &Fault) {
    node.metrics
        .store_calls
        .with_label_values(&[kind, "failed"])
        .inc();
    let mut view = node.view.borrow_mut();
    if view.outage.record_failure() {
        tracing::warn!(event = "store-lost", call = kind, reason = %fault, revision = view.revision);
    }
}
