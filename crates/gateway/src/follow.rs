//! Replication of the store: the whole state once ([`bootstrap`]), then one watch call at a time.
//!
//! A burst of changes costs one call, since after a change the node waits for a quarter of a second
//! before the next watch. While the store does not answer, the node continues with its current view
//! and asks a peer for newer items.
//!
//! In a region with large availability zones only two nodes watch the store. The hubs of the zones
//! poll these watchers, and the other nodes poll their hubs ([`watcher`]). If none of them is fresh,
//! hubs and deputies watch the store themselves, and the others at a bounded rate.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::watcher;
use rand::RngExt as _;
use tokio::task::JoinSet;

use crate::apply;
use crate::bootstrap;
use crate::clock::now;
use crate::fetch;
use crate::history;
use crate::node::Node;
use crate::peer;
use crate::platform::{Page, StoreRequest, StoreResponse};
use crate::probe;
use crate::read;
use crate::source::{self, Parent, Peers, Source};
use crate::store::Fault;
use crate::updates::{self, Updates};

/// Milliseconds that a watch waits at the store. A watch on a dead connection times out one second
/// after that, unless a [`probe`] detects it earlier.
const WATCH_WAIT_MS: u64 = 4_000;
/// Milliseconds for which changes accumulate before the next watch.
const BATCH_MS: u64 = 250;
/// Milliseconds that a watch waits at the store during an outage. A long watch of a store that does
/// not answer times out only seconds later, and a node that started one just before the end of the
/// outage would receive nothing in the meantime.
const OUTAGE_WATCH_WAIT_MS: u64 = 50;
/// Time after the first answer without changes within which the other peers must answer.
const STRAGGLER_DELAY: Duration = Duration::from_millis(100);
/// Mean of the milliseconds between two calls during an outage.
const RETRY_DELAY_MS: u64 = 350;

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
    let mut has_history = false;
    let mut follower = Follower::default();
    loop {
        if !has_history {
            get_state(&node).await;
            peer::join_rollouts(&node).await;
        }
        let source = source::current(&node);
        let is_outage = node.view.borrow().outage.is_ongoing();
        let step = match &source {
            Source::Peers(peers) if is_outage => {
                follower.follow_in_outage(&node, &source, peers).await
            }
            Source::Peers(peers) if now() >= follower.direct_until => {
                follower.follow_peers(&node, &source, peers).await
            }
            Source::Store if follow_parent(&node).await => Step::Continue,
            _ => watch(&node, &source).await,
        };
        has_history = step == Step::Continue;
    }
}

/// Waits until the node has the state of the store for the first time.
pub async fn wait_for_state(node: &Node) {
    let mut followed = node.followed_revision.subscribe();
    // The sender lives as long as the node.
    let _ = followed.wait_for(|revision| !revision.is_origin()).await;
}

/// Gets the whole state, at the start or after the store has lost the history since this node's
/// revision.
///
/// In the second case other nodes are polled meanwhile, and the state is not needed any more once one
/// of them has continued the history.
async fn get_state(node: &Rc<Node>) {
    if !node.view.borrow().has_state() {
        bootstrap::run(node).await;
        return;
    }
    // What was applied of a state that is given up is what the store has, and stays.
    tokio::select! {
        () = reload(node) => {}
        () = history::run(node) => {}
    }
}

/// Gets the whole state after the store has lost the history.
///
/// The nodes that others rely on read the store: they are few, and providers may follow them. The
/// others take a snapshot.
async fn reload(node: &Rc<Node>) {
    let has_deputies = match source::current(node) {
        Source::Peers(peers) => !peers.deputies.is_empty(),
        Source::Store | Source::StoreAsWatcher => false,
    };
    if has_deputies {
        bootstrap::run(node).await;
        return;
    }
    while read::read_all(node).await.is_err() {
        back_off(node).await;
    }
}

/// State of a node that follows other nodes.
#[derive(Debug, Default)]
struct Follower {
    /// Until when the node watches the store itself.
    direct_until: Instant,
    /// When it may call the store again, if it has deputies to poll.
    next_call: Instant,
}

impl Follower {
    /// Polls the first peer and, if it is not fresh, all others at once: a node that waited for one
    /// after the other would receive the changes since the loss of its hubs seconds late. Hubs and
    /// deputies call the store at the same time, as the nodes that follow them wait for them. Any
    /// other node calls it if no peer is fresh and it may.
    async fn follow_peers(&mut self, node: &Rc<Node>, source: &Source, peers: &Peers) -> Step {
        let mut all = all_peers(node, peers);
        let others = all.split_off(1.min(all.len()));
        if follow_watcher(node, &all).await {
            return Step::Continue;
        }
        if peers.deputies.is_empty() {
            return self.follow_any(node, source, &others).await;
        }
        if let Some((updates, address)) = poll_all(node, &others).await {
            apply_updates(node, &updates, address).await;
            return Step::Continue;
        }
        if self.may_call_store(node, peers) {
            self.direct_until = now().plus_millis(watcher::DIRECT_WATCH_MS);
            return watch(node, source).await;
        }
        // All of a zone may be cut off from the store, and other zones have newer items.
        tokio::join!(back_off(node), peer::catch_up(node));
        Step::Continue
    }

    /// Polls all peers and calls the store at the same time, and continues with the first answer.
    async fn follow_any(
        &mut self,
        node: &Rc<Node>,
        source: &Source,
        peers: &[(String, SocketAddr)],
    ) -> Step {
        tokio::select! {
            Some((updates, address)) = poll_all(node, peers) => {
                apply_updates(node, &updates, address).await;
                Step::Continue
            }
            step = watch(node, source) => {
                self.direct_until = now().plus_millis(watcher::DIRECT_WATCH_MS);
                step
            }
        }
    }

    /// Polls all peers during an outage of the store, and calls the store at the same time if the
    /// node may.
    ///
    /// Watchers may not answer either. If they and the store were called one after the other, a
    /// node would detect the end of the outage up to 2.8 s late.
    async fn follow_in_outage(&mut self, node: &Rc<Node>, source: &Source, peers: &Peers) -> Step {
        let all = all_peers(node, peers);
        if self.may_call_store(node, peers) {
            return self.follow_any(node, source, &all).await;
        }
        match tokio::join!(poll_all(node, &all), peer::catch_up(node)).0 {
            Some((updates, address)) => apply_updates(node, &updates, address).await,
            None => back_off(node).await,
        }
        Step::Continue
    }

    /// Returns whether the node may call the store now. The nodes that others rely on always may.
    fn may_call_store(&mut self, node: &Node, peers: &Peers) -> bool {
        if peers.deputies.is_empty() {
            return true;
        }
        if now() < self.next_call {
            return false;
        }
        let interval_ms = watcher::probe_interval_ms(node.view.borrow().membership.count()).max(1);
        let jitter_ms = node.random.borrow_mut().random_range(0..interval_ms);
        self.next_call = now().plus_millis(interval_ms / 2 + jitter_ms);
        true
    }
}

/// Returns hubs, recent parent and deputies in the order in which they are polled.
fn all_peers(node: &Node, peers: &Peers) -> Vec<(String, SocketAddr)> {
    let mut all = peers.hubs.clone();
    all.extend(recent_parent(node));
    all.extend_from_slice(&peers.deputies);
    node.failed_nodes.borrow().ordered(&all)
}

/// Records the node from which this one has received its state.
pub fn set_parent(node: &Node, address: SocketAddr) {
    node.parent.set(Some(Parent::new(now(), address)));
}

/// Returns the parent, if the node started a moment ago.
fn recent_parent(node: &Node) -> Option<(String, SocketAddr)> {
    let parent = node.parent.get().filter(|parent| now() < parent.until)?;
    Some(("parent".to_owned(), parent.address))
}

/// Polls the parent, if the node started a moment ago. Returns whether it gave a fresh response.
async fn follow_parent(node: &Rc<Node>) -> bool {
    let Some(parent) = recent_parent(node) else {
        return false;
    };
    let is_fresh = follow_watcher(node, &[parent]).await;
    if !is_fresh {
        node.parent.set(None);
    }
    is_fresh
}

/// Polls all peers at the same time, and returns the first fresh response and who gave it.
///
/// A peer that has no changes answers when its wait is over, so all of them answer at about the same
/// time. One that has not answered shortly after is polled last next time.
async fn poll_all(
    node: &Rc<Node>,
    peers: &[(String, SocketAddr)],
) -> Option<(Updates, SocketAddr)> {
    let mut polls = JoinSet::new();
    let mut unanswered: HashSet<SocketAddr> = HashSet::new();
    for (name, address) in peers.iter().cloned() {
        unanswered.insert(address);
        let node = node.clone();
        polls.spawn_local(async move { (address, fresh_updates(&node, &name, address).await) });
    }
    let first = loop {
        let (address, updates) = polls.join_next().await?.ok()?;
        unanswered.remove(&address);
        if let Some(updates) = updates {
            break (updates, address);
        }
    };
    if !first.0.has_changes() {
        let until = tokio::time::Instant::now() + STRAGGLER_DELAY;
        while let Ok(Some(Ok((address, _)))) =
            tokio::time::timeout_at(until, polls.join_next()).await
        {
            unanswered.remove(&address);
        }
        let mut failed = node.failed_nodes.borrow_mut();
        for address in unanswered {
            failed.record(address);
        }
    }
    Some(first)
}

/// Polls the watchers in turn and applies the first fresh response. Returns whether there was one.
async fn follow_watcher(node: &Rc<Node>, watchers: &[(String, SocketAddr)]) -> bool {
    for &(ref name, address) in watchers {
        if let Some(updates) = fresh_updates(node, name, address).await {
            apply_updates(node, &updates, address).await;
            return true;
        }
        node.failed_nodes.borrow_mut().record(address);
    }
    false
}

/// Polls a watcher. Returns its updates, or `None` if it does not answer, is stale or lacks changes
/// after this node's revision. What a stale one has without a gap is applied.
pub async fn fresh_updates(node: &Node, name: &str, address: SocketAddr) -> Option<Updates> {
    let after = node.view.borrow().revision;
    match updates::poll(node, address, after).await {
        Ok(updates) if updates.is_whole && updates.age_ms <= watcher::MAX_AGE_MS => {
            return Some(updates);
        }
        Ok(updates) => {
            tracing::info!(
                event = "watcher-stale",
                peer = name,
                age_ms = updates.age_ms,
                whole = updates.is_whole,
                after = %after
            );
            if updates.is_whole {
                apply_changes(node, &updates, address).await;
                apply::publish_view(node);
            }
        }
        Err(error) => tracing::info!(event = "peer-failed", peer = name, reason = %error),
    }
    None
}

/// Applies the updates of a fresh peer.
pub async fn apply_updates(node: &Node, updates: &Updates, peer: SocketAddr) {
    apply_changes(node, updates, peer).await;
    let is_back = node.view.borrow_mut().outage.record_answer(now());
    if is_back {
        report_return(node, "watcher");
    }
    apply::publish_view(node);
}

/// Applies updates without a gap after this node's revision, of a peer that may be stale. That does
/// not end an outage.
async fn apply_changes(node: &Node, updates: &Updates, peer: SocketAddr) {
    // Nodes that follow this one receive the age of the store's answer, not of the watcher's.
    let answered = now().minus_millis(updates.age_ms);
    node.store_answered
        .set(answered.max(node.store_answered.get()));
    for arrival in &updates.arrivals {
        let at = now().minus_millis(arrival.age_ms);
        node.arrivals.borrow_mut().record(arrival.revision, at);
    }
    apply::apply_items(node, &updates.items).await;
    node.view.borrow_mut().advance(now(), updates.revision);
    fetch::receive_notices(node, &updates.large, peer);
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
        prefix: read::ALL_KEYS,
        after,
        wait_ms,
    };
    let answer = if is_outage || *source != Source::Store {
        call_store(node, &call, is_outage).await
    } else {
        probe::watch(node, &call, after).await
    };
    match answer {
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
            tracing::info!(event = "history-gone", after = %after);
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

async fn apply_page(node: &Node, page: &Page) {
    node.arrivals.borrow_mut().record(page.revision, now());
    apply::apply_items(node, &page.items).await;
    let mut view = node.view.borrow_mut();
    view.advance(now(), page.revision);
    drop(view);
    apply::publish_view(node);
}

/// Waits before the next call, with jitter so that the nodes do not call at the same time.
pub async fn back_off(node: &Rc<Node>) {
    let jitter = node.random.borrow_mut().random_range(0..RETRY_DELAY_MS);
    tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS / 2 + jitter)).await;
}

/// Records that the store has answered a call of `kind`.
pub fn record_answer(node: &Node, kind: &str) {
    node.store_answered.set(now());
    node.metrics
        .store_calls
        .with_label_values(&[kind, "answered"])
        .inc();
    let is_back = node.view.borrow_mut().outage.record_answer(now());
    if is_back {
        report_return(node, kind);
    }
}

fn report_return(node: &Node, kind: &str) {
    tracing::info!(event = "store-regained", call = kind);
    node.store_regained.notify_one();
}

/// Records that a call of `kind` to the store failed.
pub fn record_fault(node: &Node, kind: &str, fault: &Fault) {
    node.metrics
        .store_calls
        .with_label_values(&[kind, "failed"])
        .inc();
    let mut view = node.view.borrow_mut();
    if view.outage.record_failure() {
        tracing::warn!(event = "store-lost", call = kind, reason = %fault, revision = %view.revision);
    }
}
