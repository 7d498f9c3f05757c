//! The platform: key-value service, list of instances and rating service
//! behind one address.

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

use crate::http::{answer, json, number, parameter};
use crate::store::Refusal;
use crate::{Fault, Faults, Request, Response, Server, Store};

/// Milliseconds between two looks of a waiting watch.
const WATCH_STEP_MS: u64 = 5;

struct Shared {
    store: Mutex<Store>,
    instances: Mutex<BTreeMap<String, discovery::Instance>>,
    quality: Mutex<BTreeMap<String, f64>>,
    store_faults: Faults,
    rating_faults: Faults,
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    /// The present second and the calls in it.
    second: Mutex<(u64, u64)>,
    started: std::time::Instant,
}

/// The platform's stand-in.
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
    /// When the address cannot be bound.
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
            second: Mutex::new((0, 0)),
            started: std::time::Instant::now(),
        });
        let for_handler = Arc::clone(&shared);
        let handler: crate::Handler = Arc::new(move |request| {
            let shared = Arc::clone(&for_handler);
            Box::pin(async move { shared.serve(request).await })
        });
        let server = Server::new(runtime, listen, handler)?;
        Ok(Self { shared, server })
    }

    /// Returns its address, as `host:port`.
    #[must_use]
    pub fn address(&self) -> String {
        self.server.address().to_string()
    }

    /// Adds an instance to the list or replaces it.
    pub fn set_instance(&self, instance: discovery::Instance) {
        lock(&self.shared.instances).insert(instance.id.clone(), instance);
    }

    /// Marks an instance of the list as leaving.
    pub fn mark_leaving(&self, id: &str) {
        if let Some(instance) = lock(&self.shared.instances).get_mut(id) {
            instance.state = State::Leaving;
        }
    }

    /// Takes an instance from the list.
    pub fn remove_instance(&self, id: &str) {
        lock(&self.shared.instances).remove(id);
    }

    /// Sets the quality that the rating service gives to answers of a version.
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

    /// Returns how often the key-value service was read, written and watched.
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

    /// Reads the store's state without its network.
    pub fn with_store<R>(&self, read: impl FnOnce(&mut Store) -> R) -> R {
        read(&mut lock(&self.shared.store))
    }
}

impl Shared {
    fn now(&self) -> Instant {
        Instant::ORIGIN + self.started.elapsed()
    }

    async fn serve(&self, request: Request) -> Response {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/v1/instances" => Some(self.listing(&request)),
            "/v1/ratings" => self.rating(&request).await,
            _ => self.store(&request, &path).await,
        }
    }

    /// Answers with the list, or with 304 to a reader who has it already.
    fn listing(&self, request: &Request) -> hyper::Response<crate::Body> {
        let body = serde_json::to_vec(&self.instances()).expect("a list has only plain fields");
        let mut hasher = DefaultHasher::new();
        body.hash(&mut hasher);
        let tag = format!("\"{:016x}\"", hasher.finish());
        let known = request.headers().get("if-none-match");
        if known.is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
            return answer(304, "");
        }
        let mut response = answer(200, body);
        let tag = tag.parse().expect("a tag is plain text");
        response.headers_mut().insert("etag", tag);
        response
    }

    fn instances(&self) -> Instances {
        Instances {
            instances: lock(&self.instances).values().cloned().collect(),
        }
    }

    async fn rating(&self, request: &Request) -> Response {
        wait(&self.rating_faults).await?;
        let asked: rating::Request = match serde_json::from_slice(request.body()) {
            Ok(asked) => asked,
            Err(error) => return Some(answer(400, error.to_string())),
        };
        let quality = lock(&self.quality)
            .get(&asked.version)
            .copied()
            .unwrap_or(0.9);
        Some(json(&rating::Rating { quality }))
    }

    async fn store(&self, request: &Request, path: &str) -> Response {
        wait(&self.store_faults).await?;
        if self.is_over_rate() {
            return Some(answer(429, "over the rate"));
        }
        let response = if path == "/v1/watch" {
            self.watch(request).await
        } else {
            self.call(request, path)
        };
        let lost = self.store_faults.get(Fault::DropAnswers) > 0;
        (!lost).then_some(response)
    }

    fn is_over_rate(&self) -> bool {
        let rate = self.store_faults.get(Fault::RateLimit);
        let now = self.started.elapsed().as_secs();
        let mut second = lock(&self.second);
        if second.0 != now {
            *second = (now, 0);
        }
        second.1 += 1;
        rate > 0 && second.1 > rate
    }

    async fn watch(&self, request: &Request) -> hyper::Response<crate::Body> {
        self.watches.fetch_add(1, Ordering::Relaxed);
        let prefix = parameter(request, "prefix").unwrap_or_default();
        let after = number(request, "after");
        let deadline = self.now().plus_millis(number(request, "wait_ms"));
        loop {
            let keys = lock(&self.store).keys(prefix, after);
            let missed = self.store_faults.get(Fault::DropWatchEvents) > 0;
            if !keys.items.is_empty() && !missed {
                let late = self.store_faults.get(Fault::WatchDelayMs);
                sleep(Duration::from_millis(late)).await;
                return json(&keys);
            }
            let down = self.store_faults.get(Fault::Down) > 0;
            if self.now() >= deadline || down {
                return json(&keys);
            }
            sleep(Duration::from_millis(WATCH_STEP_MS)).await;
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
                json(&store.keys(prefix, 0))
            }
            "/v1/leases" => json(&store.grant(now, number(request, "ttl_ms"))),
            _ => renew(&mut store, now, path),
        }
    }

    fn get(&self, store: &Store, key: &str) -> hyper::Response<crate::Body> {
        let each = self.store_faults.get(Fault::StaleReads);
        let reads = self.reads.fetch_add(1, Ordering::Relaxed) + 1;
        let value = if each > 0 && reads.is_multiple_of(each) {
            store.get_stale(key)
        } else {
            store.get(key)
        };
        match value {
            Some(value) => with_version(answer(200, value.bytes), value.version),
            None => answer(404, "no such key"),
        }
    }
}

/// Waits as the faults say; `None` when the service is down.
async fn wait(faults: &Faults) -> Option<()> {
    let slow_ms = faults.get(Fault::DelayMs);
    if slow_ms > 0 {
        sleep(Duration::from_millis(slow_ms)).await;
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
    match store.swap(key, number(request, "version"), value, lease) {
        Ok(version) => with_version(answer(200, ""), version),
        Err(Refusal::Conflict(version)) => {
            with_version(answer(409, "another version stands"), version)
        }
        Err(Refusal::TooLarge) => answer(413, "a value holds at most a megabyte"),
        Err(Refusal::NoLease) => answer(412, "no such lease"),
    }
}

fn renew(store: &mut Store, now: Instant, path: &str) -> hyper::Response<crate::Body> {
    let id = path
        .strip_prefix("/v1/leases/")
        .and_then(|id| id.parse().ok());
    match id.and_then(|id| store.renew(now, id)) {
        Some(lease) => json::<kv::Lease>(&lease),
        None => answer(404, "no such lease"),
    }
}
