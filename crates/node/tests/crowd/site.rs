//! One process of the program before a backend server and a store.

use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::time::Duration;

use fescuerack_core::gateway::budget::Bound;
use serde_json::json;
use tempfile::TempDir;

use crate::addresses::Addresses;
use crate::backend::Backend;
use crate::client::{self, Target};
use crate::process::{Process, State};
use crate::store::Store;
use crate::usage::Sampler;

/// Memory of the machine in megabytes, by the settings of the process.
const MEMORY_MB: usize = 64;
/// Descriptors that the process may open, by its settings.
const MAX_DESCRIPTORS: usize = 600;
/// Largest body in bytes that the configuration allows.
pub const MAX_BODY_BYTES: usize = 1_000_000;
/// Size in bytes of the body of an ordinary request.
const ORDINARY_BYTES: usize = 2_000;
/// How often an ordinary caller comes back that is told when to.
const MAX_TRIES: usize = 60;
/// Time after which it comes back if it is not told.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
const RETRIES: Bound = Bound {
    ratio: 0.9,
    slack: 50.0,
    window_ms: 10_000,
};

/// A process, and what it needs to serve.
pub struct Site {
    process: Process,
    backend: Backend,
    sampler: Sampler,
    _store: Store,
    _folder: TempDir,
    _addresses: Addresses,
}

impl Site {
    /// Starts all of it and waits until the process serves.
    pub async fn new() -> Self {
        let store = Store::new().await;
        let backend = Backend::new().await;
        configure(&store, &backend);
        let folder = tempfile::tempdir().expect("a folder");
        let addresses = Addresses::new(1);
        let ip: Ipv4Addr = addresses.all()[0];
        let limits = format!("limits: {{memory_mb: {MEMORY_MB}, max_fds: {MAX_DESCRIPTORS}}}\n");
        let process = Process::new(0, ip, "a", store.address, &RETRIES, folder.path());
        let process = RefCell::new(process.with_settings(&limits));
        Process::start(&process).await;
        let process = process.into_inner();
        let id = process.id().expect("it runs");
        let sampler = Sampler::new(id, process.callers);
        Self {
            process,
            backend,
            sampler,
            _store: store,
            _folder: folder,
            _addresses: addresses,
        }
    }

    /// Returns where callers send requests.
    pub fn target(&self) -> Target {
        Target {
            address: self.process.callers,
            path: client::PATH,
            key: client::KEY,
        }
    }

    /// Returns how many requests the server has run.
    pub fn runs(&self) -> usize {
        self.backend.runs()
    }

    /// Sends an ordinary request, which must be answered.
    pub async fn serve_ordinary(&mut self) {
        self.serve("an ordinary request", ORDINARY_BYTES).await;
    }

    /// Sends a request with the largest body that is allowed, which must be answered.
    pub async fn serve_largest(&mut self) {
        self.serve("the largest request", MAX_BODY_BYTES).await;
    }

    async fn serve(&mut self, what: &str, bytes: usize) {
        let mut last = None;
        for _ in 0..MAX_TRIES {
            assert_eq!(self.process.poll(), State::Running, "the process has ended");
            let answer = client::call(self.target(), bytes).await;
            if answer.as_ref().is_some_and(|answer| answer.status() == 200) {
                return;
            }
            let wait = answer.as_ref().and_then(client::retry_after);
            tokio::time::sleep(wait.unwrap_or(RETRY_INTERVAL)).await;
            last = answer.map(|answer| answer.status());
        }
        panic!("{what} got no answer, the last status: {last:?}");
    }

    /// Checks that the process lives and has stayed within its memory and descriptors.
    pub fn check(&mut self) {
        assert_eq!(self.process.poll(), State::Running, "the process has ended");
        let peak = self.sampler.peak();
        println!("{peak:?}");
        let held = peak.resident_bytes + peak.unread_bytes;
        assert!(held <= MEMORY_MB << 20, "too much memory: {peak:?}");
        assert!(
            peak.descriptors <= MAX_DESCRIPTORS,
            "too many descriptors: {peak:?}"
        );
    }
}

fn configure(store: &Store, backend: &Backend) {
    let route = json!({
        "name": "look", "hostname": client::HOST, "prefix": "/look/", "kind": "idempotent",
        "service": "books", "timeout_ms": 30_000, "target_latency_ms": 1_000, "max_attempts": 2,
        "priority": 1, "public": false
    });
    let config = json!({
        "version": 3,
        "routes": [route],
        "services": [{"name": "books"}],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000
        },
        "tenants": [{"name": "acme", "api_keys": [client::KEY], "priority": 2}]
    });
    store.put("op/config", &config);
    let entry = json!({
        "service": "books", "address": backend.address.to_string(), "zone": "a", "version": "v1",
        "slots": 64, "state": "ready", "warmup_left_ms": 0, "sequence": 1
    });
    store.put("servers/e1", &entry);
}
