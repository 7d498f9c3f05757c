//! Continuation from other nodes while a node waits for the whole state, because the store no longer
//! keeps the history after the node's revision.
//!
//! A provider that is cut off from the store gives no snapshot, and a read of the store takes
//! seconds. A node that only waited would miss changes that nodes beside it have, so it polls some
//! of them meanwhile. What a stale one has is applied, too, but only a fresh one makes the history
//! continuous again.

use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt as _;
use rand::seq::IteratorRandom as _;
use tokio::task::JoinSet;

use crate::follow;
use crate::node::Node;
use crate::source::{self, Source};

/// Number of other nodes that are polled besides hubs and deputies, which may all be cut off: if the
/// store refuses a third of the nodes, all of these are refused in one case of 81.
const RANDOM_PEERS: usize = 4;
/// Range of the milliseconds between two rounds. Stale nodes answer at once.
const ROUND_DELAY_MS: Range<u64> = 150..350;

/// Polls other nodes until a fresh one has continued the history of this node.
pub async fn run(node: &Rc<Node>) {
    while !poll_round(node).await {
        let delay_ms = node.random.borrow_mut().random_range(ROUND_DELAY_MS);
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}

/// Polls other nodes once. Returns whether a fresh one has continued the history.
async fn poll_round(node: &Rc<Node>) -> bool {
    let mut polls = JoinSet::new();
    for (name, address) in peers(node) {
        let node = node.clone();
        polls.spawn_local(async move {
            let updates = follow::fresh_updates(&node, &name, address).await?;
            Some((updates, name, address))
        });
    }
    while let Some(result) = polls.join_next().await {
        let Ok(Some((updates, peer, address))) = result else {
            continue;
        };
        let before = node.view.borrow().revision;
        // A fresh node may be as far behind, or not have heard of the store's return from a copy.
        let is_continued = updates.revision > before && updates.revision.era() >= node.store.era();
        follow::apply_updates(node, &updates, address).await;
        if is_continued {
            tracing::info!(event = "history-continued", peer, after = %before, revision = %updates.revision);
            return true;
        }
    }
    false
}

/// Returns the hubs and deputies of this node and some random other nodes.
fn peers(node: &Node) -> Vec<(String, SocketAddr)> {
    let mut peers = match source::current(node) {
        Source::Peers(peers) => [peers.hubs, peers.deputies].concat(),
        Source::Store | Source::StoreAsWatcher => Vec::new(),
    };
    let local = node.settings.borrow().instance.clone();
    let view = node.view.borrow();
    let others = view.nodes.iter().filter(|(name, _)| **name != local);
    let others = others.map(|(name, peer)| (name.clone(), peer.address));
    let others = others.filter(|peer| !peers.contains(peer));
    let mut random = node.random.borrow_mut();
    let sample: Vec<_> = others.sample(&mut *random, RANDOM_PEERS);
    peers.extend(sample);
    peers
}
