//! One connection of a caller, from accepting it to its orderly end.
//!
//! Failures handled here:
//!
//! - **A request sent while the connection is being closed.** If this side just
//!   closed an idle connection, a request might be on its way. Its caller would
//!   see a broken connection and could not tell whether the request ran. So a
//!   last reply, "not run", is written before an idle connection is closed. The
//!   caller of such a request reads that reply, and it is true, because no
//!   further request is read from the connection.
//! - **A reply lost to a reset.** Closing a socket with unread bytes resets it,
//!   and the reset can overtake the reply, such as the refusal of a body that is
//!   still being sent. So the sending side is closed first, and what still
//!   arrives is read and dropped for a short time.
//! - **A sender that never ends its headers** holds a connection and nothing
//!   else. It gets a typed error at the time-out.

use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use fescuerack_core::attempt::Outcome;
use fescuerack_wire::error::Kind;
use fescuerack_wire::header;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::port::Phase;
use super::reply::{Reply, error_body, outcome_name};
use super::serve;
use super::write_timeout::Socket;
use crate::node_state::NodeState;

/// Time for which bytes that arrive on a closed connection are read and dropped:
/// several round trips to a client in the region, short compared with a
/// shutdown.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Size in bytes of the buffer for reads that are dropped.
const DISCARD_BUFFER_BYTES: usize = 4 << 10;
/// Maximum size in bytes of a request's head; bounds the memory of a connection.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;

type ReplyFuture = Pin<Box<dyn Future<Output = Result<Reply, Infallible>> + Send>>;

/// Serves a connection until either side ends it.
pub async fn run(shared: Arc<NodeState>, stream: TcpStream, mut phase: watch::Receiver<Phase>) {
    // With Nagle's algorithm a token would wait for the acknowledgement of the
    // one before it.
    let _ = stream.set_nodelay(true);
    shared.metrics.count("callers.connections");
    let serving = *phase.borrow_and_update() == Phase::Serving;
    let close_announced = Arc::new(AtomicBool::new(false));
    let header_timeout = Duration::from_millis(shared.settings.limits.header_timeout_ms);
    let service = {
        let shared = Arc::clone(&shared);
        let close_announced = Arc::clone(&close_announced);
        service_fn(move |request| {
            answer(Arc::clone(&shared), Arc::clone(&close_announced), request)
        })
    };
    let socket = Socket::new(Arc::clone(&shared), stream);
    let mut connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(socket), service);
    let mut closing = false;
    let result = tokio::select! {
        result = poll_fn(|context| connection.poll_without_shutdown(context)) => result,
        () = serving_ended(&mut phase), if serving => {
            closing = true;
            Pin::new(&mut connection).graceful_shutdown();
            poll_fn(|context| connection.poll_without_shutdown(context)).await
        }
    };
    let stream = connection.into_parts().io.into_inner().into_inner();
    let last = match result {
        Ok(()) if closing && !close_announced.load(Ordering::SeqCst) => Some(Kind::Unavailable),
        Ok(()) => None,
        Err(error) if error.is_timeout() => {
            shared.metrics.count("callers.slow_headers");
            Some(Kind::SlowSender)
        }
        Err(error) if error.is_parse() || error.is_parse_too_large() => {
            shared.metrics.count("callers.malformed");
            None
        }
        // Nothing can be sent on a broken connection.
        Err(_) => return,
    };
    close(stream, last.map(last_reply)).await;
}

/// Waits until the process refuses new requests.
async fn serving_ended(phase: &mut watch::Receiver<Phase>) {
    // The sender is dropped only when the runtime shuts down as well.
    let _ = phase.wait_for(|phase| *phase != Phase::Serving).await;
}

fn answer(
    shared: Arc<NodeState>,
    close_announced: Arc<AtomicBool>,
    request: hyper::Request<Incoming>,
) -> ReplyFuture {
    Box::pin(async move {
        let mut reply = serve(Arc::clone(&shared), request).await;
        // Until the load balancer has noticed the shutdown, each reply asks the
        // caller to open another connection, which the balancer then sends to
        // another instance.
        if shared.leaving.load(Ordering::SeqCst) {
            let close = HeaderValue::from_static("close");
            reply.headers_mut().insert(CONNECTION, close);
            close_announced.store(true, Ordering::SeqCst);
        }
        Ok(reply)
    })
}

/// Refuses a connection beyond the limit on open connections.
pub async fn refuse(stream: TcpStream) {
    close(stream, Some(last_reply(Kind::Overloaded))).await;
}

/// Returns the bytes of the reply that is written before a connection is closed.
fn last_reply(kind: Kind) -> Vec<u8> {
    let (line, message) = match kind {
        Kind::SlowSender => (
            "408 Request Timeout",
            "the headers came too slowly; not run",
        ),
        Kind::Overloaded => (
            "429 Too Many Requests",
            "too many connections are open; not run",
        ),
        _ => (
            "503 Service Unavailable",
            "this instance is shutting down; not run",
        ),
    };
    let body = error_body(kind, message, Outcome::NotRun);
    let head = format!(
        "HTTP/1.1 {line}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         connection: close\r\nretry-after: 1\r\n{}: {}\r\n\r\n",
        body.len(),
        header::OUTCOME,
        outcome_name(Outcome::NotRun),
    );
    [head.into_bytes(), body].concat()
}

/// Closes a connection so that everything written to it arrives.
async fn close(mut stream: TcpStream, last: Option<Vec<u8>>) {
    let lingering = async {
        if let Some(last) = last {
            stream.write_all(&last).await?;
        }
        stream.shutdown().await?;
        let mut discarded = [0; DISCARD_BUFFER_BYTES];
        while stream.read(&mut discarded).await? > 0 {}
        std::io::Result::Ok(())
    };
    // The time-out ends the wait for a client that keeps sending or has vanished.
    let _ = tokio::time::timeout(LINGER_TIMEOUT, lingering).await;
}
