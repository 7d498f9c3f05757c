//! Fetching large items from other nodes, and telling them.
//!
//! A node that heard of a [large](crate::large) item asks those that have it, one at a time and
//! beside everything else that it does: the watchers of its availability zone, then any peers, and the
//! store itself only when none of them has given it for [`PEERS_MS`].

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt as _;
use rand::seq::SliceRandom as _;
use serde::{Deserialize, Serialize};
use tokio::sync::Mutex;

use crate::apart;
use crate::clock::now;
use crate::edge::{Answer as Stored, Call, Item};
use crate::follow::{self, Source};
use crate::large::{Awaited, Notice};
use crate::message;
use crate::node::Node;
use crate::piece::Piece;

/// Path on which a node is asked for a large item.
pub const PATH: &str = "/large";
/// Longest wait for the head of an answer. A node that has the item answers in milliseconds; one that
/// is dark, frozen or short of link must not hold the change up.
const HEAD: Duration = Duration::from_millis(300);
/// Milliseconds for which peers are asked before the store is. A change must be in force within some
/// seconds, and the whole value takes the slowest link one of them.
const PEERS_MS: u64 = 800;
/// Least and most milliseconds between two rounds.
const PAUSE_MS: std::ops::Range<u64> = 40..120;
/// Peers that are asked besides the watchers in each round.
const OTHERS: usize = 2;
/// Answers that a node gives at a time. All at once end at the same late moment, and small news
/// gets one part of the link in as many as there are connections.
const AT_ONCE: usize = 4;
/// Differences that are kept for the next who asks.
const KEPT: usize = 4;

/// What a node asks for.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Question {
    key: String,
    /// Revision that is needed at least.
    revision: u64,
    /// Revision of the value that the asking node has; zero for none.
    base: u64,
}

/// What the asked node says.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Answer {
    /// The value.
    Found(Piece),
    /// It has no value of that revision.
    Behind,
    /// It is telling others.
    Busy,
}

/// What this node has told of large items.
#[derive(Debug, Default)]
pub struct Desk {
    kept: RefCell<Vec<Piece>>,
    places: Rc<Cell<usize>>,
    /// Held while a piece is written.
    writing: Mutex<()>,
}

/// One of the answers that a node gives at a time, until it is dropped.
#[derive(Debug)]
pub struct Place(Rc<Cell<usize>>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Desk {
    /// A place for one more answer, if there is one.
    fn place(&self) -> Option<Place> {
        let taken = self.places.get();
        (taken < AT_ONCE).then(|| {
            self.places.set(taken + 1);
            Place(self.places.clone())
        })
    }

    fn find(&self, item: &Item, base: u64) -> Option<Piece> {
        let is_same = |piece: &&Piece| {
            let notice = &piece.notice;
            (notice.key.as_str(), notice.revision, piece.base)
                == (item.key.as_str(), item.revision, base)
        };
        self.kept.borrow().iter().find(is_same).cloned()
    }

    fn keep(&self, piece: Piece) {
        let mut kept = self.kept.borrow_mut();
        if kept.len() >= KEPT {
            kept.remove(0);
        }
        kept.push(piece);
    }
}

/// Answers a question; the place is held until the answer has left.
pub async fn tell(node: &Node, question: &Question) -> (Answer, Option<Place>) {
    let is_here = {
        let view = node.view.borrow();
        view.item(&question.key, question.revision).is_some()
    };
    if !is_here {
        return (Answer::Behind, None);
    }
    let Some(place) = node.desk.place() else {
        return (Answer::Busy, None);
    };
    // Many ask for the same at once; the first one's piece is there for the others.
    let _writing = node.desk.writing.lock().await;
    match find_or_write(node, question).await {
        Ok(Some(piece)) => (Answer::Found(piece), Some(place)),
        Ok(None) => (Answer::Behind, None),
        Err(error) => {
            tracing::error!(event = "large-item-not-told", key = question.key, reason = %error);
            (Answer::Behind, None)
        }
    }
}

/// The piece that answers a question; `None` if the item was removed meanwhile.
async fn find_or_write(node: &Node, question: &Question) -> anyhow::Result<Option<Piece>> {
    let (item, base, base_revision) = {
        let view = node.view.borrow();
        let Some(item) = view.item(&question.key, question.revision) else {
            return Ok(None);
        };
        let base = view.large.former(&question.key, question.base);
        let base_revision = base.map_or(0, |_| question.base);
        if let Some(piece) = node.desk.find(item, base_revision) {
            return Ok(Some(piece));
        }
        let base = base.unwrap_or_default().to_owned();
        (item.clone(), base, base_revision)
    };
    let piece = apart::run(move || Piece::new(&item, &base, base_revision)).await??;
    node.desk.keep(piece.clone());
    Ok(Some(piece))
}

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
            let pause = node.random.borrow_mut().random_range(PAUSE_MS);
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
    let is_away = node.view.borrow().outage.is_away();
    if is_away || now() < awaited.since.plus_millis(PEERS_MS) {
        return false;
    }
    read(node, awaited).await
}

/// The watchers in any order, so that they share the work, then some peers.
fn sources(node: &Node, awaited: &Awaited) -> Vec<SocketAddr> {
    let mut watchers: Vec<SocketAddr> = match follow::source(node) {
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
        piece.item(&awaited.notice, base.unwrap_or_default())?
    };
    follow::take_items(node, &[item]).await;
    follow::note_view(node);
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
    let call = Call::Range {
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
    follow::take_items(node, &[item]).await;
    // What the store has is what there is, whatever a peer has told.
    node.view.borrow_mut().large.settle(&awaited.notice);
    follow::note_view(node);
    true
}
