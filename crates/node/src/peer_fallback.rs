//! Calls by which instances replace the store during a store outage: they serve
//! their copy of the configuration, hold copies of ledger entries, and take
//! over the ledger of an instance that shuts down.
//!
//! Every call is sealed with the instances' shared key, like the exchange of soft state.
//! A repeated call is harmless: a revision only rises, and readers of the
//! ledger drop duplicates.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::{Context as _, Result, bail};
use fescuerack_core::ledger::{Entry, HoldRequest};
use fescuerack_core::member;
use fescuerack_core::store::MAX_VALUE_BYTES;
use fescuerack_wire::peer::{self, Sealed};
use jsonrpsee::core::client::ClientT as _;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::{RpcModule, rpc_params};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::node_state::{NodeState, lock};

/// Largest size of an answer: one file of the configuration, as JSON text.
pub const MAX_ANSWER_BYTES: u32 = 4 << 20;
/// Largest size of the ledger entries in one call. The peers' port accepts
/// messages of 64 KB.
pub const MAX_BATCH_BYTES: usize = 32 << 10;
/// Time-out of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Name of the JSON-RPC method.
const METHOD: &str = "aid";
/// JSON-RPC error code of a refused call.
const REFUSED_CODE: i32 = -32_001;

/// A request from one instance to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Request {
    /// Returns the active manifest, or `None` without an active configuration.
    Manifest,
    /// Returns the content of a file of the active configuration by its digest.
    File(String),
    /// Holds copies of ledger entries; returns whether the peer accepted them.
    Hold(HoldRequest),
    /// Adds ledger entries to the peer's own ledger; returns whether the peer
    /// accepted them.
    Adopt(Vec<Entry>),
}

/// Registers the JSON-RPC method at the peers' port.
///
/// # Errors
///
/// Returns an error if the method is already registered.
pub fn register(module: &mut RpcModule<Arc<NodeState>>) -> Result<()> {
    module.register_method(METHOD, |params, shared, _| {
        let sealed: Sealed = params.one()?;
        let key = shared.settings.peer_key.as_bytes();
        let request: Request = peer::open(key, &sealed).map_err(|refusal| {
            shared.metrics.count("aid.refused");
            ErrorObjectOwned::owned(REFUSED_CODE, refusal.to_string(), None::<()>)
        })?;
        Ok::<_, ErrorObjectOwned>(answer(shared, request))
    })?;
    Ok(())
}

fn answer(shared: &NodeState, request: Request) -> Sealed {
    let key = shared.settings.peer_key.as_bytes();
    match request {
        Request::Manifest => peer::seal(key, &shared.configuration.manifest()),
        Request::File(digest) => peer::seal(key, &shared.configuration.file(&digest)),
        Request::Hold(hold) => peer::seal(key, &shared.ledger.hold(shared, hold)),
        Request::Adopt(entries) => {
            let is_accepted =
                !shared.leaving.load(Ordering::SeqCst) && shared.ledger.adopt(entries);
            peer::seal(key, &is_accepted)
        }
    }
}

/// A client for repeated calls to one peer, which keeps its connection open.
#[derive(Clone, Debug)]
pub struct Peer {
    client: HttpClient,
}

impl Peer {
    /// Creates a client of the peer at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is malformed.
    pub fn new(address: &str) -> Result<Self> {
        let client = HttpClientBuilder::default()
            .request_timeout(CALL_TIMEOUT)
            .max_response_size(MAX_ANSWER_BYTES)
            .build(format!("http://{address}"))?;
        Ok(Self { client })
    }

    /// Sends a request to the peer and returns its answer.
    ///
    /// # Errors
    ///
    /// Returns an error if no usable answer arrives. The peer may nevertheless
    /// have executed the request.
    pub async fn call<R: DeserializeOwned>(
        &self,
        shared: &NodeState,
        request: &Request,
    ) -> Result<R> {
        let key = shared.settings.peer_key.as_bytes();
        let parameters = rpc_params![peer::seal(key, request)];
        let sealed: Sealed = self.client.request(METHOD, parameters).await?;
        Ok(peer::open(key, &sealed)?)
    }
}

/// Sends one request to the peer at `address` and returns its answer.
///
/// # Errors
///
/// Returns an error if no usable answer arrives. The peer may nevertheless have
/// executed the request.
pub async fn call<R: DeserializeOwned>(
    shared: &NodeState,
    address: &str,
    request: &Request,
) -> Result<R> {
    Peer::new(address)?.call(shared, request).await
}

/// Returns the addresses of up to `max_count` random live peers.
pub fn random_peers(shared: &NodeState, max_count: usize) -> Vec<String> {
    let mut peers = live_peers(shared);
    peers.sort_by_cached_key(|_| shared.random());
    let addresses = peers.into_iter().map(|(_, address)| address);
    addresses.take(max_count).collect()
}

/// Chooses a random live peer to hold copies of the ledger, in another
/// availability zone if there is one; returns its address.
pub fn copy_holder(shared: &NodeState) -> Option<String> {
    let local_zone = &shared.settings.zone;
    let mut peers = live_peers(shared);
    peers.sort_by_cached_key(|(zone, _)| (zone == local_zone, shared.random()));
    peers.into_iter().next().map(|(_, address)| address)
}

/// Returns the availability zone and the address of every live peer.
fn live_peers(shared: &NodeState) -> Vec<(String, String)> {
    let now = shared.now();
    let member = lock(&shared.member);
    let view = &member.view;
    let live = view.iter().filter(|(key, _)| view.is_live(now, *key));
    live.map(|(_, peer): (_, &member::Instance)| (peer.zone.clone(), peer.address.clone()))
        .collect()
}

/// Returns the number of instances that share the store's request rate.
pub fn instance_count(shared: &NodeState) -> u32 {
    let size = lock(&shared.member).view.size();
    u32::try_from(size).unwrap_or(u32::MAX)
}

/// Fetches a file of the configuration from a peer by its digest.
///
/// # Errors
///
/// Returns an error if the peer does not return the file, or if the file is
/// larger than a value in the store may be.
pub async fn fetch_file(shared: &NodeState, address: &str, digest: &str) -> Result<String> {
    let file: Option<String> = call(shared, address, &Request::File(digest.to_owned())).await?;
    let file = file.context("the peer does not have the file")?;
    if file.len() > MAX_VALUE_BYTES {
        bail!("the peer's file is larger than the store holds");
    }
    Ok(file)
}
