//! Service discovery: the platform's list of instances.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use fescuerack_wire::discovery::Instances;

use crate::{Agent, Fault, agent};

/// Lists instances. The list lags behind the actual state.
pub trait Discovery: Send + Sync {
    /// Returns the instances that the platform lists.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the list cannot be read.
    fn list(&self) -> Result<Instances, Fault>;
}

/// Client of the platform's list of instances over HTTP.
///
/// At the planned size the list takes 148 KB, and every instance reads it twice a second. Full
/// transfers would take 60 times the traffic that control messages may use. The client therefore
/// sends the entity tag of its cached copy, and the platform answers 304 while the list is
/// unchanged. A platform without entity tags sends the full list every time, which is correct but
/// expensive.
#[derive(Clone, Debug)]
pub struct HttpDiscovery {
    agent: Agent,
    url: String,
    cached: Arc<Mutex<Option<Cached>>>,
}

/// The list that was read last, with its entity tag.
#[derive(Clone, Debug)]
struct Cached {
    tag: String,
    list: Instances,
}

/// Status of a response that confirms the cached list.
const NOT_MODIFIED: u16 = 304;

impl HttpDiscovery {
    const LIST_TIMEOUT: Duration = Duration::from_secs(2);

    /// Creates a client of the platform at `address`, in the form `host:port`.
    #[must_use]
    pub fn new(address: &str) -> Self {
        Self {
            agent: agent(1),
            url: format!("http://{address}/v1/instances"),
            cached: Arc::default(),
        }
    }

    fn cached(&self) -> Option<Cached> {
        let cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        cached.clone()
    }
}

impl Discovery for HttpDiscovery {
    fn list(&self) -> Result<Instances, Fault> {
        let cached = self.cached();
        let mut request = self.agent.get(&self.url);
        if let Some(cached) = &cached {
            request = request.header("if-none-match", &cached.tag);
        }
        let mut response = request
            .config()
            .timeout_global(Some(Self::LIST_TIMEOUT))
            .build()
            .call()
            .map_err(|error| Fault::from_client(&error))?;
        match (response.status().as_u16(), cached) {
            (200, _) => {}
            (NOT_MODIFIED, Some(cached)) => return Ok(cached.list),
            (status, _) => {
                return Err(Fault::refused(status, String::new()));
            }
        }
        let tag = response.headers().get("etag").cloned();
        let list: Instances = response
            .body_mut()
            .read_json()
            .map_err(|error| Fault::Malformed(error.to_string()))?;
        let tag = tag.and_then(|tag| tag.to_str().ok().map(str::to_owned));
        *self.cached.lock().unwrap_or_else(PoisonError::into_inner) = tag.map(|tag| Cached {
            tag,
            list: list.clone(),
        });
        Ok(list)
    }
}
