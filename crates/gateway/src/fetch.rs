//! Transfer of large items from other nodes.
//!
//! A node that received a notice of a [large](crate::large) item requests it from the nodes that may
//! have it, one at a time and concurrently with its other tasks. It asks the watchers of its
//! availability zone, then some peers, and the store only if none of them has provided the item
//! for 0.8 s.

use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt as _;
use rand::seq::SliceRandom as _;

use crate::apply;
use crate::clock::now;
use crate::delta::Delta;
use crate::large::{Awaited, Notice};
use crate::message;
use crate::node::Node;
use crate::platform::{Item, StoreRequest, StoreResponse as Stored};
use crate::publisher::{ItemRequest, ItemResponse, PATH};
use crate::source::{self, Source};
use fescuerack_core::gateway::position::Position;

/// Timeout for the head of a response. A node that has the item responds in milliseconds; one that
/// is down, frozen or short of bandwidth must not delay the change.
const HEAD_TIMEOUT: Duration = Duration::from_millis(300);
/// Milliseconds for which only peers are asked, before the store is. A change must become active
/// within some seconds, and reading the full value takes one of them on the slowest link.
const PEERS_ONLY_MS: u64 = 800;
/// Range of the milliseconds between two rounds. In that time the nodes that were notified first
/// get the item.
const ROUND_DELAY_MS: Range<u64> = 40..120;
/// The same range once [`PEERS_ONLY_MS`] have passed. If the store is down and no node has the item,
/// each round of each node costs the others five requests.
const LATE_ROUND_DELAY_MS: Range<u64> = 300..600;
/// Number of peers that are asked in each round besides the watchers. A node that has the item is
/// asked by two others on average, so the number of nodes that have it doubles in each round.
const PEERS_PER_ROUND: usize = 2;

/// Records notices from the node at `peer`.
pub fn receive_notices(node: &Node, notices: &[Notice], peer: SocketAddr) {
    let mut view = node.view.borrow_mut();
    for notice in notices {
        if view.record_notice(now(), notice, peer) {
            node.large_item_awaited.notify_one();
        }
    }
}

/// Fetches the awaited items until the process ends.
pub async fn run(node: Rc<Node>) {
    loop {
        let next = node.view.borrow().large.next_awaited();
        let Some(awaited) = next else {
            node.large_item_awaited.notified().await;
            continue;
        };
        if !fetch(&node, &awaited).await {
            let is_late = now() >= awaited.since.plus_millis(PEERS_ONLY_MS);
            let range = if is_late {
                LATE_ROUND_DELAY_MS
            } else {
                ROUND_DELAY_MS
            };
            let delay = node.random.borrow_mut().random_range(range);
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
    }
}

/// Requests the item from each node that may have it, then from the store if it is time. Returns
/// whether it was received.
///
/// Nodes that failed a moment ago are asked only during an outage of the store: waiting for them
/// would delay the read of the store.
async fn fetch(node: &Rc<Node>, awaited: &Awaited) -> bool {
    let is_outage = node.view.borrow().outage.is_ongoing();
    let mut allows_base = true;
    let mut sources = sources(node, awaited);
    let has_failed = |address: &SocketAddr| node.failed_nodes.borrow().contains(*address);
    if is_outage {
        sources.sort_by_cached_key(has_failed);
    } else {
        sources.retain(|address| !has_failed(address));
    }
    for address in sources {
        let delta = match request(node, awaited, address, allows_base).await {
            Ok(ItemResponse::Found(delta)) => delta,
            Ok(ItemResponse::Behind | ItemResponse::Busy) => continue,
            Err(error) => {
                log_failed(awaited, address, &error);
                node.failed_nodes.borrow_mut().record(address);
                continue;
            }
        };
        match apply_delta(node, awaited, &delta).await {
            Ok(()) => {
                record_received(node, awaited, address);
                return true;
            }
            Err(error) => {
                log_failed(awaited, address, &error);
                // The base value of one of the two nodes may be the wrong one.
                allows_base = false;
            }
        }
    }
    if is_outage || now() < awaited.since.plus_millis(PEERS_ONLY_MS) {
        return false;
    }
    read_from_store(node, awaited).await
}

/// Returns the nodes to ask: the watchers in random order, so that they share the load, then some
/// random peers of the same availability zone.
fn sources(node: &Node, awaited: &Awaited) -> Vec<SocketAddr> {
    let mut watchers: Vec<SocketAddr> = match source::current(node) {
        Source::Peers(peers) => peers.hubs.into_iter().map(|(_, address)| address).collect(),
        Source::Store | Source::StoreAsWatcher => Vec::new(),
    };
    if !watchers.contains(&awaited.peer) {
        watchers.push(awaited.peer);
    }
    let (local_zone, local_address) = {
        let settings = node.settings.borrow();
        (settings.zone.clone(), settings.peers)
    };
    let view = node.view.borrow();
    let same_zone = view.nodes.values().filter(|peer| peer.zone == local_zone);
    let mut peers: Vec<SocketAddr> = same_zone
        .map(|peer| peer.address)
        .filter(|address| !watchers.contains(address))
        .collect();
    let random = &mut *node.random.borrow_mut();
    watchers.shuffle(random);
    peers.shuffle(random);
    peers.truncate(PEERS_PER_ROUND);
    watchers.extend(peers);
    watchers.retain(|address| *address != local_address);
    watchers
}

async fn request(
    node: &Node,
    awaited: &Awaited,
    address: SocketAddr,
    allows_base: bool,
) -> anyhow::Result<ItemResponse> {
    let key = awaited.notice.key.clone();
    let known = node.view.borrow().revision_of(&key);
    let request = ItemRequest {
        key,
        revision: awaited.notice.revision,
        base: if allows_base { known } else { Position::ORIGIN },
    };
    message::send(node, address, PATH, &request, HEAD_TIMEOUT).await
}

/// Reconstructs the value and applies it.
async fn apply_delta(node: &Node, awaited: &Awaited, delta: &Delta) -> anyhow::Result<()> {
    let item = {
        let view = node.view.borrow();
        let base = view.value_at(&awaited.notice.key, delta.base);
        delta.apply(&awaited.notice, base)?
    };
    apply::apply_items(node, &[item]).await;
    apply::publish_view(node);
    Ok(())
}

fn log_failed(awaited: &Awaited, peer: SocketAddr, error: &anyhow::Error) {
    tracing::warn!(
        event = "large-item-failed",
        key = awaited.notice.key,
        revision = %awaited.notice.revision,
        peer = %peer,
        reason = %error
    );
}

fn record_received(node: &Node, awaited: &Awaited, peer: SocketAddr) {
    let elapsed = now().since(awaited.since);
    node.metrics
        .large_item_seconds
        .observe(elapsed.as_secs_f64());
    tracing::info!(
        event = "large-item",
        key = awaited.notice.key,
        revision = %awaited.notice.revision,
        bytes = awaited.notice.length,
        peer = %peer,
        ms = elapsed.as_secs_f64() * 1_000.0
    );
}

/// Reads the item from the store. Returns whether the store answered.
async fn read_from_store(node: &Node, awaited: &Awaited) -> bool {
    let key = &awaited.notice.key;
    let call = StoreRequest::Range {
        prefix: key,
        after: None,
        may_be_stale: false,
    };
    let page = match node.store.call(&call).await {
        Ok(Stored::Page(page)) => page,
        Ok(other) => {
            tracing::error!(event = "store-odd-answer", call = "range", answer = ?other);
            return false;
        }
        Err(fault) => {
            tracing::info!(event = "large-item-failed", key, peer = "store", reason = %fault);
            return false;
        }
    };
    let found = page.items.into_iter().find(|item| item.key == *key);
    // A key that is not in the store was removed after the notice.
    let item = found.unwrap_or_else(|| Item {
        key: key.clone(),
        value: None,
        revision: page.revision,
    });
    tracing::info!(
        event = "large-item",
        key,
        revision = %item.revision,
        bytes = item.value.as_ref().map_or(0, String::len),
        peer = "store"
    );
    apply::apply_items(node, &[item]).await;
    // The store is authoritative, whatever a peer has announced.
    node.view.borrow_mut().large.resolve(&awaited.notice);
    apply::publish_view(node);
    true
}
