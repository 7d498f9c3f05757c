//! The platform's list of instances.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use fescuerack_wire::discovery::Instances;

use crate::{Agent, Fault, agent};

/// Lists instances; the list lags behind the truth.
pub trait Discovery: Send + Sync {
    /// Returns the list.
    ///
    /// # Errors
    ///
    /// When the list cannot be read.
    fn list(&self) -> Result<Instances, Fault>;
}

/// The list over HTTP.
///
/// The list of the planned size takes 148 KB, and every instance reads it twice
/// a second: whole, that would be 60 times what control may cost. It is
/// therefore read under the tag of the copy at hand, and the platform answers
/// 304 while nothing has changed. A platform that knows no tags sends the whole
/// list, which is right and dear.
#[derive(Clone, Debug)]
pub struct HttpDiscovery {
    agent: Agent,
    url: String,
    held: Arc<Mutex<Option<Held>>>,
}

/// The last list that was read, with its tag.
#[derive(Clone, Debug)]
struct Held {
    tag: String,
    list: Instances,
}

/// Status of an answer that repeats the list at hand.
const NOT_MODIFIED: u16 = 304;

impl HttpDiscovery {
    const TIMEOUT: Duration = Duration::from_secs(2);

    /// Creates a client of the platform at `address`, as `host:port`.
    #[must_use]
    pub fn new(address: &str) -> Self {
        Self {
            agent: agent(1),
            url: format!("http://{address}/v1/instances"),
            held: Arc::default(),
        }
    }

    fn held(&self) -> Option<Held> {
        let held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        held.clone()
    }
}

impl Discovery for HttpDiscovery {
    fn list(&self) -> Result<Instances, Fault> {
        let held = self.held();
        let mut request = self.agent.get(&self.url);
        if let Some(held) = &held {
            request = request.header("if-none-match", &held.tag);
        }
        let mut response = request
            .config()
            .timeout_global(Some(Self::TIMEOUT))
            .build()
            .call()
            .map_err(|error| Fault::from_client(&error))?;
        match (response.status().as_u16(), held) {
            (200, _) => {}
            (NOT_MODIFIED, Some(held)) => return Ok(held.list),
            (status, _) => {
                return Err(Fault::Refused {
                    status,
                    message: String::new(),
                });
            }
        }
        let tag = response.headers().get("etag").cloned();
        let list: Instances = response
            .body_mut()
            .read_json()
            .map_err(|error| Fault::Malformed(error.to_string()))?;
        let tag = tag.and_then(|tag| tag.to_str().ok().map(str::to_owned));
        *self.held.lock().unwrap_or_else(PoisonError::into_inner) = tag.map(|tag| Held {
            tag,
            list: list.clone(),
        });
        Ok(list)
    }
}
