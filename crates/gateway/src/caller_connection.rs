//! One connection of a caller, from accepting it to its orderly end.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::body::Guarded;
use crate::catalog::Limits;
use crate::connections::{InRequest, Place};
use crate::lingering;
use crate::listeners::Phase;
use crate::node::Node;
use crate::permits::Permit;
use crate::request::{self, BodyUnread};

/// Minimum size in bytes of the buffer of a connection.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Number of heads of the largest size that fit into it.
const HEADS_PER_BUFFER: usize = 2;

/// Number of connections without a place that are open at a time until their callers have read the refusal.
pub const MAX_REFUSING: usize = 32;
/// The answer to a connection without a place. Its request is not read, so it has not run.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-type: text/plain\r\n\
    content-length: 12\r\nretry-after: 0.5\r\nconnection: close\r\n\r\nconnections\n";

type Answer = Pin<Box<dyn Future<Output = Result<Response<Guarded<InRequest>>, Infallible>>>>;

/// Serves a connection until either side ends it, or `phases` says that it is to be closed.
pub async fn serve(
    stream: TcpStream,
    node: Rc<Node>,
    place: Place,
    mut phases: watch::Receiver<Phase>,
) {
    let place = Rc::new(place);
    let limits = node.limits();
    // One time-out covers the idle time and the time for a head, since hyper starts it when the
    // previous response has ended.
    let head_timeout = Duration::from_millis(limits.silence_ms());
    // Whether the caller may still be sending the body of the last request.
    let is_sending = Rc::new(Cell::new(false));
    let service = service_fn({
        let (node, place, is_sending) = (node.clone(), place.clone(), is_sending.clone());
        move |request| answer(node.clone(), &place, is_sending.clone(), request)
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .max_buf_size(buffer_bytes(&limits))
        .serve_connection(TokioIo::new(stream), service);
    let result = tokio::select! {
        biased;
        // Before a request is read that the caller has sent meanwhile.
        () = place.replaced() => return,
        result = poll_fn(|context| connection.poll_without_shutdown(context)) => Some(result),
        _ = async { phases.wait_for(|phase| *phase == Phase::Closing).await.is_ok() } => None,
    };
    let result = if let Some(result) = result {
        result
    } else {
        Pin::new(&mut connection).graceful_shutdown();
        poll_fn(|context| connection.poll_without_shutdown(context)).await
    };
    if let Err(error) = &result {
        tracing::debug!(event = "caller-connection-ended", %error);
    }
    let is_refused_head = result.is_err_and(|error| error.is_parse());
    if is_sending.get() || is_refused_head {
        let stream = connection.into_parts().io.into_inner();
        lingering::close(stream, node.limits().body_bytes).await;
    }
}

/// Answers a connection that has no place, and closes it. `_permit` bounds how many are open for that.
pub async fn refuse(mut stream: TcpStream, _permit: Permit) {
    if stream.write_all(REFUSAL).await.is_ok() {
        lingering::close(stream, MIN_BUFFER_BYTES).await;
    }
}

/// Returns the largest size in bytes of the buffer of a connection.
#[must_use]
pub const fn buffer_bytes(limits: &Limits) -> usize {
    let head = if limits.header_bytes > MIN_BUFFER_BYTES {
        limits.header_bytes
    } else {
        MIN_BUFFER_BYTES
    };
    head.saturating_mul(HEADS_PER_BUFFER)
}

fn answer(
    node: Rc<Node>,
    place: &Place,
    is_sending: Rc<Cell<bool>>,
    request: Request<Incoming>,
) -> Answer {
    let in_request = place.begin_request();
    Box::pin(async move {
        let response = request::serve(node, request, None).await;
        is_sending.set(response.extensions().get::<BodyUnread>().is_some());
        Ok(response.map(|body| Guarded::new(body, in_request)))
    })
}
