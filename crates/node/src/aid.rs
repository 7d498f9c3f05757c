//! What instances do for each other while the store is out: they give their
//! copy of the configuration, hold copies of ledger entries and take over the
//! ledger of an instance that ends.
//!
//! Every call is sealed with the fleet's key, like the exchange of soft state.
//! A call that is repeated does no harm: a revision only rises, and a reader
//! of the ledger drops doubles.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::{Context as _, Result, bail};
use fescuerack_core::ledger::{Entry, Hold};
use fescuerack_core::member;
use fescuerack_core::store::MAX_VALUE_BYTES;
use fescuerack_wire::peer::{self, Sealed};
use jsonrpsee::core::client::ClientT as _;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::{RpcModule, rpc_params};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::shared::{Shared, lock};

/// Largest answer, in bytes: one file of the configuration, as JSON text.
pub const LARGEST_ANSWER: u32 = 4 << 20;
/// Bytes of entries that go into one call; the port takes 64 KB.
pub const LARGEST_BATCH: usize = 32 << 10;
/// Time within which a peer must answer.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Name of the JSON-RPC method.
const METHOD: &str = "aid";
/// JSON-RPC error code of a call that is refused.
const REFUSED: i32 = -32_001;

/// What one instance asks of another.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ask {
    /// The manifest in force; none when there is none.
    Manifest,
    /// The content of a file of the configuration in force, by its digest.
    File(String),
    /// To hold copies of ledger entries; answers whether they are held.
    Hold(Hold),
    /// To keep ledger entries as its own; answers whether it does.
    Adopt(Vec<Entry>),
}

/// Registers the method at the port for peers.
///
/// # Errors
///
/// When the method is registered already.
pub fn register(module: &mut RpcModule<Arc<Shared>>) -> Result<()> {
    module.register_method(METHOD, |params, shared, _| {
        let sealed: Sealed = params.one()?;
        let key = shared.settings.peer_key.as_bytes();
        let ask: Ask = peer::open(key, &sealed).map_err(|refusal| {
            shared.metrics.count("aid.refused");
            ErrorObjectOwned::owned(REFUSED, refusal.to_string(), None::<()>)
        })?;
        Ok::<_, ErrorObjectOwned>(answer(shared, ask))
    })?;
    Ok(())
}

fn answer(shared: &Shared, ask: Ask) -> Sealed {
    let key = shared.settings.peer_key.as_bytes();
    match ask {
        Ask::Manifest => peer::seal(key, &shared.configuration.manifest()),
        Ask::File(digest) => peer::seal(key, &shared.configuration.file(&digest)),
        Ask::Hold(hold) => peer::seal(key, &shared.ledger.hold(shared, hold)),
        Ask::Adopt(entries) => {
            let takes = !shared.leaving.load(Ordering::SeqCst) && shared.ledger.adopt(entries);
            peer::seal(key, &takes)
        }
    }
}

/// A peer that is asked again and again; keeps its connection.
#[derive(Clone, Debug)]
pub struct Peer {
    client: HttpClient,
}

impl Peer {
    /// Prepares to ask the peer at `address`.
    ///
    /// # Errors
    ///
    /// When the address is malformed.
    pub fn new(address: &str) -> Result<Self> {
        let client = HttpClientBuilder::default()
            .request_timeout(TIMEOUT)
            .max_response_size(LARGEST_ANSWER)
            .build(format!("http://{address}"))?;
        Ok(Self { client })
    }

    /// Asks the peer.
    ///
    /// # Errors
    ///
    /// When there is no usable answer; the peer may have done what was asked.
    pub async fn ask<R: DeserializeOwned>(&self, shared: &Shared, ask: &Ask) -> Result<R> {
        let key = shared.settings.peer_key.as_bytes();
        let parameters = rpc_params![peer::seal(key, ask)];
        let sealed: Sealed = self.client.request(METHOD, parameters).await?;
        Ok(peer::open(key, &sealed)?)
    }
}

/// Asks the peer at `address` once.
///
/// # Errors
///
/// When there is no usable answer; the peer may have done what was asked.
pub async fn ask<R: DeserializeOwned>(shared: &Shared, address: &str, ask: &Ask) -> Result<R> {
    Peer::new(address)?.ask(shared, ask).await
}

/// Returns the addresses of at most `most` random instances that are live.
pub fn some(shared: &Shared, most: usize) -> Vec<String> {
    let mut others = others(shared);
    others.sort_by_cached_key(|_| shared.random());
    let addresses = others.into_iter().map(|(_, address)| address);
    addresses.take(most).collect()
}

/// Returns the address of a random live instance, in another availability zone
/// if there is one, which is to hold copies of the ledger.
pub fn keeper(shared: &Shared) -> Option<String> {
    let own = &shared.settings.zone;
    let mut others = others(shared);
    others.sort_by_cached_key(|(zone, _)| (zone == own, shared.random()));
    others.into_iter().next().map(|(_, address)| address)
}

/// Returns zone and address of every live instance but the own one.
fn others(shared: &Shared) -> Vec<(String, String)> {
    let now = shared.now();
    let member = lock(&shared.member);
    let view = &member.view;
    let live = view.iter().filter(|(key, _)| view.is_live(now, *key));
    live.map(|(_, other): (_, &member::Instance)| (other.zone.clone(), other.address.clone()))
        .collect()
}

/// Returns how many instances share the store's rate.
pub fn fleet(shared: &Shared) -> u32 {
    let size = lock(&shared.member).view.size();
    u32::try_from(size).unwrap_or(u32::MAX)
}

/// Reads a file of the configuration from a peer.
///
/// # Errors
///
/// When the peer does not give it.
pub async fn file(shared: &Shared, address: &str, digest: &str) -> Result<String> {
    let file: Option<String> = ask(shared, address, &Ask::File(digest.to_owned())).await?;
    let file = file.context("the peer does not have the file")?;
    if file.len() > MAX_VALUE_BYTES {
        bail!("the peer's file is larger than the store holds");
    }
    Ok(file)
}
