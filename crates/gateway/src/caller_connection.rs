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
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::body::ResponseBody;
use crate::lingering;
use crate::listeners::Phase;
use crate::node::Node;
use crate::request::{self, BodyUnread};

/// Minimum size in bytes of the buffer of a connection.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Number of heads of the largest size that fit into it.
const HEADS_PER_BUFFER: usize = 4;

type Answer = Pin<Box<dyn Future<Output = Result<Response<ResponseBody>, Infallible>>>>;

/// Serves a connection until either side ends it, or `phases` says that it is to be closed.
pub async fn serve(stream: TcpStream, node: Rc<Node>, mut phases: watch::Receiver<Phase>) {
    let limits = node.limits();
    // One time-out covers the idle time and the time for a head, since hyper starts it when the
    // previous response has ended.
    let head_timeout = Duration::from_millis(limits.idle_ms + limits.header_ms);
    // Whether the caller may still be sending the body of the last request.
    let is_sending = Rc::new(Cell::new(false));
    let service = service_fn({
        let (node, is_sending) = (node.clone(), is_sending.clone());
        move |request| answer(node.clone(), is_sending.clone(), request)
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES) * HEADS_PER_BUFFER)
        .serve_connection(TokioIo::new(stream), service);
    let result = tokio::select! {
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

fn answer(node: Rc<Node>, is_sending: Rc<Cell<bool>>, request: Request<Incoming>) -> Answer {
    Box::pin(async move {
        let response = request::serve(node, request, None).await;
        is_sending.set(response.extensions().get::<BodyUnread>().is_some());
        Ok(response)
    })
}
