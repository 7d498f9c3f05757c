//! Client of the service that rates answers.

use std::time::Duration;

use fescuerack_wire::rating;

use crate::http::json;
use crate::{Agent, Fault, agent};

/// Rates answers.
pub trait Rater: Send + Sync {
    /// Returns the rating of an answer.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the service is unavailable, too slow or refuses the request.
    fn rate(&self, request: &rating::Request) -> Result<rating::Rating, Fault>;
}

/// Client of the rating service over HTTP.
#[derive(Clone, Debug)]
pub struct HttpRater {
    agent: Agent,
    url: String,
}

impl HttpRater {
    const RATING_TIMEOUT: Duration = Duration::from_secs(2);

    /// Creates a client of the service at `address`, in the form `host:port`.
    #[must_use]
    pub fn new(address: &str) -> Self {
        Self {
            agent: agent(4),
            url: format!("http://{address}/v1/ratings"),
        }
    }
}

impl Rater for HttpRater {
    fn rate(&self, request: &rating::Request) -> Result<rating::Rating, Fault> {
        let response = self
            .agent
            .post(&self.url)
            .config()
            .timeout_global(Some(Self::RATING_TIMEOUT))
            .build()
            .send_json(request)
            .map_err(|error| Fault::from_client(&error))?;
        json(response)
    }
}
