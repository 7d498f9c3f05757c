//! Snapshots: the whole state of a node, for a node that starts.
//!
//! A snapshot is a Zstandard frame with one item in JSON on each line. A node that has received one
//! keeps the frame for a moment and passes it on as it is, even before it has applied it: encoding
//! or applying ten thousand entries takes an eighth of a core some tenths of a second.

use std::cell::RefCell;
use std::io::{BufRead as _, BufReader, Write as _};
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context as _, ensure};
use bytes::Bytes;
use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::bootstrap::{self, Receivers, Refusal};
use fescuerack_core::gateway::position::Position;
use fescuerack_core::gateway::watcher;
use rand::RngExt as _;
use serde::{Deserialize, Serialize};
use tokio::sync::{Mutex, watch};

use crate::clock::{age_ms, deadline, now};
use crate::fetch;
use crate::large::Notice;
use crate::message;
use crate::node::Node;
use crate::offload;
use crate::permits::{Permit, Permits};
use crate::platform::Item;
use crate::read::Load;
use crate::view::Completeness;

/// Path on which a node serves snapshots.
pub const PATH: &str = "/snapshot";
/// Milliseconds for which a frame is passed on. The receiver follows the changes since by itself.
const FRAME_TTL_MS: u64 = 2_000;
/// Compression level, the lowest of the library's usual range.
const COMPRESSION_LEVEL: i32 = 1;
/// Time that an answer may take beyond the wait at the node: that of encoding a frame.
const ANSWER_MARGIN: Duration = Duration::from_millis(900);

/// Request for a snapshot.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct SnapshotRequest {
    /// Address on which the requesting node listens for its peers.
    from: SocketAddr,
    /// Revision that the requesting node has; zero at its start. A snapshot must not be older.
    after: Position,
    /// Whether the node understands positions; earlier versions of the program know revisions only.
    #[serde(default)]
    takes_positions: bool,
}

/// Head of the answer, which is one line. A frame follows it if there is one.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Head {
    Frame {
        completeness: Completeness,
        /// Milliseconds since the store last answered the node that encoded the frame.
        age_ms: u64,
        /// Large items, among them those whose values the frame does not have yet.
        notices: Vec<Notice>,
        /// Whether these are positions, not revisions as earlier versions of the program send them.
        #[serde(default)]
        has_positions: bool,
    },
    Busy(Vec<SocketAddr>),
    Starting,
    /// Its calls to the store fail, and it has no state or only an old one.
    Failing,
}

/// An encoded snapshot.
#[derive(Clone, Debug)]
struct Frame {
    completeness: Completeness,
    notices: Vec<Notice>,
    /// When the store last answered the node that encoded it.
    answered_at: Instant,
    expires_at: Instant,
    bytes: Bytes,
}

/// State of serving snapshots.
#[derive(Debug, Default)]
pub struct Snapshots {
    frame: RefCell<Option<Frame>>,
    /// Revision of the newest frame or state that this node can serve.
    available: watch::Sender<Position>,
    receivers: RefCell<Receivers>,
    /// Held for each node that is served or waits.
    admitted: Permits,
    /// Held while a frame is sent. With several at a time, all would be complete at the same late
    /// moment, and none of their receivers could send until then.
    turn: Permits,
    /// Held while a frame is encoded.
    encoding: Mutex<()>,
}

impl Snapshots {
    /// Drops the frame that is kept, if it has expired.
    pub fn sweep(&self, now: Instant) {
        let mut frame = self.frame.borrow_mut();
        if frame.as_ref().is_some_and(|kept| now >= kept.expires_at) {
            *frame = None;
        }
    }

    /// Returns some of the nodes that have asked this one for a snapshot; `draw` is a random number.
    #[must_use]
    pub fn receivers(&self, draw: u64) -> Vec<SocketAddr> {
        self.receivers.borrow().referrals(draw)
    }

    /// Records that this node has a state of `revision`, which it can serve.
    pub fn publish(&self, revision: Position) {
        self.available.send_replace(revision);
    }

    fn keep(&self, frame: Frame) {
        self.publish(frame.completeness.revision);
        *self.frame.borrow_mut() = Some(frame);
    }

    fn kept(&self, now: Instant, min_revision: Position) -> Option<Frame> {
        let frame = self.frame.borrow();
        let frame = frame.as_ref().filter(|kept| now < kept.expires_at)?;
        (frame.completeness.revision >= min_revision).then(|| frame.clone())
    }
}

/// Answers a request. The permits are held until the response has been sent.
///
/// # Errors
///
/// When the snapshot cannot be encoded.
pub async fn serve(node: &Node, request: SnapshotRequest) -> anyhow::Result<(Bytes, Vec<Permit>)> {
    let snapshots = &node.snapshots;
    if !request.takes_positions {
        return Ok((encode_head(&Head::Starting)?, Vec::new()));
    }
    if is_failing(node, request.after) {
        snapshots.receivers.borrow_mut().record(request.from);
        return Ok((encode_head(&Head::Failing)?, Vec::new()));
    }
    let max = bootstrap::max_receivers(node.settings.borrow().link_mbps);
    let Some(admitted) = snapshots.admitted.try_acquire(max) else {
        let draw = node.random.borrow_mut().random();
        let referrals = Head::Busy(snapshots.receivers(draw));
        return Ok((encode_head(&referrals)?, Vec::new()));
    };
    snapshots.receivers.borrow_mut().record(request.from);
    let until = now().plus_millis(bootstrap::WAIT_MS);
    let prepared = tokio::time::timeout_at(deadline(until), async {
        let mut available = snapshots.available.subscribe();
        // The sender lives as long as the node.
        let _ = available.wait_for(|revision| !revision.is_origin()).await;
        snapshots.turn.acquire(1).await
    });
    let turn = prepared.await.ok();
    let Some(turn) = turn.filter(|_| can_serve(node, request.after)) else {
        return Ok((encode_head(&Head::Starting)?, Vec::new()));
    };
    let frame = find_or_encode(node, request.after).await?;
    let head = Head::Frame {
        completeness: frame.completeness,
        age_ms: age_ms(frame.answered_at),
        notices: frame.notices,
        has_positions: true,
    };
    let mut answer = encode_head(&head)?.to_vec();
    answer.extend_from_slice(&frame.bytes);
    Ok((answer.into(), vec![admitted, turn]))
}

/// Whether this node is cut off from the store and has no state for a node that has followed the
/// store to `after`. That node then replaces it as a provider sooner than one that is starting.
fn is_failing(node: &Node, after: Position) -> bool {
    let view = node.view.borrow();
    let is_stale = node.store_age_ms() > watcher::MAX_AGE_MS;
    let has_none = !view.has_state() || (!after.is_origin() && is_stale);
    view.outage.is_ongoing() && has_none
}

/// A node that starts takes any state, since it follows the changes afterwards. One that has lost
/// the history needs a state that is not as old as its own.
fn can_serve(node: &Node, after: Position) -> bool {
    let view = node.view.borrow();
    if after.is_origin() {
        return view.has_state() || node.snapshots.kept(now(), Position::ORIGIN).is_some();
    }
    let is_fresh = node.store_age_ms() <= watcher::MAX_AGE_MS;
    is_fresh && view.revision >= after
}

async fn find_or_encode(node: &Node, min_revision: Position) -> anyhow::Result<Frame> {
    // Many nodes request a snapshot at once; all but the first get the same frame.
    let _encoding = node.snapshots.encoding.lock().await;
    if let Some(frame) = node.snapshots.kept(now(), min_revision) {
        return Ok(frame);
    }
    let (items, completeness, notices) = {
        let view = node.view.borrow();
        // The frame of a node that is still applying it may have expired.
        ensure!(view.has_state(), "the state is not whole yet");
        let notices = view.large.notices_since(Position::ORIGIN);
        (view.all_items(), view.completeness(), notices)
    };
    let bytes = offload::run(move || encode(&items)).await??;
    let frame = Frame {
        completeness,
        notices,
        answered_at: node.store_answered.get(),
        expires_at: now().plus_millis(FRAME_TTL_MS),
        bytes,
    };
    node.snapshots.keep(frame.clone());
    Ok(frame)
}

/// Asks the node at `address` for a snapshot and applies it.
///
/// # Errors
///
/// Why the node gave none.
pub async fn receive(node: &Node, address: SocketAddr) -> Result<(), Refusal> {
    match request(node, address).await {
        Ok(refusal) => refusal.map_or(Ok(()), Err),
        Err(error) => {
            tracing::info!(event = "snapshot-failed", peer = %address, reason = %format!("{error:#}"));
            Err(Refusal::Silent)
        }
    }
}

async fn request(node: &Node, address: SocketAddr) -> anyhow::Result<Option<Refusal>> {
    let request = SnapshotRequest {
        from: node.settings.borrow().peers,
        after: node.view.borrow().revision,
        takes_positions: true,
    };
    let timeout = Duration::from_millis(bootstrap::WAIT_MS) + ANSWER_MARGIN;
    let request = serde_json::to_vec(&request)?;
    let answer = message::exchange(node, address, PATH, request, timeout).await?;
    let end = answer.iter().position(|byte| *byte == b'\n');
    let end = end.context("answer has no head")?;
    match serde_json::from_slice(&answer[..end])? {
        Head::Busy(others) => Ok(Some(Refusal::Busy(others))),
        Head::Starting => Ok(Some(Refusal::Starting)),
        Head::Failing => Ok(Some(Refusal::Failing)),
        Head::Frame {
            completeness,
            age_ms,
            notices,
            has_positions,
        } => {
            ensure!(has_positions, "it knows revisions only");
            let frame = Frame {
                completeness,
                notices,
                answered_at: now().minus_millis(age_ms),
                expires_at: now().plus_millis(FRAME_TTL_MS),
                bytes: answer.slice(end + 1..),
            };
            apply(node, address, frame).await?;
            Ok(None)
        }
    }
}

async fn apply(node: &Node, peer: SocketAddr, frame: Frame) -> anyhow::Result<()> {
    let bytes = frame.bytes.clone();
    node.snapshots.keep(frame.clone());
    // Nothing is applied of a damaged frame.
    let items = offload::run(move || decode(&bytes)).await??;
    let count = items.len();
    let mut load = Load::new(node);
    load.apply(items).await;
    node.store_answered
        .set(frame.answered_at.max(node.store_answered.get()));
    let revision = frame.completeness.revision;
    load.finish_snapshot(frame.completeness);
    fetch::receive_notices(node, &frame.notices, peer);
    tracing::info!(
        event = "snapshot",
        peer = %peer,
        items = count,
        bytes = frame.bytes.len(),
        revision = %revision
    );
    Ok(())
}

fn encode_head(head: &Head) -> anyhow::Result<Bytes> {
    let mut line = serde_json::to_vec(head)?;
    line.push(b'\n');
    Ok(line.into())
}

/// Encodes items.
///
/// # Errors
///
/// When the library fails.
pub fn encode(items: &[Item]) -> anyhow::Result<Bytes> {
    let mut encoder = zstd::Encoder::new(Vec::new(), COMPRESSION_LEVEL)?;
    encoder.include_checksum(true)?;
    let mut line = Vec::new();
    for item in items {
        line.clear();
        serde_json::to_writer(&mut line, item)?;
        line.push(b'\n');
        encoder.write_all(&line)?;
    }
    Ok(encoder.finish()?.into())
}

/// Decodes a frame.
///
/// # Errors
///
/// When the frame is damaged.
pub fn decode(frame: &[u8]) -> anyhow::Result<Vec<Item>> {
    let mut items = Vec::new();
    for line in BufReader::new(zstd::Decoder::new(frame)?).lines() {
        items.push(serde_json::from_str(&line?)?);
    }
    Ok(items)
}
