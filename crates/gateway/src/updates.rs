//! Long polling of a watcher of the store for updates; see [`watcher`].
//!
//! A hub answers all nodes of its zone with the same changes. It encodes them once: the answer is a
//! head, one line in JSON, and a batch of changes in JSON, compressed if it is long. When ten
//! thousand servers register or a zone is lost, these batches fill the links of the hubs otherwise.

use std::cell::RefCell;
use std::io::Read as _;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use fescuerack_core::gateway::position::Position;
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
/// Maximum number of encoded batches that are kept. Most nodes poll for the same changes, and some
/// are a batch behind.
const MAX_BATCHES: usize = 4;
/// Minimum size in bytes of a batch that is compressed: some packets.
const MIN_COMPRESSED_BYTES: usize = 4_096;
/// Maximum size in bytes of a decoded batch.
const MAX_DECODED_BYTES: u64 = 16 << 20;
/// Compression level, the lowest of the library's usual range.
const COMPRESSION_LEVEL: i32 = 1;
/// Time that a poll may take beyond its wait at the watcher.
const POLL_MARGIN: Duration = Duration::from_millis(300);

/// A poll, as a node sends it to a watcher.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct PollRequest {
    /// Revision after which the node needs updates.
    after: Position,
    /// Whether the node accepts notices of large items. Earlier versions of the program do not, and
    /// would continue without these items, so they receive the items themselves.
    #[serde(default)]
    takes_notices: bool,
    /// Whether the node accepts a head and a batch. Earlier versions of the program receive
    /// [`Updates`] in JSON.
    #[serde(default)]
    takes_batch: bool,
    /// Whether the node understands positions. Earlier versions of the program know revisions only,
    /// and must not take one for the other.
    #[serde(default)]
    takes_positions: bool,
}

/// The first line of an answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Head {
    arrivals: Vec<Arrival>,
    revision: Position,
    age_ms: u64,
    is_whole: bool,
    /// Whether these are positions, not revisions as earlier versions of the program send them.
    #[serde(default)]
    has_positions: bool,
}

/// Changes, as they follow the head.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Batch {
    items: Vec<Item>,
    large: Vec<Notice>,
}

/// An encoded batch of the changes after `after` that this node had when it had followed the store
/// to `followed`.
#[derive(Clone, Debug)]
struct EncodedBatch {
    after: Position,
    followed: Position,
    /// Number of changes that it had applied. A node that is cut off from the store receives items
    /// from peers without following it any further.
    applied: u64,
    /// Revision up to which these are all changes.
    revision: Position,
    bytes: Bytes,
}

/// The batches that this node has encoded last.
#[derive(Debug, Default)]
pub struct Batches(RefCell<Vec<EncodedBatch>>);

impl Batches {
    fn find(&self, after: Position, followed: Position, applied: u64) -> Option<EncodedBatch> {
        let batches = self.0.borrow();
        let mut batches = batches.iter();
        let is_same = |batch: &&EncodedBatch| {
            (batch.after, batch.followed, batch.applied) == (after, followed, applied)
        };
        batches.find(is_same).cloned()
    }

    fn insert(&self, batch: EncodedBatch) {
        let mut batches = self.0.borrow_mut();
        if batches.len() >= MAX_BATCHES {
            batches.remove(0);
        }
        batches.push(batch);
    }
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
    pub revision: Position,
    /// Milliseconds since the store last answered the watcher.
    pub age_ms: u64,
    /// Whether the watcher has recorded every change since the revision of the poll.
    pub is_whole: bool,
}

impl Updates {
    /// Whether there are changes among them.
    #[must_use]
    pub fn has_changes(&self) -> bool {
        !self.items.is_empty() || !self.large.is_empty()
    }
}

/// Polls a watcher for changes after the revision `after`; the poll waits there for updates.
///
/// # Errors
///
/// When no response arrives in time, or it cannot be decoded.
pub async fn poll(node: &Node, address: SocketAddr, after: Position) -> anyhow::Result<Updates> {
    let timeout = Duration::from_millis(watcher::PEER_WAIT_MS) + POLL_MARGIN;
    let request = PollRequest {
        after,
        takes_notices: true,
        takes_batch: true,
        takes_positions: true,
    };
    let request = serde_json::to_vec(&request)?;
    decode(&message::exchange(node, address, PATH, request, timeout).await?)
}

/// Answers a poll as soon as there are updates, or after [`watcher::PEER_WAIT_MS`].
///
/// # Errors
///
/// When the answer cannot be encoded.
pub async fn serve(node: &Node, mut request: PollRequest) -> anyhow::Result<Bytes> {
    if !request.takes_positions {
        let era = node.view.borrow().revision.era();
        request.after = request.after.in_era(era);
    }
    // If this node is stale, the polling node must poll another one without delay.
    if node.store_age_ms() <= watcher::MAX_AGE_MS {
        let mut followed = node.followed_revision.subscribe();
        let wait = Duration::from_millis(watcher::PEER_WAIT_MS);
        let has_updates = followed.wait_for(|revision| *revision > request.after);
        // A response without updates still reports how fresh this node is.
        let _ = tokio::time::timeout(wait, has_updates).await;
    }
    if !request.takes_positions {
        return encode_revisions(updates_since(node, request), request);
    }
    let batch = find_or_encode(node, request.after)?;
    let head = head(node, request.after, batch.revision);
    join(&head, &batch.bytes)
}

fn join(head: &Head, batch: &[u8]) -> anyhow::Result<Bytes> {
    let mut answer = serde_json::to_vec(head)?;
    answer.push(b'\n');
    answer.extend_from_slice(batch);
    Ok(answer.into())
}

/// Encodes updates for an earlier version of the program, which knows revisions only: those of the
/// present era.
fn encode_revisions(mut updates: Updates, request: PollRequest) -> anyhow::Result<Bytes> {
    let era = updates.revision.era();
    updates.items.retain(|item| item.revision.era() == era);
    updates.large.retain(|notice| notice.revision.era() == era);
    updates.arrivals.retain(|one| one.revision.era() == era);
    let items = updates.items.iter_mut().map(|item| &mut item.revision);
    let large = updates.large.iter_mut().map(|notice| &mut notice.revision);
    let arrivals = updates.arrivals.iter_mut().map(|one| &mut one.revision);
    for position in items.chain(large).chain(arrivals) {
        *position = position.in_era(0);
    }
    updates.revision = updates.revision.in_era(0);
    if !request.takes_batch {
        return Ok(serde_json::to_vec(&updates)?.into());
    }
    let head = Head {
        arrivals: updates.arrivals,
        revision: updates.revision,
        age_ms: updates.age_ms,
        is_whole: updates.is_whole,
        has_positions: false,
    };
    let batch = Batch {
        items: updates.items,
        large: updates.large,
    };
    join(&head, &encode_batch(&batch)?)
}

fn head(node: &Node, after: Position, revision: Position) -> Head {
    Head {
        arrivals: node.arrivals.borrow().since(now(), after),
        revision,
        age_ms: node.store_age_ms(),
        is_whole: node.view.borrow().has_changes_since(after),
        has_positions: true,
    }
}

fn find_or_encode(node: &Node, after: Position) -> anyhow::Result<EncodedBatch> {
    let view = node.view.borrow();
    if let Some(batch) = node.batches.find(after, view.revision, view.applied) {
        return Ok(batch);
    }
    let (items, large, revision) = view.batch_since(after);
    let batch = EncodedBatch {
        after,
        followed: view.revision,
        applied: view.applied,
        revision,
        bytes: encode_batch(&Batch { items, large })?,
    };
    node.batches.insert(batch.clone());
    Ok(batch)
}

fn encode_batch(batch: &Batch) -> anyhow::Result<Bytes> {
    let json = serde_json::to_vec(batch)?;
    if json.len() < MIN_COMPRESSED_BYTES {
        return Ok(json.into());
    }
    Ok(zstd::bulk::compress(&json, COMPRESSION_LEVEL)?.into())
}

fn decode(answer: &[u8]) -> anyhow::Result<Updates> {
    let Some(end) = answer.iter().position(|byte| *byte == b'\n') else {
        // An earlier version of the program answers in JSON without line breaks.
        anyhow::bail!("it knows revisions only");
    };
    let head: Head = serde_json::from_slice(&answer[..end])?;
    anyhow::ensure!(head.has_positions, "it knows revisions only");
    let batch = &answer[end + 1..];
    let is_json = batch.first() == Some(&b'{');
    let batch: Batch = if is_json {
        serde_json::from_slice(batch)?
    } else {
        let mut json = Vec::new();
        let decoder = zstd::Decoder::new(batch)?;
        decoder.take(MAX_DECODED_BYTES).read_to_end(&mut json)?;
        serde_json::from_slice(&json)?
    };
    Ok(Updates {
        items: batch.items,
        large: batch.large,
        arrivals: head.arrivals,
        revision: head.revision,
        age_ms: head.age_ms,
        is_whole: head.is_whole,
    })
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
