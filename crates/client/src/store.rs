//! Client of the platform's key-value service.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fescuerack_core::store::{Lane, MAX_VALUE_BYTES};
use fescuerack_wire::{header, kv};

use crate::http::Response;
use crate::limit::CallLimiter;
use crate::{Agent, CallCounts, Fault, agent};

pub use fescuerack_core::store::Value;

/// Result of a compare-and-swap whose outcome is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Swap {
    /// The value was written and has this version.
    Swapped(u64),
    /// Nothing was written: the current value has this version.
    Conflict(u64),
}

/// A key-value store with compare-and-swap, leases and watches.
pub trait Store: Send + Sync {
    /// Reads a value, or `None` if the key is absent.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the service does not answer.
    fn get(&self, key: &str) -> Result<Option<Value>, Fault>;

    /// Writes a value if the key's current version is `expected` (0: if the key is absent), bound
    /// to a lease if one is given.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the outcome is unknown or nothing was written. After
    /// [`Fault::Unknown`] and [`Fault::Malformed`] the write may have taken effect; the caller must
    /// read the key before it decides what to do.
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
    /// Returns a [`Fault`] if the service does not answer.
    fn keys(&self, prefix: &str) -> Result<kv::Keys, Fault>;

    /// Waits until a key under `prefix` has a version above `after` or until `wait` has elapsed,
    /// and returns the latest version.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the service does not answer.
    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<u64, Fault>;

    /// Grants a lease.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the service does not answer; a lease that was granted anyway expires
    /// by itself.
    fn grant(&self, ttl: Duration) -> Result<kv::Lease, Fault>;

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the service does not answer or the lease has expired.
    fn renew(&self, lease: u64) -> Result<kv::Lease, Fault>;
}

/// Client of the key-value service over HTTP. Clones share connections and the rate limit.
#[derive(Clone, Debug)]
pub struct HttpStore {
    agent: Agent,
    url: String,
    limiter: Arc<CallLimiter>,
    write_lane: Lane,
}

impl HttpStore {
    /// Maximum number of idle connections to the service.
    const MAX_IDLE_CONNECTIONS: usize = 16;

    /// Creates a client of the platform at `address`, in the form `host:port`. Its rate is
    /// unlimited until [`HttpStore::set_node_count`] sets how many instances share the total
    /// rate.
    #[must_use]
    pub fn new(address: &str) -> Self {
        Self {
            agent: agent(Self::MAX_IDLE_CONNECTIONS),
            url: format!("http://{address}"),
            limiter: Arc::new(CallLimiter::new()),
            write_lane: Lane::Write,
        }
    }

    /// Returns a client whose writes count against the rate limit of ledger writes instead of that
    /// of other writes.
    #[must_use]
    pub fn for_ledger(&self) -> Self {
        Self {
            write_lane: Lane::Ledger,
            ..self.clone()
        }
    }

    /// Limits the rate to the share of one of `nodes` live instances.
    pub fn set_node_count(&self, nodes: u32) {
        self.limiter.set_node_count(nodes);
    }

    /// Returns the numbers of calls so far.
    #[must_use]
    pub fn call_counts(&self) -> CallCounts {
        self.limiter.call_counts()
    }

    /// Makes a call within the rate limit and the adaptive time-out. `wait` is the time that the
    /// service itself waits before it answers; it is added to the time-out.
    fn call(
        &self,
        lane: Lane,
        wait: Duration,
        send: impl FnOnce(Duration) -> Result<Response, ureq::Error>,
    ) -> Result<Response, Fault> {
        self.limiter.acquire(lane)?;
        let start = std::time::Instant::now();
        let result = send(self.limiter.timeout() + wait);
        let elapsed = start.elapsed().saturating_sub(wait);
        self.limiter.record_call(elapsed, result.is_ok());
        result.map_err(|error| Fault::from_client(&error))
    }

    fn send_get(&self, path: &str, wait: Duration) -> Result<Response, Fault> {
        let url = format!("{}{path}", self.url);
        self.call(Lane::Read, wait, |timeout| {
            let request = self.agent.get(url).config();
            request.timeout_global(Some(timeout)).build().call()
        })
    }

    fn send_lease_request(&self, path: &str) -> Result<kv::Lease, Fault> {
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
        .ok_or_else(|| Fault::Malformed("version header missing or invalid".to_owned()))
}

fn refused(mut response: Response) -> Fault {
    let status = response.status().as_u16();
    let message = response.body_mut().read_to_string().unwrap_or_default();
    if status >= 500 {
        // After an internal error of the service, the write may or may not have taken effect.
        return Fault::Unknown(format!("status {status}: {message}"));
    }
    Fault::refused(status, message)
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
        let mut response = self.send_get(&format!("/v1/kv/{key}"), Duration::ZERO)?;
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
            return Err(Fault::refused(413, message));
        }
        let lease = lease.map_or_else(String::new, |lease| format!("&lease={lease}"));
        let url = format!("{}/v1/kv/{key}?version={expected}{lease}", self.url);
        let response = self.call(self.write_lane, Duration::ZERO, |timeout| {
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
        json(self.send_get(&format!("/v1/keys?prefix={prefix}"), Duration::ZERO)?)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<u64, Fault> {
        let wait_ms = wait.as_millis();
        let path = format!("/v1/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        let keys: kv::Keys = json(self.send_get(&path, wait)?)?;
        Ok(keys.version)
    }

    fn grant(&self, ttl: Duration) -> Result<kv::Lease, Fault> {
        self.send_lease_request(&format!("/v1/leases?ttl_ms={}", ttl.as_millis()))
    }

    fn renew(&self, lease: u64) -> Result<kv::Lease, Fault> {
        self.send_lease_request(&format!("/v1/leases/{lease}"))
    }
}
