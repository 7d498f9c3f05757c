//! Telling large items to the nodes that ask for them.

use std::cell::RefCell;

use serde::{Deserialize, Serialize};
use tokio::sync::Mutex;

use crate::node::Node;
use crate::offload;
use crate::piece::Piece;
use crate::places::{Place, Places};
use crate::platform::Item;

/// Path on which a node is asked for a large item.
pub const PATH: &str = "/large";
/// Differences that are kept for the next who asks. Nodes of a zone follow each other within a second,
/// so most have one of the last few versions; each is some ten kilobytes.
const KEPT: usize = 4;

/// What a node asks for.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Question {
    /// Key.
    pub key: String,
    /// Revision that is needed at least.
    pub revision: u64,
    /// Revision of the value that the asking node has; zero for none.
    pub base: u64,
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
pub struct Publisher {
    kept: RefCell<Vec<Piece>>,
    places: Places,
    /// Held while a piece is written.
    writing: Mutex<()>,
}

impl Publisher {
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
    let Some(place) = node.publisher.places.take() else {
        return (Answer::Busy, None);
    };
    // Many ask for the same at once; the first one's piece is there for the others.
    let _writing = node.publisher.writing.lock().await;
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
        if let Some(piece) = node.publisher.find(item, base_revision) {
            return Ok(Some(piece));
        }
        let base = base.unwrap_or_default().to_owned();
        (item.clone(), base, base_revision)
    };
    let piece = offload::run(move || Piece::new(&item, &base, base_revision)).await??;
    node.publisher.keep(piece.clone());
    Ok(Some(piece))
}
