//! Client of the platform's store.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{HeaderMap, Request, StatusCode};

use crate::offload;
use crate::platform::{Platform, StoreRequest, StoreResponse};
use crate::upstream::{self, Pool, STORE_IDLE_TIMEOUT, Sent};

/// Maximum size of a response in bytes. A page of items has a megabyte, or one large item.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Timeout for the head of the response to a call other than a watch. The store responds in
/// milliseconds, and tens of times as slowly in its slow phases.
const HEAD_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time that a watch may take beyond its wait at the store: a slow store takes some hundred
/// milliseconds.
const WATCH_MARGIN: Duration = Duration::from_secs(1);

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The store did not run the call.
    #[error("the store did nothing: {0}")]
    NotDone(String),
    /// The store may have executed the call, or may still do so.
    #[error("the store may have done it: {0}")]
    Unknown(String),
}

/// A client of the store.
#[derive(Clone)]
pub struct Store {
    address: SocketAddr,
    pool: Pool,
    platform: Arc<dyn Platform>,
    /// Latest era that an answer has stated.
    era: Rc<Cell<u64>>,
}

impl std::fmt::Debug for Store {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Store")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Store {
    /// Creates a client of the store at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, pool: Pool, platform: Arc<dyn Platform>) -> Self {
        Self {
            address,
            pool,
            platform,
            era: Rc::default(),
        }
    }

    /// Returns the latest era that an answer has stated; zero before the first one.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.era.get()
    }

    /// Makes a call.
    ///
    /// # Errors
    ///
    /// When no response states the outcome of the call.
    pub async fn call(&self, call: &StoreRequest<'_>) -> Result<StoreResponse, Fault> {
        if let StoreRequest::Put {
            revision: Some(condition),
            ..
        } = call
            && !condition.is_origin()
            && condition.era() != self.era()
        {
            // Its revision may be that of another change by now.
            return Ok(StoreResponse::Conflict);
        }
        let timeout = match call {
            StoreRequest::Watch { wait_ms, .. } => Duration::from_millis(*wait_ms) + WATCH_MARGIN,
            _ => HEAD_TIMEOUT,
        };
        self.exchange(call, timeout).await
    }

    async fn exchange(
        &self,
        call: &StoreRequest<'_>,
        timeout: Duration,
    ) -> Result<StoreResponse, Fault> {
        let encoded = self.platform.encode_store_request(call);
        let request = Request::builder()
            .method(encoded.method)
            .uri(encoded.target)
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(encoded.body))
            .map_err(|error| Fault::NotDone(error.to_string()))?;
        let may_repeat = matches!(
            call,
            StoreRequest::Range { .. } | StoreRequest::Watch { .. }
        );
        let sent = self.pool.send(self.address, request, may_repeat);
        let answered = match tokio::time::timeout(timeout, sent).await {
            Ok(Sent::Answered(answered)) => answered,
            Ok(Sent::NotSent(reason)) => return Err(Fault::NotDone(reason)),
            Ok(Sent::Broken(reason) | Sent::Unreadable(reason)) => {
                return Err(Fault::Unknown(reason));
            }
            Err(_) => return Err(Fault::Unknown(format!("no answer in {timeout:?}"))),
        };
        let (head, body) = answered.response.into_parts();
        let body = upstream::collect(body, MAX_RESPONSE_BYTES, STORE_IDLE_TIMEOUT).await;
        let body = body.map_err(|error| Fault::Unknown(error.to_string()))?;
        self.pool.keep(answered.connection);
        let era = self.record_era(&head.headers)?;
        if let StoreRequest::Watch { after, .. } = call
            && after.era() != era
        {
            // Events after that revision are those of another history.
            return Ok(StoreResponse::Gone);
        }
        let response = self.decode(call, head.status, body).await?;
        match response.in_era(era) {
            StoreResponse::Refused => Err(Fault::NotDone(format!("status {}", head.status))),
            StoreResponse::Unreadable(reason) => Err(Fault::Unknown(reason)),
            response => Ok(response),
        }
    }

    /// Returns the era of an answer with these headers, which is the latest one if it states none.
    ///
    /// # Errors
    ///
    /// When it is an earlier one: the answer is late, and what it says has been replaced.
    fn record_era(&self, headers: &HeaderMap) -> Result<u64, Fault> {
        let latest = self.era.get();
        let era = self.platform.store_era(headers).unwrap_or(latest);
        if era < latest {
            return Err(Fault::Unknown(format!(
                "an answer of the era {era}, before {latest}"
            )));
        }
        if era > latest {
            tracing::info!(event = "era-changed", era, before = latest);
            self.era.set(era);
        }
        Ok(era)
    }

    async fn decode(
        &self,
        call: &StoreRequest<'_>,
        status: StatusCode,
        body: Bytes,
    ) -> Result<StoreResponse, Fault> {
        if body.len() < offload::MIN_BYTES {
            return Ok(self.platform.decode_store_response(call, status, &body));
        }
        let (platform, call) = (self.platform.clone(), call.to_static());
        let response =
            offload::run(move || platform.decode_store_response(&call, status, &body)).await;
        response.map_err(|error| Fault::Unknown(error.to_string()))
    }
}
