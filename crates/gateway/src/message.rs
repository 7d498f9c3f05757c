//! Messages between nodes, in JSON but for [load](crate::load_report) and
//! [snapshots](crate::snapshot), sent with the same HTTP client as requests to backend
//! servers.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context as _, ensure};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Method, Request};
use prometheus::IntCounterVec;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::node::Node;
use crate::upstream::{self, PEER_IDLE_TIMEOUT, Pool, Sent};

/// Default timeout for the head of a response. Nodes respond in milliseconds; connecting to one that
/// is down takes longer and must not delay messages to others.
pub const HEAD_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum size of a message in bytes.
pub const MAX_BYTES: usize = 4 << 20;

/// Direction of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Received by this node.
    In,
    /// Sent by this node.
    Out,
}

/// Sends messages to peers, and counts their bytes.
#[derive(Clone)]
pub struct Client {
    pool: Pool,
    bytes: IntCounterVec,
}

impl Client {
    /// Creates a client that uses the connections of `pool` and the counter `bytes`.
    #[must_use]
    pub const fn new(pool: Pool, bytes: IntCounterVec) -> Self {
        Self { pool, bytes }
    }

    /// Counts the bytes of a message. A node whose link is saturated by messages responds late, and only
    /// this metric distinguishes it from one that is short of processor time.
    pub fn count_bytes(&self, path: &str, direction: Direction, bytes: usize) {
        let direction = match direction {
            Direction::In => "in",
            Direction::Out => "out",
        };
        let counter = self.bytes.with_label_values(&[path, direction]);
        counter.inc_by(u64::try_from(bytes).unwrap_or(u64::MAX));
    }

    /// Sends an encoded message to a peer and returns the body of the response.
    ///
    /// # Errors
    ///
    /// When no head arrives within `head_timeout`, or the response cannot be read.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        path: &str,
        body: Vec<u8>,
        head_timeout: Duration,
    ) -> anyhow::Result<Bytes> {
        let body = Bytes::from(body);
        self.count_bytes(path, Direction::Out, body.len());
        let request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header(HOST, address.to_string())
            .body(Full::new(body))?;
        let sent = tokio::time::timeout(head_timeout, self.pool.send(address, request, true)).await;
        let answered = match sent.context("no answer in time")? {
            Sent::Answered(answered) => answered,
            Sent::NotSent(reason) | Sent::Broken(reason) | Sent::Unreadable(reason) => {
                anyhow::bail!(reason)
            }
        };
        let status = answered.response.status();
        let body = answered.response.into_body();
        let body = upstream::collect(body, MAX_BYTES, PEER_IDLE_TIMEOUT).await?;
        self.pool.keep(answered.connection);
        self.count_bytes(path, Direction::In, body.len());
        ensure!(status.is_success(), "status {status}");
        Ok(body)
    }
}

/// Sends a message to a peer and decodes the response.
///
/// # Errors
///
/// When no head arrives within `head_timeout`, or the response cannot be read or decoded.
pub async fn send<R: DeserializeOwned>(
    node: &Node,
    address: SocketAddr,
    path: &str,
    message: &impl Serialize,
    head_timeout: Duration,
) -> anyhow::Result<R> {
    let body = serde_json::to_vec(message)?;
    let answer = exchange(node, address, path, body, head_timeout).await?;
    Ok(serde_json::from_slice(&answer)?)
}

/// Sends an encoded message to a peer and returns the body of the response.
///
/// # Errors
///
/// When no head arrives within `head_timeout`, or the response cannot be read.
pub async fn exchange(
    node: &Node,
    address: SocketAddr,
    path: &str,
    body: Vec<u8>,
    head_timeout: Duration,
) -> anyhow::Result<Bytes> {
    let client = &node.messages;
    client.exchange(address, path, body, head_timeout).await
}
