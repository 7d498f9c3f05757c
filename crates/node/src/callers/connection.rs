//! One connection of a caller, from its acceptance to a clean end.
//!
//! Failures answered here:
//!
//! - **A request sent while the connection is being closed.** An idle
//!   connection that is simply closed may cross a request on its way; its
//!   caller sees a broken connection and cannot tell whether the request ran.
//!   So an idle connection that this side gives up gets a last answer, "not
//!   run", before its end: a request that crosses it reads that answer, and it
//!   is true, because nothing more is read as a request.
//! - **An answer lost to a reset.** Closing a socket with unread bytes resets
//!   it, and the reset can overtake the answer (a refusal of a body that is
//!   still being sent). So the sending side is closed first and the rest is
//!   read and dropped for a moment.
//! - **A sender that never ends its headers** holds a connection and nothing
//!   else; it gets a typed error when its time is up.

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
use crate::shared::Shared;

/// Time for which the rest of a closed connection is read and dropped: some
/// round trips to a client in the region, little against a shutdown.
const LINGER: Duration = Duration::from_millis(500);
/// Bytes of the buffer into which the rest is dropped.
const DROP_BUFFER: usize = 4 << 10;
/// Largest head of a request, in bytes; bounds the memory of a connection.
const HEAD_BYTES: usize = 32 << 10;
/// Most headers of a request.
const HEADERS: usize = 64;

type Answering = Pin<Box<dyn Future<Output = Result<Reply, Infallible>> + Send>>;

/// Serves a connection until either side ends it.
pub async fn run(shared: Arc<Shared>, stream: TcpStream, mut phase: watch::Receiver<Phase>) {
    // Without this a token waits for the acknowledgement of the one before it.
    let _ = stream.set_nodelay(true);
    shared.metrics.count("callers.connections");
    let serving = *phase.borrow_and_update() == Phase::Serving;
    let told = Arc::new(AtomicBool::new(false));
    let header_timeout = Duration::from_millis(shared.settings.limits.header_timeout_ms);
    let service = {
        let shared = Arc::clone(&shared);
        let told = Arc::clone(&told);
        service_fn(move |request| answer(Arc::clone(&shared), Arc::clone(&told), request))
    };
    let socket = Socket::new(Arc::clone(&shared), stream);
    let mut connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .max_buf_size(HEAD_BYTES)
        .max_headers(HEADERS)
        .serve_connection(TokioIo::new(socket), service);
    let mut closing = false;
    let result = tokio::select! {
        result = poll_fn(|context| connection.poll_without_shutdown(context)) => result,
        () = leaves(&mut phase), if serving => {
            closing = true;
            Pin::new(&mut connection).graceful_shutdown();
            poll_fn(|context| connection.poll_without_shutdown(context)).await
        }
    };
    let stream = connection.into_parts().io.into_inner().into_inner();
    let last = match result {
        Ok(()) if closing && !told.load(Ordering::SeqCst) => Some(Kind::Unavailable),
        Ok(()) => None,
        Err(error) if error.is_timeout() => {
            shared.metrics.count("callers.slow_headers");
            Some(Kind::SlowSender)
        }
        Err(error) if error.is_parse() || error.is_parse_too_large() => {
            shared.metrics.count("callers.malformed");
            None
        }
        // A connection that broke has no one left to tell.
        Err(_) => return,
    };
    end(stream, last.map(last_answer)).await;
}

/// Waits until the process refuses new work.
async fn leaves(phase: &mut watch::Receiver<Phase>) {
    // The sender is gone only when the runtime is going too.
    let _ = phase.wait_for(|phase| *phase != Phase::Serving).await;
}

fn answer(
    shared: Arc<Shared>,
    told: Arc<AtomicBool>,
    request: hyper::Request<Incoming>,
) -> Answering {
    Box::pin(async move {
        let mut reply = serve(Arc::clone(&shared), request).await;
        // While the balancer may lag, each answer asks its caller to come back
        // by another connection, which the balancer then sends elsewhere.
        if shared.leaving.load(Ordering::SeqCst) {
            let close = HeaderValue::from_static("close");
            reply.headers_mut().insert(CONNECTION, close);
            told.store(true, Ordering::SeqCst);
        }
        Ok(reply)
    })
}

/// Refuses a connection for which there is no room.
pub async fn refuse(stream: TcpStream) {
    end(stream, Some(last_answer(Kind::Overloaded))).await;
}

/// Returns the bytes of the answer that an idle connection ends with.
fn last_answer(kind: Kind) -> Vec<u8> {
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

/// Ends a connection so that whatever was written arrives.
async fn end(mut stream: TcpStream, last: Option<Vec<u8>>) {
    let lingering = async {
        if let Some(last) = last {
            stream.write_all(&last).await?;
        }
        stream.shutdown().await?;
        let mut dropped = [0; DROP_BUFFER];
        while stream.read(&mut dropped).await? > 0 {}
        std::io::Result::Ok(())
    };
    // A peer that has gone, or that keeps sending, gets no more of our time.
    let _ = tokio::time::timeout(LINGER, lingering).await;
}
