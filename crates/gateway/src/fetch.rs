//! Fetching large items from other nodes.
//!
//! A node that heard of a [large](crate::large) item asks those that have it, one at a time and
//! beside everything else that it does: the watchers of its availability zone, then any peers, and
//! the store itself only when none of them has given it for 0.8 s.

use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt as _;
use rand::seq::SliceRandom as _;

use crate::apply;
use crate::clock::now;
use crate::large::{Awaited, Notice};
use crate::message;
use crate::node::Node;
use crate::piece::Piece;
use crate::platform::{Item, StoreRequest, StoreResponse as Stored};
use crate::publisher::{Answer, PATH, Question};
use crate::source::{self, Source};

/// Longest wait for the head of an answer. A node that has the item answers in milliseconds; one
/// that is silent, frozen or short of link must not hold the change up.
const HEAD: Duration = Duration::from_millis(300);
/// Milliseconds for which peers are asked before the store is. A change must be in force within
/// some seconds, and the whole value takes the slowest link one of them.
const PEERS_MS: u64 = 800;
/// Least and most milliseconds between two rounds: those who were told first have the item by then.
const PAUSE_MS: Range<u64> = 40..120;
/// The same once peers have not given it for [`PEERS_MS`]. When the store is away and nobody has
/// the item, each round of each node costs others five questions.
const LATE_PAUSE_MS: Range<u64> = 300..600;
/// Peers that are asked besides the watchers in each round. Each that has the item is asked by two
/// others on the mean, so in each round twice as many have it.
const OTHERS: usize = 2;

/// Takes in notices from a peer at `teller`.
pub fn hear(node: &Node, notices: &[Notice], teller: SocketAddr) {
    let mut view = node.view.borrow_mut();
    for notice in notices {
        if view.hear_large(now(), notice, teller) {
            node.awaits.notify_one();
        }
    }
}

/// Fetches what is awaited until the process ends.
pub async fn run(node: Rc<Node>) {
    loop {
        let next = node.view.borrow().large.next();
        let Some(awaited) = next else {
            node.awaits.notified().await;
            continue;
        };
        if !fetch(&node, &awaited).await {
            let is_late = now() >= awaited.since.plus_millis(PEERS_MS);
            let range = if is_late { LATE_PAUSE_MS } else { PAUSE_MS };
            let pause = node.random.borrow_mut().random_range(range);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }
}

/// Asks in turn those that may have the item; returns whether one gave it.
async fn fetch(node: &Rc<Node>, awaited: &Awaited) -> bool {
    let mut can_refer = true;
    for address in sources(node, awaited) {
        let piece = match ask(node, awaited, address, can_refer).await {
            Ok(Answer::Found(piece)) => piece,
            Ok(Answer::Behind | Answer::Busy) => continue,
            Err(error) => {
                note_failed(awaited, address, &error);
                continue;
            }
        };
        match take(node, awaited, &piece).await {
            Ok(()) => {
                note_taken(node, awaited, address);
                return true;
            }
            Err(error) => {
                note_failed(awaited, address, &error);
                // What one side has as the base may be what is wrong.
                can_refer = false;
            }
        }
    }
    let is_away = node.view.borrow().outage.is_ongoing();
    if is_away || now() < awaited.since.plus_millis(PEERS_MS) {
        return false;
    }
    read(node, awaited).await
}

/// The watchers in any order, so that they share the work, then some peers.
fn sources(node: &Node, awaited: &Awaited) -> Vec<SocketAddr> {
    let mut watchers: Vec<SocketAddr> = match source::source(node) {
        Source::Others(others) => others.into_iter().map(|(_, address)| address).collect(),
        Source::Store | Source::StoreForOthers => Vec::new(),
    };
    if !watchers.contains(&awaited.teller) {
        watchers.push(awaited.teller);
    }
    let (own_zone, own_address) = {
        let settings = node.settings.borrow();
        (settings.zone.clone(), settings.peers)
    };
    let view = node.view.borrow();
    let near = view.nodes.values().filter(|peer| peer.zone == own_zone);
    let mut others: Vec<SocketAddr> = near
        .map(|peer| peer.address)
        .filter(|address| !watchers.contains(address))
        .collect();
    let random = &mut *node.random.borrow_mut();
    watchers.shuffle(random);
    others.shuffle(random);
    others.truncate(OTHERS);
    watchers.extend(others);
    watchers.retain(|address| *address != own_address);
    watchers
}

async fn ask(
    node: &Node,
    awaited: &Awaited,
    address: SocketAddr,
    can_refer: bool,
) -> anyhow::Result<Answer> {
    let key = awaited.notice.key.clone();
    let known = node.view.borrow().revision_of(&key);
    let question = Question {
        key,
        revision: awaited.notice.revision,
        base: if can_refer { known } else { 0 },
    };
    message::ask(node, address, PATH, &question, HEAD).await
}

/// Puts the value together and takes it in.
async fn take(node: &Node, awaited: &Awaited, piece: &Piece) -> anyhow::Result<()> {
    let item = {
        let view = node.view.borrow();
        let base = view.value(&awaited.notice.key, piece.base);
        piece.item(&awaited.notice, base)?
    };
    apply::take_items(node, &[item]).await;
    apply::note_view(node);
    Ok(())
}

fn note_failed(awaited: &Awaited, peer: SocketAddr, error: &anyhow::Error) {
    tracing::warn!(
        event = "large-item-failed",
        key = awaited.notice.key,
        revision = awaited.notice.revision,
        peer = %peer,
        reason = %error
    );
}

fn note_taken(node: &Node, awaited: &Awaited, peer: SocketAddr) {
    let took = now().since(awaited.since);
    node.metrics.large_seconds.observe(took.as_secs_f64());
    tracing::info!(
        event = "large-item",
        key = awaited.notice.key,
        revision = awaited.notice.revision,
        bytes = awaited.notice.length,
        peer = %peer,
        ms = took.as_secs_f64() * 1_000.0
    );
}

/// Reads the item from the store.
async fn read(node: &Node, awaited: &Awaited) -> bool {
    let key = &awaited.notice.key;
    let call = StoreRequest::Range {
        prefix: key,
        after: None,
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
    // A key that is gone was removed after the notice.
    let item = found.unwrap_or_else(|| Item {
        key: key.clone(),
        value: None,
        revision: page.revision,
    });
    tracing::info!(
        event = "large-item",
        key,
        revision = item.revision,
        bytes = item.value.as_ref().map_or(0, String::len),
        peer = "store"
    );
    apply::take_items(node, &[item]).await;
    // What the store has is what there is, whatever a peer has told.
    node.view.borrow_mut().large.settle(&awaited.notice);
    apply::note_view(node);
    true
}
