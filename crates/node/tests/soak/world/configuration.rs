//! The configurations that operators write in a run, and probes of which one is active.

use std::time::Instant;

use serde_json::{Value, json};

use super::{ACTIVATION_TIMEOUT, World};
use crate::backend::{COLD_DURATION, MAX_COLD_PER_SECOND, MODELS};
use crate::caller::{self, KEY, Request};
use crate::observations::Kind;
use crate::store::Store;

impl World {
    /// Writes a new configuration and checks later whether it is active.
    pub(super) async fn configure(&self) {
        let version = self.version.get() + 1;
        self.version.set(version);
        configure(&self.store, version);
        let written_at = Instant::now();
        tokio::time::sleep(ACTIVATION_TIMEOUT).await;
        for node in 0..self.processes.len() {
            let is_newest = self.version.get() == version;
            if is_newest && self.context.disturbances.can_follow_store(node, written_at) {
                self.probe(node, version).await;
            }
        }
    }

    /// Sends a node requests that only one version of the configuration allows or denies.
    async fn probe(&self, node: usize, version: u64) {
        let new = format!("/v{version}/1");
        let old = format!("/v{}/1", version - 1);
        let old_key = format!("key-{}", version - 1);
        let probes = [
            (&*new, KEY, false, "the new route"),
            (&*old, KEY, true, "the dropped route"),
            ("/look/1", &*old_key, true, "the dropped key"),
        ];
        for (number, (path, key, is_denied, what)) in probes.into_iter().enumerate() {
            let Some(mut stream) = caller::connect(&self.context, node).await else {
                continue;
            };
            let id = format!("probe-{version}-{node}-{number}");
            let request = Request {
                id: &id,
                kind: Kind::Look,
                path,
                key,
            };
            let answer = caller::send(&self.context, node, &mut stream, &request).await;
            let Some(status) = answer.map(|answer| answer.status()) else {
                continue;
            };
            self.context.observations.count(|tally| tally.probes += 1);
            if matches!(status, 401 | 404) != is_denied && self.version.get() == version {
                let line = format!("n{node} gives {status} for {what} of version {version}");
                self.context.observations.record_violation(line);
            }
        }
    }
}

/// Writes the configuration of a version. Each version has a route and a key that no other
/// version has.
pub fn configure(store: &Store, version: u64) {
    let route = |prefix: &str, kind: &str, service: &str| {
        json!({
            "name": prefix, "hostname": "shop.example", "prefix": prefix, "kind": kind,
            "service": service, "timeout_ms": 10_000, "target_latency_ms": 500,
            "max_attempts": 3, "priority": 1, "public": false
        })
    };
    let service = |name: &str| {
        let millis = u32::try_from(COLD_DURATION.as_millis()).expect("short");
        json!({
            "name": name, "warmup_s": f64::from(millis) / 1_000.0, "warmup_per_s": MAX_COLD_PER_SECOND
        })
    };
    let mut talk = route("/talk/", "streaming", "models");
    talk["resumable"] = Value::Bool(true);
    talk["gap_target_ms"] = json!(1_000);
    let mut sum = route("/sum/", "idempotent", "books");
    let mut book = route("/book/", "non_idempotent", "books");
    for route in [&mut talk, &mut sum, &mut book] {
        route["sizes"] = json!(MODELS);
    }
    let version_prefix = format!("/v{version}/");
    let config = json!({
        "version": version * 3,
        "routes": [
            route("/look/", "idempotent", "books"), route("/pay/", "non_idempotent", "books"),
            talk, sum, book, route(&version_prefix, "idempotent", "books")
        ],
        "services": [service("books"), service("models")],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 1_000,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000
        },
        "tenants": [{"name": "acme", "api_keys": [KEY, format!("key-{version}")], "priority": 2}]
    });
    store.put("op/config", &config);
}
