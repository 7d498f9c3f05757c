//! The HTTP client for backend servers, peers and the store.
//!
//! Idle connections are pooled, since opening one costs a round trip and a connection slot at the
//! server. A pooled connection may close just as a request is written to it. Whether any byte of
//! the request was sent is then reported by the connection itself ([`Sent::NotSent`]) and never
//! guessed.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::reach::ProbeEnd;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;

use crate::clock::now;
use crate::head_limit::{self, HeadLimit};
use crate::net;

/// Maximum idle time in milliseconds of a connection that is reused for a repeatable request.
/// Servers that state no time-out close idle connections after some seconds.
const MAX_IDLE_MS: u64 = 4_000;
/// Maximum idle time in milliseconds of a connection that is reused for a request that must not be
/// repeated. If a connection closes during such a request, its outcome is unknown, so only a
/// connection that was used very recently is reused.
const MAX_IDLE_UNREPEATABLE_MS: u64 = 700;
/// Maximum number of idle connections to one address.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// Time within which a probed server accepts a connection, and again for its answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of bytes of an unneeded response that are read so that its connection can be
/// reused.
const MAX_DISCARD_BYTES: usize = 4_096;
/// Time-out for reading an unneeded response.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum time between two frames of a body from the store. A configuration of 1,900 routes is
/// 0.6 MB, which takes half a second on an idle link of 10 Mbit/s and seconds on a shared one. A
/// short time-out for the whole body would restart such a transfer over and over, so that it never
/// completes.
pub const STORE_IDLE_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum time between two frames of a body from a peer, which sends a few at a time. Other peers
/// have the same, so a transfer that stalls is soon given up.
pub const PEER_IDLE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time-out for a whole body from the store or a peer, even if its frames keep arriving.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads a body of at most `max_bytes` from the store or a peer, with at most `idle` between two
/// frames.
///
/// # Errors
///
/// When the body is truncated or too long, or on a time-out.
pub async fn collect(body: Incoming, max_bytes: usize, idle: Duration) -> anyhow::Result<Bytes> {
    let read = async {
        let mut body = Limited::new(body, max_bytes);
        let mut bytes = BytesMut::new();
        while let Some(frame) = tokio::time::timeout(idle, body.frame()).await? {
            let frame = frame.map_err(anyhow::Error::from_boxed)?;
            if let Ok(data) = frame.into_data() {
                bytes.extend_from_slice(&data);
            }
        }
        Ok(bytes.freeze())
    };
    tokio::time::timeout(BODY_TIMEOUT, read).await?
}

/// The outcome of sending a request.
#[derive(Debug)]
pub enum Sent {
    /// No byte of it was sent; holds the reason.
    NotSent(String),
    /// It was sent at least in part, and no response was received; holds the reason.
    Broken(String),
    /// It was sent, and what was received is no head of a response; holds the reason.
    Unreadable(String),
    /// The head of a response was received.
    Answered(Answered),
}

/// A response whose head was received, with its connection.
#[derive(Debug)]
pub struct Answered {
    /// The head, and the body to be read.
    pub response: Response<Incoming>,
    /// The connection. Return it with [`Pool::keep`] once the body has been read.
    pub connection: Connection,
}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    head_limit: HeadLimit,
    address: SocketAddr,
    idle_since: Instant,
}

/// A pool of idle connections, by address.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Connection>>>>,
    opened: Rc<std::cell::Cell<u64>>,
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of connections that were opened so far.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Sends a request to `address`. `may_repeat` states whether it may be executed twice.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        may_repeat: bool,
    ) -> Sent {
        let max_idle_ms = if may_repeat {
            MAX_IDLE_MS
        } else {
            MAX_IDLE_UNREPEATABLE_MS
        };
        let mut request = request;
        while let Some(connection) = self.take(address, max_idle_ms) {
            match transmit(connection, request).await {
                Transmitted::Done(sent) => return sent,
                Transmitted::Unsent(unsent) => request = unsent,
            }
        }
        let connection = match self.open(address).await {
            Ok(connection) => connection,
            Err(error) => return Sent::NotSent(format!("connect: {error}")),
        };
        match transmit(connection, request).await {
            Transmitted::Done(sent) => sent,
            Transmitted::Unsent(_) => Sent::NotSent("a new connection closed at once".to_owned()),
        }
    }

    /// Sends a request to `address` over a new connection, and returns how that ends within the time
    /// of a probe. Any answer counts.
    pub async fn probe(&self, address: SocketAddr, request: Request<Full<Bytes>>) -> ProbeEnd {
        let opened = tokio::time::timeout(PROBE_TIMEOUT, self.open(address)).await;
        let connection = match opened {
            Ok(Ok(connection)) => connection,
            Ok(Err(_)) => return ProbeEnd::Refused,
            Err(_) => return ProbeEnd::Unreached,
        };
        let exchange = tokio::time::timeout(PROBE_TIMEOUT, transmit(connection, request)).await;
        match exchange {
            Ok(Transmitted::Done(Sent::Answered(answered))) => {
                self.discard(answered);
                ProbeEnd::Answered
            }
            Ok(_) => ProbeEnd::Refused,
            Err(_) => ProbeEnd::Silent,
        }
    }

    /// Returns a connection whose last response has been read. It becomes available once it is
    /// ready for the next request, so that no unexpected bytes follow that response.
    pub fn keep(&self, mut connection: Connection) {
        let pool = self.clone();
        tokio::task::spawn_local(async move {
            if connection.sender.ready().await.is_err() {
                return;
            }
            connection.idle_since = now();
            let mut idle = pool.idle.borrow_mut();
            let connections = idle.entry(connection.address).or_default();
            if connections.len() < MAX_IDLE_PER_ADDRESS {
                connections.push(connection);
            }
        });
    }

    /// Reads the rest of an unneeded response, so that its connection can be reused. If the rest is
    /// long, closes the connection.
    pub fn discard(&self, answered: Answered) {
        let pool = self.clone();
        tokio::task::spawn_local(async move {
            let body = Limited::new(answered.response.into_body(), MAX_DISCARD_BYTES);
            let rest = tokio::time::timeout(DISCARD_TIMEOUT, body.collect()).await;
            if matches!(rest, Ok(Ok(_))) {
                pool.keep(answered.connection);
            }
        });
    }

    /// Closes the idle connections to `address`, where a server has restarted.
    pub fn forget(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes the connections that have been idle for too long.
    pub fn sweep(&self) {
        let now = now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections.retain(|connection| {
                !connection.sender.is_closed()
                    && now < connection.idle_since.plus_millis(MAX_IDLE_MS)
            });
            !connections.is_empty()
        });
    }

    fn take(&self, address: SocketAddr, max_idle_ms: u64) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            let is_recent = now() < connection.idle_since.plus_millis(max_idle_ms);
            if !is_recent {
                // The rest of the list is older still. It stays for requests that may be repeated.
                connections.push(connection);
                return None;
            }
            if connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    async fn open(&self, address: SocketAddr) -> anyhow::Result<Connection> {
        let stream = net::connect(address).await?;
        let head_limit = HeadLimit::default();
        let stream = head_limit::Limited::new(stream, head_limit.clone());
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(head_limit::MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await?;
        self.opened.set(self.opened.get() + 1);
        tokio::task::spawn_local(async move {
            if let Err(error) = driver.await {
                tracing::debug!(event = "connection-ended", %address, %error);
            }
        });
        Ok(Connection {
            sender,
            head_limit,
            address,
            idle_since: now(),
        })
    }
}

enum Transmitted {
    Done(Sent),
    Unsent(Request<Full<Bytes>>),
}

async fn transmit(mut connection: Connection, request: Request<Full<Bytes>>) -> Transmitted {
    connection.head_limit.begin();
    let result = connection.sender.try_send_request(request).await;
    connection.head_limit.end();
    match result {
        Ok(response) => Transmitted::Done(Sent::Answered(Answered {
            response,
            connection,
        })),
        Err(mut error) => match error.take_message() {
            Some(request) => Transmitted::Unsent(request),
            None => Transmitted::Done(failure(&error.into_error())),
        },
    }
}

fn failure(error: &hyper::Error) -> Sent {
    if head_limit::is_unreadable(error) {
        Sent::Unreadable(error.to_string())
    } else {
        Sent::Broken(error.to_string())
    }
}
