//! The one HTTP client: connections to backend servers, peers and the store.
//!
//! Connections are kept for the next request, since opening one costs a round
//! trip and the server a place. A kept connection may close just as a request is
//! written to it; whether a byte of the request left is then known from the
//! connection itself ([`Sent::NotSent`]), never guessed.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use fescuerack_core::clock::Instant;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;

use crate::clock::now;
use crate::net;

/// Milliseconds for which an idle connection is trusted with a request that may
/// be repeated. Servers that state no time-out close idle connections after
/// seconds.
const MAX_IDLE_MS: u64 = 4_000;
/// The same for a request that must not be repeated: if a connection closes under
/// it the outcome is unknown, so only one that was used moments ago is trusted.
const MAX_IDLE_UNREPEATABLE_MS: u64 = 700;
/// Idle connections that are kept for one address.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// Bytes of an unneeded answer that are read to keep its connection.
const MAX_DISCARD_BYTES: usize = 4_096;
/// Longest time that reading an unneeded answer may take.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest silence within a body from the store or a peer. A configuration of 1,900 routes is
/// 0.6 MB, which takes a link of 10 Mbit/s half a second alone and seconds beside others; with
/// a bound on the whole it was begun anew again and again and never came.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest time for a body from the store or a peer that goes on coming.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads a body from the store or a peer, of at most `most` bytes.
///
/// # Errors
///
/// When it breaks off, falls silent, is too long or does not end.
pub async fn collect(body: Incoming, max_bytes: usize) -> anyhow::Result<Bytes> {
    let read = async {
        let mut body = Limited::new(body, max_bytes);
        let mut bytes = BytesMut::new();
        while let Some(frame) = tokio::time::timeout(BODY_IDLE_TIMEOUT, body.frame()).await? {
            let frame = frame.map_err(anyhow::Error::from_boxed)?;
            if let Ok(data) = frame.into_data() {
                bytes.extend_from_slice(&data);
            }
        }
        Ok(bytes.freeze())
    };
    tokio::time::timeout(BODY_TIMEOUT, read).await?
}

/// What became of a request.
#[derive(Debug)]
pub enum Sent {
    /// No byte of it left.
    NotSent(String),
    /// It was sent, at least in part, and no answer came.
    Broken(String),
    /// A head came.
    Answered(Answered),
}

/// A head, the body to come and the connection that they come on.
#[derive(Debug)]
pub struct Answered {
    /// Head and body.
    pub response: Response<Incoming>,
    /// Connection; hand it back with [`Pool::keep`] once the body is whole.
    pub connection: Connection,
}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    address: SocketAddr,
    idle_since: Instant,
}

/// Idle connections by address.
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

    /// Connections that were opened so far.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Sends a request to `address`; `may_repeat` tells whether it may run twice.
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

    /// Keeps a connection whose last answer is whole. It is offered again once it
    /// has shown that nothing came after that answer.
    pub fn keep(&self, mut connection: Connection) {
        let pool = self.clone();
        tokio::task::spawn_local(async move {
            if connection.sender.ready().await.is_err() {
                return;
            }
            connection.idle_since = now();
            let mut idle = pool.idle.borrow_mut();
            let list = idle.entry(connection.address).or_default();
            if list.len() < MAX_IDLE_PER_ADDRESS {
                list.push(connection);
            }
        });
    }

    /// Reads the rest of an answer that nobody needs, so that its connection can be
    /// kept; one with a long rest is closed.
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

    /// Closes idle connections to `address`, where a server has started again.
    pub fn forget(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes idle connections that no request would trust any more.
    pub fn sweep(&self) {
        let now = now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, list| {
            list.retain(|connection| {
                !connection.sender.is_closed()
                    && now < connection.idle_since.plus_millis(MAX_IDLE_MS)
            });
            !list.is_empty()
        });
    }

    fn take(&self, address: SocketAddr, max_idle_ms: u64) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&address)?;
        while let Some(connection) = list.pop() {
            let is_trusted = now() < connection.idle_since.plus_millis(max_idle_ms);
            if !is_trusted {
                // The rest of the list is older still; they stay for requests
                // that may be repeated.
                list.push(connection);
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
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await?;
        self.opened.set(self.opened.get() + 1);
        tokio::task::spawn_local(async move {
            if let Err(error) = driver.await {
                tracing::debug!(event = "connection-ended", %address, %error);
            }
        });
        Ok(Connection {
            sender,
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
    match connection.sender.try_send_request(request).await {
        Ok(response) => Transmitted::Done(Sent::Answered(Answered {
            response,
            connection,
        })),
        Err(mut error) => match error.take_message() {
            Some(request) => Transmitted::Unsent(request),
            None => Transmitted::Done(Sent::Broken(error.into_error().to_string())),
        },
    }
}
