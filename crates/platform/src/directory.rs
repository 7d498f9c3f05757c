//! The platform's list of instances.

use std::time::Duration;

use fescuerack_wire::list::Instances;

use crate::{Agent, Fault, agent};

/// Lists instances; the list lags behind the truth.
pub trait Directory: Send + Sync {
    /// Returns the list.
    ///
    /// # Errors
    ///
    /// When the list cannot be read.
    fn list(&self) -> Result<Instances, Fault>;
}

/// The list over HTTP.
#[derive(Clone, Debug)]
pub struct HttpDirectory {
    agent: Agent,
    url: String,
}

impl HttpDirectory {
    const TIMEOUT: Duration = Duration::from_secs(2);

    /// Creates a client of the platform at `address`, as `host:port`.
    #[must_use]
    pub fn new(address: &str) -> Self {
        Self {
            agent: agent(1),
            url: format!("http://{address}/v1/instances"),
        }
    }
}

impl Directory for HttpDirectory {
    fn list(&self) -> Result<Instances, Fault> {
        let mut response = self
            .agent
            .get(&self.url)
            .config()
            .timeout_global(Some(Self::TIMEOUT))
            .build()
            .call()
            .map_err(|error| Fault::from_client(&error))?;
        if response.status() != 200 {
            return Err(Fault::Refused {
                status: response.status().as_u16(),
                message: String::new(),
            });
        }
        response
            .body_mut()
            .read_json()
            .map_err(|error| Fault::Malformed(error.to_string()))
    }
}
