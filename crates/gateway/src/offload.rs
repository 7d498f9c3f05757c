//! Processing of large items on another thread, so that it does not block requests.
//!
//! A node has one thread and, on the smallest instance, an eighth of a core. Decoding a
//! configuration of 2,000 routes takes 2.6 ms of a whole core, so 22 ms there. On the same thread no
//! request would be read and no event of a stream forwarded in that time. With a second thread the
//! operating system alternates between the two.

use anyhow::Context as _;
use fescuerack_core::clock::Instant;

use crate::clock::now;
use crate::large::MIN_LARGE_BYTES;
use crate::node::Node;
use crate::platform::{Change, Item};

/// Minimum size of a response or value that is processed on another thread. A configuration of 11 KB
/// is decoded in 0.07 ms of a whole core, or 0.6 ms of an eighth of one, which is negligible for
/// callers; a handover takes 12 us.
pub const MIN_BYTES: usize = 4 * MIN_LARGE_BYTES;

/// An item and its decoded form.
#[derive(Debug)]
pub struct Decoded {
    /// The item.
    pub item: Item,
    /// Decoded form.
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
    done.context("offloaded task panicked")
}

/// Whether `item` must be decoded on another thread.
#[must_use]
pub fn is_needed(item: &Item) -> bool {
    item.value
        .as_ref()
        .is_some_and(|value| value.len() >= MIN_BYTES)
}

/// Decodes an item on another thread; returns `None` if the view has it already.
///
/// An item whose decoding panics counts as unreadable. If it were skipped, it would be missing for
/// ever without a record, since the node continues after its revision.
pub async fn decode(node: &Node, item: Item) -> Option<Decoded> {
    if item.revision <= node.view.borrow().revision_of(&item.key) {
        return None;
    }
    let (platform, encoded) = (node.platform.clone(), item.clone());
    let started = now();
    let change = run(move || platform.decode_item(&encoded)).await;
    let change = change.unwrap_or_else(|error| Change::Unreadable(format!("{error:#}")));
    log_decoded(&item, started);
    Some(Decoded { item, change })
}

fn log_decoded(item: &Item, started: Instant) {
    tracing::info!(
        event = "decoded",
        key = item.key,
        revision = %item.revision,
        bytes = item.value.as_ref().map_or(0, String::len),
        ms = now().since(started).as_secs_f64() * 1_000.0
    );
}
