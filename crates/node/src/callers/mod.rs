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
mod connection;
mod entry;
mod intake;
mod models;
mod port;
mod prompt;
mod reply;
mod service;
mod stream;
mod upstream;

use std::sync::Arc;
use std::sync::atomic::Ordering;

use fescuerack_wire::error::Kind;
use hyper::body::Incoming;

use crate::shared::Shared;
pub use port::Port;
use reply::{Reply, failure};

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
