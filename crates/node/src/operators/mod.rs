//! The operators' port: health checks, the dump of the process's state, and the
//! administration API. `docs/openapi.yaml` describes its paths.
//!
//! It listens on the address in `listen.operators`. Health and readiness need no
//! token, because load balancers have none. Everything else needs an operator's
//! token ([`token`]). `operators.open_reads` in the settings of the process
//! allows reads without a token; changes always need one.
//!
//! Requests to this port must not slow down callers. rouille serves them on
//! separate threads, calls of the store have deadlines, and the shared state is
//! locked only for short reads.

mod changes;
mod configuration;
mod instances;
mod reply;
mod state;
mod token;

use std::sync::Arc;

use anyhow::{Result, anyhow};
use fescuerack_wire::admin::{Error, Kind};
use rouille::{Request, Response};
use tokio::runtime::Handle;

use crate::node_state::NodeState;

/// A running operators' port.
pub struct Port {
    /// Address that the port listens on.
    pub address: std::net::SocketAddr,
    thread: std::thread::JoinHandle<()>,
    stop: std::sync::mpsc::Sender<()>,
}

/// Data from which requests are answered.
struct Context {
    shared: Arc<NodeState>,
    runtime: Handle,
}

impl Port {
    /// Binds the port and starts serving.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn new(shared: &Arc<NodeState>, runtime: &Handle) -> Result<Self> {
        let listen = shared.settings.listen.operators.clone();
        let context = Context {
            shared: Arc::clone(shared),
            runtime: runtime.clone(),
        };
        let server = rouille::Server::new(&listen, move |request| serve(&context, request))
            .map_err(|error| anyhow!("listen.operators: bind {listen}: {error}"))?;
        let address = server.server_addr();
        let (thread, stop) = server.stoppable();
        Ok(Self {
            address,
            thread,
            stop,
        })
    }

    /// Stops serving.
    pub fn stop(self) {
        // Sending fails only if the thread has already ended.
        let _ = self.stop.send(());
        let _ = self.thread.join();
    }
}

fn serve(context: &Context, request: &Request) -> Response {
    let shared = &context.shared;
    match (request.method(), request.url().as_str()) {
        ("GET", "/healthz") => Response::text("ok"),
        ("GET", "/readyz") if shared.is_ready() => Response::text("ready"),
        ("GET", "/readyz") => Response::text("not ready").with_status_code(503),
        ("GET", path) => answer(read(context, request, path)),
        ("POST", path) => answer(write(shared, request, path)),
        _ => answer(Err(no_such_path())),
    }
}

fn read(context: &Context, request: &Request, path: &str) -> Result<Response, Error> {
    let shared = &context.shared;
    token::reader(shared, request)?;
    match path {
        "/state" => Ok(reply::json(&state::dump(shared))),
        "/v1/status" => Ok(reply::json(&instances::status(shared))),
        "/v1/instances" => Ok(reply::json(&instances::all(context))),
        "/v1/configuration" => configuration::read(shared).map(|found| reply::json(&found)),
        "/v1/history" => configuration::history(shared, request).map(|found| reply::json(&found)),
        "/v1/ledger" => configuration::ledger(shared).map(|found| reply::json(&found)),
        _ => Err(no_such_path()),
    }
}

fn write(shared: &NodeState, request: &Request, path: &str) -> Result<Response, Error> {
    let operator = token::operator(shared, request)?;
    match path {
        "/v1/plans" => changes::plan(shared, request, &operator).map(|plan| reply::json(&plan)),
        "/v1/changes" => {
            changes::submit(shared, request, &operator).map(|accepted| reply::json(&accepted))
        }
        _ => Err(no_such_path()),
    }
}

fn no_such_path() -> Error {
    Error::new(Kind::NotFound, "no such path")
}

fn answer(result: Result<Response, Error>) -> Response {
    result.unwrap_or_else(|error| reply::failure(&error))
}
