//! The callers' port: the HTTP server for completions and plain services.
//!
//! It is built on hyper. The operators' port uses rouille, which holds a
//! streamed body back until its end (see `docs/design/callers-port.md`), so
//! tokens would not reach the caller as they are generated.

mod admit;
mod attempts;
mod billing;
mod choice;
mod collect;
mod completion;
mod connection;
mod format;
mod models;
mod observer;
mod plan_runner;
mod port;
mod prompt;
mod reply;
mod request;
mod route;
mod service;
mod stream;
mod stream_body;
mod upstream;
mod write_timeout;

use std::sync::Arc;
use std::sync::atomic::Ordering;

use fescuerack_core::attempt::Outcome;
use fescuerack_wire::error::Kind;
use hyper::Method;
use hyper::body::Incoming;

use crate::node_state::NodeState;
pub use port::Port;
use reply::{ErrorSummary, Refusal, Reply, buffered_reply, with_header};
use request::Call;
use route::Route;

/// Answers a request and counts the reply if it is a typed error.
async fn serve(shared: Arc<NodeState>, request: hyper::Request<Incoming>) -> Reply {
    shared.metrics.count("callers.requests");
    let reply = answer(&shared, request).await;
    let reply = reply.unwrap_or_else(Reply::from);
    if let Some(summary) = reply.extensions().get::<ErrorSummary>() {
        shared.metrics.count(summary.counter());
        if summary.outcome == Outcome::NotRun {
            shared.metrics.count("callers.refused");
        }
    }
    reply
}

async fn answer(
    shared: &Arc<NodeState>,
    request: hyper::Request<Incoming>,
) -> Result<Reply, Refusal> {
    if shared.draining.load(Ordering::SeqCst) {
        let message = "this instance is shutting down; not run";
        return Err(Refusal::new(Kind::Unavailable, message));
    }
    if !shared.is_initialized() {
        let message = "this instance is starting; not run";
        return Err(Refusal::new(Kind::Unavailable, message));
    }
    let (parts, body) = request.into_parts();
    let route = Route::new(parts.uri.path());
    if parts.method == Method::OPTIONS && route != Some(Route::Service) {
        return Ok(options(route));
    }
    let head = request::head(shared, &parts)?;
    let Some(route) = route else {
        return Err(Refusal::new(Kind::NotFound, "no such path"));
    };
    if !route.accepts(&parts.method) {
        let message = format!("this path takes {}", route.methods());
        let reply = Reply::from(Refusal::new(Kind::MethodNotAllowed, message));
        return Ok(with_header(reply, "allow", route.methods()));
    }
    let body = request::body(shared, body).await?;
    let call = Call::new(head, &parts, body);
    let shared = Arc::clone(shared);
    Ok(match route {
        Route::Completion => completion::answer(shared, call).await,
        Route::Models => models::answer(&shared, &call),
        Route::Service => {
            let path = call.path.clone();
            let rest = path.trim_start_matches(route::SERVICES_PREFIX);
            service::answer(shared, call, rest).await
        }
    })
}

/// Answers `OPTIONS` with the methods of a path. It needs no key, because the
/// paths are no secret.
fn options(route: Option<Route>) -> Reply {
    let Some(route) = route else {
        return Refusal::new(Kind::NotFound, "no such path").into();
    };
    let reply = buffered_reply(204, "text/plain", "");
    with_header(reply, "allow", route.methods())
}
