//! The operators' port: health, readiness and the dump of the process's state.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use anyhow::{Result, anyhow};
use rouille::{Request, Response};
use serde_json::json;

use crate::shared::{Shared, lock};

/// A running operators' port.
pub struct Port {
    /// Address that is served.
    pub address: std::net::SocketAddr,
    thread: std::thread::JoinHandle<()>,
    stop: std::sync::mpsc::Sender<()>,
}

impl Port {
    /// Starts serving.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub fn new(shared: &Arc<Shared>) -> Result<Self> {
        let listen = shared.settings.listen.operators.clone();
        let for_handler = Arc::clone(shared);
        let server = rouille::Server::new(&listen, move |request| serve(&for_handler, request))
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
        // The receiver is gone only when the thread has already ended.
        let _ = self.stop.send(());
        let _ = self.thread.join();
    }
}

fn serve(shared: &Shared, request: &Request) -> Response {
    match (request.method(), request.url().as_str()) {
        ("GET", "/healthz") => Response::text("ok"),
        ("GET", "/readyz") => {
            if shared.is_ready() {
                Response::text("ready")
            } else {
                Response::text("not ready").with_status_code(503)
            }
        }
        ("GET", "/state") => Response::json(&state(shared)),
        _ => Response::text("no such path").with_status_code(404),
    }
}

fn state(shared: &Shared) -> serde_json::Value {
    let force = shared.force();
    let admission = shared.gate.summary();
    let servers: Vec<_> = lock(&shared.routes)
        .iter()
        .map(|(_, server)| {
            json!({
                "id": server.id,
                "zone": server.zone,
                "address": server.address,
                "state": server.state,
                "in_flight": server.in_flight,
                "work": server.work,
                "health": server.health,
                "first_s": server.first.value,
            })
        })
        .collect();
    json!({
        "instance": shared.settings.instance,
        "zone": shared.settings.zone,
        "incarnation": shared.incarnation,
        "ready": shared.is_ready(),
        "draining": shared.draining.load(Ordering::SeqCst),
        "configuration": {"revision": force.catalog.revision},
        "admission": admission,
        "route": {"servers": servers},
        "member": member(shared),
        "ledger": {"pending": lock(&shared.book).pending()},
        "counters": shared.metrics.counters(),
    })
}

fn member(shared: &Shared) -> serde_json::Value {
    let now = shared.now();
    let member = lock(&shared.member);
    let instances: Vec<_> = member
        .view
        .iter()
        .map(|(key, instance)| {
            json!({
                "id": instance.id,
                "zone": instance.zone,
                "address": instance.address,
                "state": instance.state,
                "listed": instance.listed,
                "live": member.view.is_live(now, key),
                "heard_ms_ago": instance.heard.map(|heard| now.since(heard).as_millis()),
                "failures": instance.failures,
            })
        })
        .collect();
    json!({
        "instances": instances,
        "hashes": member.replica.hashes(),
    })
}
