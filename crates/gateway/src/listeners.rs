//! The listeners for callers, readiness probes, peers and metrics, and the graceful shutdown.

use std::convert::Infallible;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context as _;
use bytes::Bytes;
use fescuerack_core::clock::Instant;
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::body::Paced;
use crate::caller_connection::MAX_REFUSING;
use crate::clock::{deadline, now};
use crate::connections::Opened;
use crate::hop::Permitted;
use crate::net;
use crate::node::Node;
use crate::{caller_connection, hop, lingering, load_report, peer};

/// Time-out for the head of a request for metrics or readiness, or by a peer.
const HEADER_TIMEOUT: Duration = Duration::from_secs(20);
/// Milliseconds after the signal during which new connections are accepted. The platform sends
/// no more requests after two failed readiness probes, one second apart.
const ACCEPT_AFTER_SIGNAL_MS: u64 = 2_600;
/// Milliseconds before the end of the grace period at which the process ends all requests that are
/// still in progress, so that their last bytes are sent before it is killed.
const EXIT_MARGIN_MS: u64 = 400;
/// Interval at which a shutdown checks whether all connections have ended.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Delay after a failed accept, which mostly means that the process has no file descriptors left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No shutdown was requested.
    Serving,
    /// The node reports that it is not ready; idle connections stay open.
    Draining,
    /// Connections are closed as they become idle.
    Closing,
}

/// The listeners of a node.
pub struct Listeners {
    callers: TcpListener,
    readiness: TcpListener,
    peers: TcpListener,
    metrics: Option<TcpListener>,
}

impl Listeners {
    /// Binds all addresses.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound to.
    pub async fn bind(node: &Node) -> anyhow::Result<Self> {
        let (callers, readiness, peers, metrics) = {
            let settings = node.settings.borrow();
            (
                settings.callers,
                settings.readiness,
                settings.peers,
                settings.metrics,
            )
        };
        let peers = bind("peers", peers).await?;
        // The system chooses a port in place of zero, and peers need the actual one.
        node.settings.borrow_mut().peers = peers.local_addr()?;
        let callers = bind("callers", callers).await?;
        net::limit_unread(&callers);
        Ok(Self {
            callers,
            readiness: bind("readiness", readiness).await?,
            peers,
            metrics: match metrics {
                Some(address) => Some(bind("metrics", address).await?),
                None => None,
            },
        })
    }

    /// Returns the addresses for callers and for readiness, with the ports in use.
    ///
    /// # Errors
    ///
    /// When the system does not report an address.
    pub fn addresses(&self) -> std::io::Result<(SocketAddr, SocketAddr)> {
        Ok((self.callers.local_addr()?, self.readiness.local_addr()?))
    }

    /// Serves until a shutdown is requested on `stop` and has completed.
    pub async fn run(self, node: Rc<Node>, mut stop: watch::Receiver<Option<Instant>>) {
        let (phase, phases) = watch::channel(Phase::Serving);
        tokio::task::spawn_local(serve_readiness(self.readiness, node.clone()));
        tokio::task::spawn_local(serve_peers(self.peers, node.clone()));
        if let Some(metrics) = self.metrics {
            tokio::task::spawn_local(serve_metrics(metrics, node.clone()));
        }
        let callers = tokio::task::spawn_local(serve_callers(self.callers, node.clone(), phases));
        while stop.borrow_and_update().is_none() {
            if stop.changed().await.is_err() {
                return;
            }
        }
        let requested_at = stop.borrow().unwrap_or_else(now);
        shut_down(&node, &phase, requested_at).await;
        callers.abort();
    }
}

async fn shut_down(node: &Node, phase: &watch::Sender<Phase>, requested_at: Instant) {
    let grace_ms = node.settings.borrow().grace_ms;
    let end = requested_at.plus_millis(grace_ms.saturating_sub(EXIT_MARGIN_MS));
    node.exits_at.send_replace(Some(end));
    tracing::info!(
        event = "stopping",
        in_progress = node.metrics.in_progress.get(),
        grace_ms
    );
    phase.send_replace(Phase::Draining);
    tokio::time::sleep_until(deadline(requested_at.plus_millis(ACCEPT_AFTER_SIGNAL_MS))).await;
    phase.send_replace(Phase::Closing);
    // Each open connection holds a receiver; the listener has dropped the ones it held.
    // Requests of peers' callers have none.
    let is_serving = || phase.receiver_count() > 0 || node.forwarding.served.count() > 0;
    while is_serving() && now() < end {
        tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
    tracing::info!(event = "stopped", connections = phase.receiver_count());
}

async fn bind(what: &str, address: SocketAddr) -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.with_context(|| format!("listen for {what} on {address}"))
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = net::detect_dead_peer(&stream) {
                    tracing::debug!(event = "socket-option-refused", %error);
                }
                return stream;
            }
            Err(error) => {
                tracing::warn!(event = "accept-failed", %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_callers(listener: TcpListener, node: Rc<Node>, phases: watch::Receiver<Phase>) {
    let mut closing = phases.clone();
    let accepting = async {
        loop {
            let stream = accept(&listener).await;
            open_caller(stream, &node, &phases);
        }
    };
    let closed = async {
        // An error would mean that the sender was dropped; it lives as long as the node.
        let _ = closing.wait_for(|phase| *phase == Phase::Closing).await;
    };
    tokio::select! {
        () = accepting => {}
        () = closed => {}
    }
    drop(listener);
    drop(phases);
    drop(closing);
}

/// Serves a new connection of a caller, in place of another one if there are too many, or refuses it.
fn open_caller(stream: TcpStream, node: &Rc<Node>, phases: &watch::Receiver<Phase>) {
    let count = |reason| {
        let closed = &node.metrics.caller_connections_closed;
        closed.with_label_values(&[reason]).inc();
    };
    let place = match node.connections.open() {
        Opened::Free(place) => place,
        Opened::Replaces(place) => {
            count("replaced");
            tracing::info!(event = "caller-connection-replaced");
            place
        }
        Opened::Refused => {
            count("refused");
            tracing::warn!(event = "caller-connection-refused");
            if let Some(permit) = node.refusing.try_acquire(MAX_REFUSING) {
                tokio::task::spawn_local(caller_connection::refuse(stream, permit));
            }
            return;
        }
    };
    let serving = caller_connection::serve(stream, node.clone(), place, phases.clone());
    tokio::task::spawn_local(serving);
}

async fn serve_readiness(listener: TcpListener, node: Rc<Node>) {
    let path = node.settings.borrow().readiness_path.clone();
    loop {
        let stream = accept(&listener).await;
        let node = node.clone();
        let path = path.clone();
        tokio::task::spawn_local(serve_plain(stream, move |request| {
            let is_ready = node.is_ready() && !node.is_stopping();
            let status = match (request.uri().path() == path, is_ready) {
                (false, _) => StatusCode::NOT_FOUND,
                (true, true) => StatusCode::OK,
                (true, false) => StatusCode::SERVICE_UNAVAILABLE,
            };
            let mut response = Response::new(Full::new(Bytes::new()));
            *response.status_mut() = status;
            response
        }));
    }
}

async fn serve_metrics(listener: TcpListener, node: Rc<Node>) {
    loop {
        let stream = accept(&listener).await;
        let node = node.clone();
        tokio::task::spawn_local(serve_plain(stream, move |_| {
            // Servers join and leave without a change of the share.
            load_report::update_pool_gauge(&node);
            match node.metrics.text() {
                Ok(text) => Response::new(Full::new(Bytes::from(text))),
                Err(error) => {
                    tracing::error!(event = "metrics-failed", %error);
                    let mut response = Response::new(Full::new(Bytes::new()));
                    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
                    response
                }
            }
        }));
    }
}

async fn serve_plain(
    stream: TcpStream,
    respond: impl Fn(&Request<Incoming>) -> Response<Full<Bytes>>,
) {
    let service = service_fn(|request| {
        let response = respond(&request);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        tracing::debug!(event = "plain-connection-ended", %error);
    }
}

/// Size of the write buffer of a connection to a peer: 26 ms on a link of 10 Mbit/s. With a larger
/// buffer, a response would count as sent while most of it is still waiting for the link.
const PEER_BUFFER_BYTES: usize = 32_768;

/// Serves a message of a peer, or a request of one of its callers.
async fn serve_peer(
    node: Rc<Node>,
    request: Request<Incoming>,
) -> Result<Response<Either<Paced, Permitted>>, Infallible> {
    if request.uri().path() == hop::PATH {
        return Ok(hop::serve(node, request).await.map(Either::Right));
    }
    let response = peer::serve(node, request).await?;
    Ok(response.map(Either::Left))
}

async fn serve_peers(listener: TcpListener, node: Rc<Node>) {
    loop {
        let stream = accept(&listener).await;
        let node = node.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| Box::pin(serve_peer(node.clone(), request)));
            let mut connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                .max_buf_size(PEER_BUFFER_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            let served = poll_fn(|context| connection.poll_without_shutdown(context)).await;
            if let Err(error) = served {
                tracing::debug!(event = "peer-connection-ended", %error);
                return;
            }
            // The peer may still be sending a request that was refused.
            let stream = connection.into_parts().io.into_inner();
            lingering::close(stream, node.limits().body_bytes).await;
        });
    }
}
