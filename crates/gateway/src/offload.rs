//! Work on large items beside the request path.
//!
//! The pattern: a node has one thread, and on the smallest machine an eighth of a core. Decoding
//! a configuration of 2,000 routes takes 2.6 ms of a whole core, so 22 ms there, in which no
//! stream's event is passed on and no request read. On a thread of its own the system gives it
//! its share in turn with the other.

use anyhow::Context as _;
use fescuerack_core::clock::Instant;

use crate::clock::now;
use crate::large::LARGE;
use crate::node::Node;
use crate::platform::{Change, Item};

/// Bytes from which on an answer or a value is worked on by another thread. A configuration of 11 KB is decoded in
/// 0.07 ms of a whole core, 0.6 ms of an eighth of one, which no caller notices; handing work over
/// takes 12 us.
pub const OFFLOADED: usize = 4 * LARGE;

/// An item and what it means.
#[derive(Debug)]
pub struct Decoded {
    /// The item.
    pub item: Item,
    /// What it means.
    pub change: Change,
}

/// Runs `work` on another thread.
///
/// # Errors
///
/// When it panics.
pub async fn run<T: Send + 'static>(
    work: impl FnOnce() -> T + Send + 'static,
) -> anyhow::Result<T> {
    let done = tokio::task::spawn_blocking(work).await;
    done.context("work on another thread broke off")
}

/// Whether `item` is decoded on another thread.
#[must_use]
pub fn suits(item: &Item) -> bool {
    item.value
        .as_ref()
        .is_some_and(|value| value.len() >= OFFLOADED)
}

/// Decodes an item, unless it is known already. One whose decoding breaks off cannot be read: passed
/// over, it would be missing for ever, since the node goes on from the revision after it.
pub async fn decode(node: &Node, item: Item) -> Option<Decoded> {
    if item.revision <= node.view.borrow().revision_of(&item.key) {
        return None;
    }
    let (platform, read) = (node.platform.clone(), item.clone());
    let began = now();
    let change = run(move || platform.decode_item(&read)).await;
    let change = change.unwrap_or_else(|error| Change::Unreadable(format!("{error:#}")));
    note_decoded(&item, began);
    Some(Decoded { item, change })
}

fn note_decoded(item: &Item, began: Instant) {
    tracing::info!(
        event = "decoded",
        key = item.key,
        revision = item.revision,
        bytes = item.value.as_ref().map_or(0, String::len),
        ms = now().since(began).as_secs_f64() * 1_000.0
    );
}
