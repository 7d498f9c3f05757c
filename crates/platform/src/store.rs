//! The platform's key-value service.

use std::time::Duration;

use bytes::Bytes;
use fescuerack_wire::{header, kv};

use crate::{Agent, Fault, agent};

/// A value with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// Version, to be named in the next swap.
    pub version: u64,
    /// Content.
    pub bytes: Bytes,
}

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

/// The key-value service over HTTP.
#[derive(Clone, Debug)]
pub struct HttpStore {
    agent: Agent,
    url: String,
}

impl HttpStore {
    const TIMEOUT: Duration = Duration::from_secs(2);

    /// Creates a client of the platform at `address`, as `host:port`.
    #[must_use]
    pub fn new(address: &str) -> Self {
        Self {
            agent: agent(8),
            url: format!("http://{address}"),
        }
    }
}

type Response = ureq::http::Response<ureq::Body>;

fn version(response: &Response) -> Result<u64, Fault> {
    response
        .headers()
        .get(header::KV_VERSION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok())
        .ok_or_else(|| Fault::Malformed("no version in the answer".to_owned()))
}

fn refused(mut response: Response) -> Fault {
    Fault::Refused {
        status: response.status().as_u16(),
        message: response.body_mut().read_to_string().unwrap_or_default(),
    }
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
        let mut response = self
            .agent
            .get(format!("{}/v1/kv/{key}", self.url))
            .config()
            .timeout_global(Some(Self::TIMEOUT))
            .build()
            .call()
            .map_err(|error| Fault::from_client(&error))?;
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
        let lease = lease.map_or_else(String::new, |lease| format!("&lease={lease}"));
        let response = self
            .agent
            .put(format!(
                "{}/v1/kv/{key}?version={expected}{lease}",
                self.url
            ))
            .config()
            .timeout_global(Some(Self::TIMEOUT))
            .build()
            .send(&value[..])
            .map_err(|error| Fault::from_client(&error))?;
        match response.status().as_u16() {
            200 => Ok(Swap::Swapped(version(&response)?)),
            409 => Ok(Swap::Conflict(version(&response)?)),
            _ => Err(refused(response)),
        }
    }

    fn keys(&self, prefix: &str) -> Result<kv::Keys, Fault> {
        let response = self
            .agent
            .get(format!("{}/v1/keys?prefix={prefix}", self.url))
            .config()
            .timeout_global(Some(Self::TIMEOUT))
            .build()
            .call()
            .map_err(|error| Fault::from_client(&error))?;
        json(response)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<u64, Fault> {
        let wait_ms = wait.as_millis();
        let url = format!(
            "{}/v1/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}",
            self.url
        );
        let response = self
            .agent
            .get(url)
            .config()
            .timeout_global(Some(wait + Self::TIMEOUT))
            .build()
            .call()
            .map_err(|error| Fault::from_client(&error))?;
        let keys: kv::Keys = json(response)?;
        Ok(keys.version)
    }

    fn grant(&self, ttl: Duration) -> Result<kv::Lease, Fault> {
        let url = format!("{}/v1/leases?ttl_ms={}", self.url, ttl.as_millis());
        let response = self
            .agent
            .post(url)
            .config()
            .timeout_global(Some(Self::TIMEOUT))
            .build()
            .send_empty()
            .map_err(|error| Fault::from_client(&error))?;
        json(response)
    }

    fn renew(&self, lease: u64) -> Result<kv::Lease, Fault> {
        let response = self
            .agent
            .post(format!("{}/v1/leases/{lease}", self.url))
            .config()
            .timeout_global(Some(Self::TIMEOUT))
            .build()
            .send_empty()
            .map_err(|error| Fault::from_client(&error))?;
        json(response)
    }
}
