//! Asking a watcher of the store for news, and telling them as one; see
//! [`watcher`].

use std::net::SocketAddr;
use std::time::Duration;

use fescuerack_core::routed::watcher;
use serde::{Deserialize, Serialize};

use crate::arrival::Arrival;
use crate::clock::now;
use crate::large::Notice;
use crate::message;
use crate::node::Node;
use crate::platform::Item;

/// Path on which a watcher is asked.
pub const PATH: &str = "/follow";
/// What a question to a watcher gets besides its wait there.
const MARGIN: Duration = Duration::from_millis(300);

/// What a node asks a watcher.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Question {
    /// Revision that it would go on from.
    after: u64,
    /// Whether it takes notices of large items. A program from before knows none and would
    /// go on without them, so it is told the items.
    #[serde(default)]
    takes_notices: bool,
}

/// What a watcher answers.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct News {
    /// Items that changed.
    pub items: Vec<Item>,
    /// Large items that changed.
    #[serde(default)]
    pub large: Vec<Notice>,
    /// When the changes came to the node that heard of them first.
    #[serde(default)]
    pub arrivals: Vec<Arrival>,
    /// Revision up to which the watcher has followed the store.
    pub revision: u64,
    /// Milliseconds since the store last answered the watcher.
    pub age_ms: u64,
    /// Whether the watcher remembers every change since the asked revision.
    pub is_whole: bool,
}

/// Asks a watcher for what changed after `after`; waits there for news.
///
/// # Errors
///
/// When no answer comes in time.
pub async fn ask(node: &Node, address: SocketAddr, after: u64) -> anyhow::Result<News> {
    let patience = Duration::from_millis(watcher::PEER_WAIT_MS) + MARGIN;
    let question = Question {
        after,
        takes_notices: true,
    };
    message::ask(node, address, PATH, &question, patience).await
}

/// Waits for news and tells them.
pub async fn tell(node: &Node, question: Question) -> News {
    if node.store_age_ms() > watcher::MAX_AGE_MS {
        // Whoever asks must look elsewhere, and soon.
        return known_since(node, question);
    }
    let mut changes = node.changes.subscribe();
    let wait = Duration::from_millis(watcher::PEER_WAIT_MS);
    let has_news = changes.wait_for(|revision| *revision > question.after);
    // Without news the answer says how fresh the watcher is.
    let _ = tokio::time::timeout(wait, has_news).await;
    known_since(node, question)
}

fn known_since(node: &Node, question: Question) -> News {
    let view = node.view.borrow();
    let (items, large) = if question.takes_notices {
        view.news_since(question.after)
    } else {
        (view.since(question.after), Vec::new())
    };
    News {
        items,
        large,
        arrivals: node.arrivals.borrow().since(now(), question.after),
        revision: view.revision,
        age_ms: node.store_age_ms(),
        is_whole: view.remembers(question.after),
    }
}
