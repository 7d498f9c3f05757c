//! The callers' port.
//!
//! It stands on hyper: rouille holds a streamed body back until its end
//! (measured; see `docs/design/callers-port.md`), so tokens would not reach
//! the caller as they come.

mod attempts;
mod bill;
mod chat;
mod choice;
mod collect;
mod entry;
mod intake;
mod models;
mod prompt;
mod reply;
mod service;
mod stream;
mod upstream;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::{Context as _, Result};
use fescuerack_wire::error::Kind;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::shared::Shared;
use reply::{Reply, failure};

/// A running callers' port.
pub struct Port {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    accepting: tokio::task::JoinHandle<GracefulShutdown>,
}

impl Port {
    /// Starts serving.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn new(shared: Arc<Shared>) -> Result<Self> {
        let listen = shared.settings.listen.callers.clone();
        let listener = TcpListener::bind(&listen)
            .await
            .with_context(|| format!("listen.callers: bind {listen}"))?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let accepting = tokio::spawn(accept(shared, listener, stopped));
        Ok(Self {
            address,
            stop,
            accepting,
        })
    }

    /// Returns the address that is served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting and waits until running requests have ended.
    pub async fn finish(self, within: Duration) {
        self.stop.send_replace(true);
        if let Ok(connections) = self.accepting.await {
            let _ = tokio::time::timeout(within, connections.shutdown()).await;
        }
    }
}

async fn accept(
    shared: Arc<Shared>,
    listener: TcpListener,
    mut stopped: watch::Receiver<bool>,
) -> GracefulShutdown {
    let connections = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => return connections,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = connect(Arc::clone(&shared), stream, connections.watcher());
                tokio::spawn(connection);
            }
            Err(_) => shared.metrics.count("callers.accept_failed"),
        }
    }
}

async fn connect(shared: Arc<Shared>, stream: TcpStream, watcher: Watcher) {
    // Without this a token waits for the acknowledgement of the one before it.
    let _ = stream.set_nodelay(true);
    let header_timeout = Duration::from_millis(shared.settings.limits.header_timeout_ms);
    let service = service_fn(move |request| {
        let shared = Arc::clone(&shared);
        async move { Ok::<_, Infallible>(serve(shared, request).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .serve_connection(TokioIo::new(stream), service);
    // A connection that breaks has no one left to tell.
    let _ = watcher.watch(connection).await;
}

async fn serve(shared: Arc<Shared>, request: hyper::Request<Incoming>) -> Reply {
    shared.metrics.count("callers.requests");
    if shared.draining.load(Ordering::SeqCst) {
        return failure(Kind::Unavailable, "this instance is shutting down; not run");
    }
    if !shared.is_able() {
        return failure(Kind::Unavailable, "this instance is starting; not run");
    }
    let call = match intake::read(&shared, request).await {
        Ok(call) => call,
        Err(refusal) => return refusal.into(),
    };
    let path = call.path.clone();
    match (call.method.as_str(), path.as_str()) {
        ("POST", "/v1/chat/completions" | "/v1/completions") => chat::answer(shared, call).await,
        ("GET", "/v1/models") => models::answer(&shared, &call),
        _ => match path.strip_prefix("/v1/services/") {
            Some(rest) => service::answer(shared, call, rest).await,
            None => failure(Kind::NotFound, "no such path"),
        },
    }
}
