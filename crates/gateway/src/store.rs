//! Calls to the platform's store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Request, StatusCode};

use crate::offload;
use crate::platform::{Platform, StoreRequest, StoreResponse};
use crate::upstream::{self, Pool, Sent};

/// Bytes that an answer has at most: a page of items is a megabyte, or one large item.
const MOST: usize = 16 << 20;
/// Longest wait for the head of the answer of a call that does not wait by itself. The store
/// answers in milliseconds; slow phases of it take tens of times as long.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// What a waiting call gets besides its own wait: a slow store takes some hundred
/// milliseconds.
const MARGIN: Duration = Duration::from_secs(1);

/// Why a call has no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// Nothing was done.
    #[error("the store did nothing: {0}")]
    NotDone(String),
    /// It may have been done, or may yet be.
    #[error("the store may have done it: {0}")]
    Unknown(String),
}

/// A client of the store.
#[derive(Clone)]
pub struct Store {
    address: SocketAddr,
    pool: Pool,
    platform: Arc<dyn Platform>,
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
        }
    }

    /// Makes a call.
    ///
    /// # Errors
    ///
    /// When no answer came that says what was done.
    pub async fn call(&self, call: &StoreRequest<'_>) -> Result<StoreResponse, Fault> {
        let patience = match call {
            StoreRequest::Watch { wait_ms, .. } => Duration::from_millis(*wait_ms) + MARGIN,
            _ => PATIENCE,
        };
        self.exchange(call, patience).await
    }

    async fn exchange(
        &self,
        call: &StoreRequest<'_>,
        patience: Duration,
    ) -> Result<StoreResponse, Fault> {
        let wire = self.platform.encode_store_request(call);
        let request = Request::builder()
            .method(wire.method)
            .uri(wire.target)
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(wire.body))
            .map_err(|error| Fault::NotDone(error.to_string()))?;
        let may_repeat = matches!(
            call,
            StoreRequest::Range { .. } | StoreRequest::Watch { .. }
        );
        let sent = self.pool.send(self.address, request, may_repeat);
        let answered = match tokio::time::timeout(patience, sent).await {
            Ok(Sent::Answered(answered)) => answered,
            Ok(Sent::NotSent(reason)) => return Err(Fault::NotDone(reason)),
            Ok(Sent::Broken(reason)) => return Err(Fault::Unknown(reason)),
            Err(_) => return Err(Fault::Unknown(format!("no answer in {patience:?}"))),
        };
        let (head, body) = answered.response.into_parts();
        let body = upstream::collect(body, MOST).await;
        let body = body.map_err(|error| Fault::Unknown(error.to_string()))?;
        self.pool.keep(answered.connection);
        match self.read(call, head.status, body).await? {
            StoreResponse::Refused => Err(Fault::NotDone(format!("status {}", head.status))),
            StoreResponse::Unreadable(reason) => Err(Fault::Unknown(reason)),
            answer => Ok(answer),
        }
    }

    async fn read(
        &self,
        call: &StoreRequest<'_>,
        status: StatusCode,
        body: Bytes,
    ) -> Result<StoreResponse, Fault> {
        if body.len() < offload::OFFLOADED {
            return Ok(self.platform.decode_store_response(call, status, &body));
        }
        let (platform, call) = (self.platform.clone(), call.to_static());
        let answer =
            offload::run(move || platform.decode_store_response(&call, status, &body)).await;
        answer.map_err(|error| Fault::Unknown(error.to_string()))
    }
}
