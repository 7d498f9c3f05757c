//! The platform's key-value service.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fescuerack_core::store::{Lane, MAX_VALUE_BYTES};
use fescuerack_wire::{header, kv};

use crate::http::Response;
use crate::limit::Limit;
use crate::{Agent, CallCounts, Fault, agent};

pub use fescuerack_core::store::Value;

/// Result of a compare-and-swap that was surely decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Swap {
    /// The value was written and has this version.
    Swapped(u64),
    /// Somebody else's value stands, with this version.
    Conflict(u64),
}

/// Compare-and-swap, leases and watches.
pub trait Store: Send + Sync {
    /// Reads a value.
    ///
    /// # Errors
    ///
    /// When the service gives no answer.
    fn get(&self, key: &str) -> Result<Option<Value>, Fault>;

    /// Writes a value if its version is `expected` (0: if it is absent), under
    /// a lease if one is given.
    ///
    /// # Errors
    ///
    /// [`Fault::Unknown`] when the write may have taken effect: read back
    /// before deciding.
    fn swap(
        &self,
        key: &str,
        expected: u64,
        value: Bytes,
        lease: Option<u64>,
    ) -> Result<Swap, Fault>;

    /// Lists the keys under a prefix.
    ///
    /// # Errors
    ///
    /// When the service gives no answer.
    fn keys(&self, prefix: &str) -> Result<kv::Keys, Fault>;

    /// Waits until a key under `prefix` has a version above `after`, or until
    /// `wait` has passed, and returns the latest version.
    ///
    /// # Errors
    ///
    /// When the service gives no answer.
    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<u64, Fault>;

    /// Grants a lease.
    ///
    /// # Errors
    ///
    /// When the service gives no answer; a lease that was granted all the same
    /// lapses by itself.
    fn grant(&self, ttl: Duration) -> Result<kv::Lease, Fault>;

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// When the service gives no answer or the lease has lapsed.
    fn renew(&self, lease: u64) -> Result<kv::Lease, Fault>;
}

/// The key-value service over HTTP. Clones share connections and rate.
#[derive(Clone, Debug)]
pub struct HttpStore {
    agent: Agent,
    url: String,
    limit: Arc<Limit>,
    writes: Lane,
}

impl HttpStore {
    /// Idle connections that are kept.
    const IDLE: usize = 16;

    /// Creates a client of the platform at `address`, as `host:port`. Its rate
    /// is unlimited until [`HttpStore::set_node_count`] says how many share it.
    #[must_use]
    pub fn new(address: &str) -> Self {
        Self {
            agent: agent(Self::IDLE),
            url: format!("http://{address}"),
            limit: Arc::new(Limit::new()),
            writes: Lane::Write,
        }
    }

    /// Returns a client whose writes are the ledger's.
    #[must_use]
    pub fn for_ledger(&self) -> Self {
        Self {
            writes: Lane::Ledger,
            ..self.clone()
        }
    }

    /// Keeps to the share of one of `nodes` live instances.
    pub fn set_node_count(&self, nodes: u32) {
        self.limit.set_node_count(nodes);
    }

    /// Returns the calls that were made.
    #[must_use]
    pub fn call_counts(&self) -> CallCounts {
        self.limit.call_counts()
    }

    /// Makes a call within the rate and the time that the service needs.
    fn call(
        &self,
        lane: Lane,
        wait: Duration,
        make: impl FnOnce(Duration) -> Result<Response, ureq::Error>,
    ) -> Result<Response, Fault> {
        self.limit.enter(lane)?;
        let start = std::time::Instant::now();
        let result = make(self.limit.timeout() + wait);
        let took = start.elapsed().saturating_sub(wait);
        self.limit.learn(took, result.is_ok());
        result.map_err(|error| Fault::from_client(&error))
    }

    fn read(&self, path: &str, wait: Duration) -> Result<Response, Fault> {
        let url = format!("{}{path}", self.url);
        self.call(Lane::Read, wait, |timeout| {
            let request = self.agent.get(url).config();
            request.timeout_global(Some(timeout)).build().call()
        })
    }

    fn lease(&self, path: &str) -> Result<kv::Lease, Fault> {
        let url = format!("{}{path}", self.url);
        json(self.call(Lane::Read, Duration::ZERO, |timeout| {
            let request = self.agent.post(url).config();
            request.timeout_global(Some(timeout)).build().send_empty()
        })?)
    }
}

fn version(response: &Response) -> Result<u64, Fault> {
    response
        .headers()
        .get(header::KV_VERSION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok())
        .ok_or_else(|| Fault::Malformed("no version in the answer".to_owned()))
}

fn refused(mut response: Response) -> Fault {
    let status = response.status().as_u16();
    let message = response.body_mut().read_to_string().unwrap_or_default();
    if status >= 500 {
        // A failure inside the service says nothing about the write.
        return Fault::Unknown(format!("status {status}: {message}"));
    }
    Fault::Refused { status, message }
}

fn json<T: serde::de::DeserializeOwned>(mut response: Response) -> Result<T, Fault> {
    if response.status() != 200 {
        return Err(refused(response));
    }
    response
        .body_mut()
        .read_json()
        .map_err(|error| Fault::Malformed(error.to_string()))
}

impl Store for HttpStore {
    fn get(&self, key: &str) -> Result<Option<Value>, Fault> {
        let mut response = self.read(&format!("/v1/kv/{key}"), Duration::ZERO)?;
        match response.status().as_u16() {
            200 => {
                let version = version(&response)?;
                let bytes = response
                    .body_mut()
                    .read_to_vec()
                    .map_err(|error| Fault::from_client(&error))?;
                Ok(Some(Value {
                    version,
                    bytes: Bytes::from(bytes),
                }))
            }
            404 => Ok(None),
            _ => Err(refused(response)),
        }
    }

    fn swap(
        &self,
        key: &str,
        expected: u64,
        value: Bytes,
        lease: Option<u64>,
    ) -> Result<Swap, Fault> {
        if value.len() > MAX_VALUE_BYTES {
            let message = format!("{key}: {} bytes, over {MAX_VALUE_BYTES}", value.len());
            return Err(Fault::Refused {
                status: 413,
                message,
            });
        }
        let lease = lease.map_or_else(String::new, |lease| format!("&lease={lease}"));
        let url = format!("{}/v1/kv/{key}?version={expected}{lease}", self.url);
        let response = self.call(self.writes, Duration::ZERO, |timeout| {
            let request = self.agent.put(url).config();
            request
                .timeout_global(Some(timeout))
                .build()
                .send(&value[..])
        })?;
        match response.status().as_u16() {
            200 => Ok(Swap::Swapped(version(&response)?)),
            409 => Ok(Swap::Conflict(version(&response)?)),
            _ => Err(refused(response)),
        }
    }

    fn keys(&self, prefix: &str) -> Result<kv::Keys, Fault> {
        json(self.read(&format!("/v1/keys?prefix={prefix}"), Duration::ZERO)?)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<u64, Fault> {
        let wait_ms = wait.as_millis();
        let path = format!("/v1/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        let keys: kv::Keys = json(self.read(&path, wait)?)?;
        Ok(keys.version)
    }

    fn grant(&self, ttl: Duration) -> Result<kv::Lease, Fault> {
        self.lease(&format!("/v1/leases?ttl_ms={}", ttl.as_millis()))
    }

    fn renew(&self, lease: u64) -> Result<kv::Lease, Fault> {
        self.lease(&format!("/v1/leases/{lease}"))
    }
}
