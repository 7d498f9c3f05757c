//! Messages between nodes: JSON bodies over the one HTTP client.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context as _;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Method, Request};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::node::Node;
use crate::upstream::{self, Sent};

/// Longest time until the head of an answer. Nodes answer in milliseconds; a
/// new connection to one that is dark takes longer than that and must not hold others up.
pub const HEAD_TIMEOUT: Duration = Duration::from_millis(700);
/// Bytes that a message has at most.
pub const MAX_BYTES: usize = 4 << 20;

/// Which way a message goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// To this node.
    In,
    /// From this node.
    Out,
}

/// Counts the bytes of a message. A node whose link is full of messages answers others late, and
/// only this tells it from one that is short of processor time.
pub fn count_bytes(node: &Node, path: &str, direction: Direction, bytes: usize) {
    let direction = match direction {
        Direction::In => "in",
        Direction::Out => "out",
    };
    let counter = node
        .metrics
        .peer_bytes
        .with_label_values(&[path, direction]);
    counter.inc_by(u64::try_from(bytes).unwrap_or(u64::MAX));
}

/// Sends a message to a peer and reads its answer.
///
/// # Errors
///
/// When no head comes within `patience`, or no answer that can be read.
pub async fn send<R: DeserializeOwned>(
    node: &Node,
    address: SocketAddr,
    path: &str,
    message: &impl Serialize,
    patience: Duration,
) -> anyhow::Result<R> {
    let body = Bytes::from(serde_json::to_vec(message)?);
    count_bytes(node, path, Direction::Out, body.len());
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(HOST, address.to_string())
        .body(Full::new(body))?;
    let sent = tokio::time::timeout(patience, node.pool.send(address, request, true)).await;
    let answered = match sent.context("no answer in time")? {
        Sent::Answered(answered) => answered,
        Sent::NotSent(reason) | Sent::Broken(reason) => anyhow::bail!(reason),
    };
    let body = upstream::collect(answered.response.into_body(), MAX_BYTES).await?;
    node.pool.keep(answered.connection);
    count_bytes(node, path, Direction::In, body.len());
    Ok(serde_json::from_slice(&body)?)
}
