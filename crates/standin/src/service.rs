//! Stand-in for a service whose calls are not idempotent.
//!
//! It counts how often each call runs, so that a test can check that none ran twice.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anyhow::Result;
use fescuerack_wire::header;
use tokio::runtime::Handle;
use tokio::time::sleep;

use crate::http::{header as read_header, json_response};
use crate::{Fault, Faults, Request, Response, Server};

#[derive(Debug)]
struct Shared {
    delay: Duration,
    faults: Faults,
    runs: Mutex<BTreeMap<String, u64>>,
}

/// A running stand-in service.
#[derive(Debug)]
pub struct Service {
    shared: Arc<Shared>,
    server: Server,
}

impl Service {
    /// Starts a service on `listen` that answers after `delay`.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub fn new(runtime: &Handle, listen: &str, delay: Duration) -> Result<Self> {
        let shared = Arc::new(Shared {
            delay,
            faults: Faults::new(),
            runs: Mutex::new(BTreeMap::new()),
        });
        let server = Server::with_state(runtime, listen, &shared, |shared, request| async move {
            shared.serve(request).await
        })?;
        Ok(Self { shared, server })
    }

    /// Returns the address of the service, as `host:port`.
    #[must_use]
    pub fn address(&self) -> String {
        self.server.address().to_string()
    }

    /// Returns the faults of the service.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        &self.shared.faults
    }

    /// Returns how often each request body ran.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.shared
            .runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

impl Shared {
    async fn serve(&self, request: Request) -> Response {
        if self.faults.get(Fault::Down) > 0 {
            return None;
        }
        let body = String::from_utf8_lossy(request.body()).into_owned();
        let run = {
            let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
            let run = runs.entry(body).or_insert(0);
            *run += 1;
            *run
        };
        let delay_ms = self.faults.get(Fault::DelayMs);
        sleep(self.delay + Duration::from_millis(delay_ms)).await;
        if self.faults.get(Fault::DropAnswers) > 0 {
            return None;
        }
        let mut response = json_response(&serde_json::json!({"confirmed": true, "run": run}));
        if let Some(attempt) = read_header(&request, header::ATTEMPT)
            && let Ok(value) = attempt.parse()
        {
            response.headers_mut().insert(header::ATTEMPT, value);
        }
        Some(response)
    }
}
