//! Long polling of a watcher of the store for updates; see [`watcher`].

use std::net::SocketAddr;
use std::time::Duration;

use fescuerack_core::gateway::watcher;
use serde::{Deserialize, Serialize};

use crate::arrival::Arrival;
use crate::clock::now;
use crate::large::Notice;
use crate::message;
use crate::node::Node;
use crate::platform::Item;

/// Path on which a watcher is polled.
pub const PATH: &str = "/follow";
/// Time that a poll may take beyond its wait at the watcher.
const POLL_MARGIN: Duration = Duration::from_millis(300);

/// A poll, as a node sends it to a watcher.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct PollRequest {
    /// Revision after which the node needs updates.
    after: u64,
    /// Whether the node accepts notices of large items. Earlier versions of the program do not, and
    /// would continue without these items, so they receive the items themselves.
    #[serde(default)]
    takes_notices: bool,
}

/// A watcher's response to a poll.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Updates {
    /// Items that changed.
    pub items: Vec<Item>,
    /// Large items that changed.
    #[serde(default)]
    pub large: Vec<Notice>,
    /// When the changes arrived at the first node that received them.
    #[serde(default)]
    pub arrivals: Vec<Arrival>,
    /// Revision up to which these are all changes.
    pub revision: u64,
    /// Milliseconds since the store last answered the watcher.
    pub age_ms: u64,
    /// Whether the watcher has recorded every change since the revision of the poll.
    pub is_whole: bool,
}

/// Polls a watcher for changes after the revision `after`; the poll waits there for updates.
///
/// # Errors
///
/// When no response arrives in time.
pub async fn poll(node: &Node, address: SocketAddr, after: u64) -> anyhow::Result<Updates> {
    let timeout = Duration::from_millis(watcher::PEER_WAIT_MS) + POLL_MARGIN;
    let request = PollRequest {
        after,
        takes_notices: true,
    };
    message::send(node, address, PATH, &request, timeout).await
}

/// Answers a poll as soon as there are updates, or after [`watcher::PEER_WAIT_MS`].
pub async fn serve(node: &Node, request: PollRequest) -> Updates {
    if node.store_age_ms() > watcher::MAX_AGE_MS {
        // This node is stale: the polling node must poll another one without delay.
        return updates_since(node, request);
    }
    let mut followed = node.followed_revision.subscribe();
    let wait = Duration::from_millis(watcher::PEER_WAIT_MS);
    let has_updates = followed.wait_for(|revision| *revision > request.after);
    // A response without updates still reports how fresh this node is.
    let _ = tokio::time::timeout(wait, has_updates).await;
    updates_since(node, request)
}

fn updates_since(node: &Node, request: PollRequest) -> Updates {
    let view = node.view.borrow();
    let (items, large, revision) = if request.takes_notices {
        view.batch_since(request.after)
    } else {
        (view.items_since(request.after), Vec::new(), view.revision)
    };
    Updates {
        items,
        large,
        arrivals: node.arrivals.borrow().since(now(), request.after),
        revision,
        age_ms: node.store_age_ms(),
        is_whole: view.has_changes_since(request.after),
    }
}
