//! A minimal HTTP server that a stand-in puts its handler behind.

use std::convert::Infallible;
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use anyhow::{Context as _, Result};
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, combinators::BoxBody};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::runtime::Handle;
use tokio::sync::watch;

/// Body of an answer; an error cuts the connection.
pub type Body = BoxBody<Bytes, std::io::Error>;
/// A request whose body has been read.
pub type Request = hyper::Request<Bytes>;
/// An answer; `None` closes the connection without one.
pub type Response = Option<hyper::Response<Body>>;
/// What a stand-in does with a request.
pub type Handler =
    Arc<dyn Fn(Request) -> Pin<Box<dyn Future<Output = Response> + Send>> + Send + Sync>;

/// A server on a loopback port; dropping it cuts every connection.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    connections: Arc<AtomicU64>,
}

impl Server {
    /// Starts serving on `listen`.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub fn new(runtime: &Handle, listen: &str, handler: Handler) -> Result<Self> {
        let listener = TcpListener::bind(listen).with_context(|| format!("bind {listen}"))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let _guard = runtime.enter();
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let connections = Arc::new(AtomicU64::new(0));
        runtime.spawn(accept(listener, handler, stopped, Arc::clone(&connections)));
        Ok(Self {
            address,
            stop,
            connections,
        })
    }

    /// Returns the address that is served.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many connections were made.
    #[must_use]
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::SeqCst)
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.send_replace(true);
    }
}

async fn accept(
    listener: tokio::net::TcpListener,
    handler: Handler,
    mut stopped: watch::Receiver<bool>,
    connections: Arc<AtomicU64>,
) {
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => return,
        };
        let Ok((stream, _)) = stream else { continue };
        connections.fetch_add(1, Ordering::SeqCst);
        let handler = Arc::clone(&handler);
        let mut stopped = stopped.clone();
        tokio::spawn(async move {
            // Without this a small event waits for the acknowledgement of the
            // one before it.
            let _ = stream.set_nodelay(true);
            let service = service_fn(move |request| serve(Arc::clone(&handler), request));
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                _ = connection => {}
                _ = stopped.changed() => {}
            }
        });
    }
}

/// Error that makes the server close a connection without an answer.
#[derive(Debug)]
struct Cut;

impl std::fmt::Display for Cut {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("connection cut by the stand-in")
    }
}

impl std::error::Error for Cut {}

async fn serve(
    handler: Handler,
    request: hyper::Request<Incoming>,
) -> Result<hyper::Response<Body>, Cut> {
    let (parts, body) = request.into_parts();
    let bytes = body.collect().await.map_err(|_| Cut)?.to_bytes();
    handler(hyper::Request::from_parts(parts, bytes))
        .await
        .ok_or(Cut)
}

/// Returns a body that is sent at once.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed()
}

/// Returns an answer with a body that is sent at once.
///
/// # Panics
///
/// When `status` is no HTTP status.
pub(crate) fn answer(status: u16, bytes: impl Into<Bytes>) -> hyper::Response<Body> {
    hyper::Response::builder()
        .status(status)
        .body(full(bytes))
        .expect("a status and a body make an answer")
}

/// Returns an answer that is JSON.
pub(crate) fn json<T: serde::Serialize>(value: &T) -> hyper::Response<Body> {
    answer(200, serde_json::to_vec(value).unwrap_or_default())
}

/// Returns a parameter of the query.
pub(crate) fn parameter<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let query = request.uri().query()?;
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Returns a parameter of the query as a number, 0 when it is missing.
pub(crate) fn number(request: &Request, name: &str) -> u64 {
    parameter(request, name)
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}

/// Returns a header as text.
pub(crate) fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}
