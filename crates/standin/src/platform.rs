//! Stand-in for the platform: key-value service, instance list and rating service at one address.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::Result;
use fescuerack_core::clock::Instant;
use fescuerack_core::route::State;
use fescuerack_wire::discovery::{self, Instances};
use fescuerack_wire::{header, kv, rating};
use tokio::runtime::Handle;
use tokio::time::sleep;

use crate::http::{build_response, json_response, number_parameter, parameter};
use crate::store::Refusal;
use crate::{Fault, Faults, Request, Response, Server, Store};

/// Interval at which a waiting watch polls the store, in milliseconds.
const WATCH_POLL_MS: u64 = 5;

struct Shared {
    store: Mutex<Store>,
    instances: Mutex<BTreeMap<String, discovery::ListedInstance>>,
    quality: Mutex<BTreeMap<String, f64>>,
    store_faults: Faults,
    rating_faults: Faults,
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    /// Current second since the start and the number of calls in it.
    calls_in_second: Mutex<(u64, u64)>,
    started: std::time::Instant,
}

/// A running stand-in platform.
pub struct Platform {
    shared: Arc<Shared>,
    server: Server,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Platform {
    /// Starts the platform on `listen`.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub fn new(runtime: &Handle, listen: &str) -> Result<Self> {
        let shared = Arc::new(Shared {
            store: Mutex::new(Store::new()),
            instances: Mutex::new(BTreeMap::new()),
            quality: Mutex::new(BTreeMap::new()),
            store_faults: Faults::new(),
            rating_faults: Faults::new(),
            reads: AtomicU64::new(0),
            writes: AtomicU64::new(0),
            watches: AtomicU64::new(0),
            calls_in_second: Mutex::new((0, 0)),
            started: std::time::Instant::now(),
        });
        let server = Server::with_state(runtime, listen, &shared, |shared, request| async move {
            shared.serve(request).await
        })?;
        Ok(Self { shared, server })
    }

    /// Returns the address of the platform, as `host:port`.
    #[must_use]
    pub fn address(&self) -> String {
        self.server.address().to_string()
    }

    /// Adds an instance to the instance list or replaces it.
    pub fn set_instance(&self, instance: discovery::ListedInstance) {
        lock(&self.shared.instances).insert(instance.id.clone(), instance);
    }

    /// Marks an instance in the list as leaving.
    pub fn mark_leaving(&self, id: &str) {
        if let Some(instance) = lock(&self.shared.instances).get_mut(id) {
            instance.state = State::Leaving;
        }
    }

    /// Removes an instance from the list.
    pub fn remove_instance(&self, id: &str) {
        lock(&self.shared.instances).remove(id);
    }

    /// Sets the quality that the rating service returns for answers of a version.
    pub fn set_quality(&self, version: &str, quality: f64) {
        lock(&self.shared.quality).insert(version.to_owned(), quality);
    }

    /// Returns the faults of the key-value service.
    #[must_use]
    pub fn store_faults(&self) -> &Faults {
        &self.shared.store_faults
    }

    /// Returns the faults of the rating service.
    #[must_use]
    pub fn rating_faults(&self) -> &Faults {
        &self.shared.rating_faults
    }

    /// Returns the numbers of reads, writes and watches that the key-value service received.
    #[must_use]
    pub fn store_calls(&self) -> [u64; 3] {
        let Shared {
            reads,
            writes,
            watches,
            ..
        } = &*self.shared;
        [reads, writes, watches].map(|count| count.load(Ordering::Relaxed))
    }

    /// Accesses the state of the store without the network.
    pub fn with_store<R>(&self, f: impl FnOnce(&mut Store) -> R) -> R {
        f(&mut lock(&self.shared.store))
    }
}

impl Shared {
    fn now(&self) -> Instant {
        Instant::ORIGIN + self.started.elapsed()
    }

    async fn serve(&self, request: Request) -> Response {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/v1/instances" => Some(self.instance_list(&request)),
            "/v1/ratings" => self.rating(&request).await,
            _ => self.serve_store(&request, &path).await,
        }
    }

    /// Returns the instance list, or status 304 to a client that already has it.
    fn instance_list(&self, request: &Request) -> hyper::Response<crate::Body> {
        let body =
            serde_json::to_vec(&self.instances()).expect("an instance list serialises to JSON");
        let mut hasher = DefaultHasher::new();
        body.hash(&mut hasher);
        let tag = format!("\"{:016x}\"", hasher.finish());
        let known = request.headers().get("if-none-match");
        if known.is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
            return build_response(304, "");
        }
        let mut response = build_response(200, body);
        let tag = tag.parse().expect("an entity tag is a valid header value");
        response.headers_mut().insert("etag", tag);
        response
    }

    fn instances(&self) -> Instances {
        Instances {
            instances: lock(&self.instances).values().cloned().collect(),
        }
    }

    async fn rating(&self, request: &Request) -> Response {
        apply_faults(&self.rating_faults).await?;
        let parsed: rating::Request = match serde_json::from_slice(request.body()) {
            Ok(parsed) => parsed,
            Err(error) => return Some(build_response(400, error.to_string())),
        };
        let quality = lock(&self.quality)
            .get(&parsed.version)
            .copied()
            .unwrap_or(0.9);
        Some(json_response(&rating::Rating { quality }))
    }

    async fn serve_store(&self, request: &Request, path: &str) -> Response {
        apply_faults(&self.store_faults).await?;
        if self.is_over_rate() {
            return Some(build_response(429, "over the rate"));
        }
        let response = if path == "/v1/watch" {
            self.watch(request).await
        } else {
            self.call(request, path)
        };
        let is_lost = self.store_faults.get(Fault::DropAnswers) > 0;
        (!is_lost).then_some(response)
    }

    fn is_over_rate(&self) -> bool {
        let rate = self.store_faults.get(Fault::RateLimit);
        let now = self.started.elapsed().as_secs();
        let mut calls = lock(&self.calls_in_second);
        if calls.0 != now {
            *calls = (now, 0);
        }
        calls.1 += 1;
        rate > 0 && calls.1 > rate
    }

    async fn watch(&self, request: &Request) -> hyper::Response<crate::Body> {
        self.watches.fetch_add(1, Ordering::Relaxed);
        let prefix = parameter(request, "prefix").unwrap_or_default();
        let after = number_parameter(request, "after");
        let deadline = self.now().plus_millis(number_parameter(request, "wait_ms"));
        loop {
            let keys = lock(&self.store).keys(prefix, after);
            let is_dropped = self.store_faults.get(Fault::DropWatchEvents) > 0;
            if !keys.items.is_empty() && !is_dropped {
                let delay_ms = self.store_faults.get(Fault::WatchDelayMs);
                sleep(Duration::from_millis(delay_ms)).await;
                return json_response(&keys);
            }
            let is_down = self.store_faults.get(Fault::Down) > 0;
            if self.now() >= deadline || is_down {
                return json_response(&keys);
            }
            sleep(Duration::from_millis(WATCH_POLL_MS)).await;
        }
    }

    fn call(&self, request: &Request, path: &str) -> hyper::Response<crate::Body> {
        let now = self.now();
        let mut store = lock(&self.store);
        store.expire(now);
        if let Some(key) = path.strip_prefix("/v1/kv/") {
            return if request.method() == hyper::Method::PUT {
                self.writes.fetch_add(1, Ordering::Relaxed);
                put(&mut store, request, key)
            } else {
                self.get(&store, key)
            };
        }
        match path {
            "/v1/keys" => {
                let prefix = parameter(request, "prefix").unwrap_or_default();
                json_response(&store.keys(prefix, 0))
            }
            "/v1/leases" => json_response(&store.grant(now, number_parameter(request, "ttl_ms"))),
            _ => renew(&mut store, now, path),
        }
    }

    fn get(&self, store: &Store, key: &str) -> hyper::Response<crate::Body> {
        let stale_interval = self.store_faults.get(Fault::StaleReads);
        let reads = self.reads.fetch_add(1, Ordering::Relaxed) + 1;
        let value = if stale_interval > 0 && reads.is_multiple_of(stale_interval) {
            store.get_stale(key)
        } else {
            store.get(key)
        };
        match value {
            Some(value) => with_version(build_response(200, value.bytes), value.version),
            None => build_response(404, "no such key"),
        }
    }
}

/// Applies the delay of the faults. Returns `None` when the service is down.
async fn apply_faults(faults: &Faults) -> Option<()> {
    let delay_ms = faults.get(Fault::DelayMs);
    if delay_ms > 0 {
        sleep(Duration::from_millis(delay_ms)).await;
    }
    (faults.get(Fault::Down) == 0).then_some(())
}

fn with_version(
    mut response: hyper::Response<crate::Body>,
    version: u64,
) -> hyper::Response<crate::Body> {
    response
        .headers_mut()
        .insert(header::KV_VERSION, version.into());
    response
}

fn put(store: &mut Store, request: &Request, key: &str) -> hyper::Response<crate::Body> {
    let lease = parameter(request, "lease").and_then(|lease| lease.parse().ok());
    let value = request.body().clone();
    match store.swap(key, number_parameter(request, "version"), value, lease) {
        Ok(version) => with_version(build_response(200, ""), version),
        Err(Refusal::Conflict(version)) => {
            with_version(build_response(409, "the key has another version"), version)
        }
        Err(Refusal::TooLarge) => build_response(413, "the value is larger than one megabyte"),
        Err(Refusal::NoLease) => build_response(412, "no such lease"),
    }
}

fn renew(store: &mut Store, now: Instant, path: &str) -> hyper::Response<crate::Body> {
    let id = path
        .strip_prefix("/v1/leases/")
        .and_then(|id| id.parse().ok());
    match id.and_then(|id| store.renew(now, id)) {
        Some(lease) => json_response::<kv::Lease>(&lease),
        None => build_response(404, "no such lease"),
    }
}
