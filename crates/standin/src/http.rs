//! Minimal HTTP server that runs the handler of a stand-in.

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

/// Body of a response; an error aborts the connection.
pub type Body = BoxBody<Bytes, std::io::Error>;
/// A request whose body has been read.
pub type Request = hyper::Request<Bytes>;
/// A response; `None` closes the connection without a response.
pub type Response = Option<hyper::Response<Body>>;
/// Function that answers the requests to a stand-in.
pub type Handler =
    Arc<dyn Fn(Request) -> Pin<Box<dyn Future<Output = Response> + Send>> + Send + Sync>;

/// A running HTTP server. Dropping it closes the listener and aborts every connection.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    connections: Arc<AtomicU64>,
}

impl Server {
    /// Starts a server on the address `listen`.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
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

    /// Starts a server on the address `listen` that answers each request with `serve` and `state`.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub fn with_state<S, F>(
        runtime: &Handle,
        listen: &str,
        state: &Arc<S>,
        serve: fn(Arc<S>, Request) -> F,
    ) -> Result<Self>
    where
        S: Send + Sync + 'static,
        F: Future<Output = Response> + Send + 'static,
    {
        let state = Arc::clone(state);
        let handler: Handler =
            Arc::new(move |request| Box::pin(serve(Arc::clone(&state), request)));
        Self::new(runtime, listen, handler)
    }

    /// Returns the address on which the server listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many connections were accepted.
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
            // With Nagle's algorithm a small event would wait until the previous one is
            // acknowledged.
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

/// Error that makes the server close a connection without a response.
#[derive(Debug)]
struct Aborted;

impl std::fmt::Display for Aborted {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("connection cut by the stand-in")
    }
}

impl std::error::Error for Aborted {}

async fn serve(
    handler: Handler,
    request: hyper::Request<Incoming>,
) -> Result<hyper::Response<Body>, Aborted> {
    let (parts, body) = request.into_parts();
    let bytes = body.collect().await.map_err(|_| Aborted)?.to_bytes();
    handler(hyper::Request::from_parts(parts, bytes))
        .await
        .ok_or(Aborted)
}

/// Returns a body that consists of `bytes`.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed()
}

/// Returns a response with this status and body.
///
/// # Panics
///
/// Panics when `status` is not a valid HTTP status.
pub(crate) fn build_response(status: u16, bytes: impl Into<Bytes>) -> hyper::Response<Body> {
    hyper::Response::builder()
        .status(status)
        .body(full(bytes))
        .expect("the status is valid")
}

/// Returns a response with status 200 and `value` as JSON.
pub(crate) fn json_response<T: serde::Serialize>(value: &T) -> hyper::Response<Body> {
    build_response(200, serde_json::to_vec(value).unwrap_or_default())
}

/// Returns a query parameter.
pub(crate) fn parameter<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let query = request.uri().query()?;
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Returns a query parameter as a number, or 0 when it is missing or malformed.
pub(crate) fn number_parameter(request: &Request, name: &str) -> u64 {
    parameter(request, name)
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}

/// Returns the value of a header, if it is valid text.
pub(crate) fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}
