//! Soft state between instances, over JSON-RPC.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::{Context as _, Result};
use fescuerack_core::ledger::{Entry, Hold};
use fescuerack_core::route::State;
use fescuerack_wire::list;
use fescuerack_wire::peer::{Digest, PROTOCOL};
use jsonrpsee::core::client::ClientT as _;
use jsonrpsee::http_client::HttpClientBuilder;
use jsonrpsee::server::{ServerBuilder, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::{RpcModule, rpc_params};

use crate::shared::{Shared, lock};

/// Time between two digests.
const PERIOD: Duration = Duration::from_secs(1);
/// Time within which a peer must answer.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Starts the port for peers; returns its address.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn serve(shared: Arc<Shared>) -> Result<(SocketAddr, ServerHandle)> {
    let listen = shared.settings.listen.peers.clone();
    let server = ServerBuilder::default()
        .build(&listen)
        .await
        .with_context(|| format!("listen.peers: bind {listen}"))?;
    let address = server.local_addr()?;
    let mut module = RpcModule::new(shared);
    module.register_method("digest", |_, shared, _| {
        Ok::<_, ErrorObjectOwned>(digest(shared))
    })?;
    module.register_method("configuration", |_, shared, _| {
        Ok::<_, ErrorObjectOwned>(shared.configuration.copy())
    })?;
    module.register_method("ledger_hold", |params, shared, _| {
        let hold = params.one::<Hold>()?;
        Ok::<_, ErrorObjectOwned>(shared.ledger.hold(shared, hold))
    })?;
    module.register_method("ledger_adopt", |params, shared, _| {
        let entries = params.one::<Vec<Entry>>()?;
        let takes = !shared.leaving.load(Ordering::SeqCst);
        if takes {
            shared.ledger.adopt(entries);
        }
        Ok::<_, ErrorObjectOwned>(takes)
    })?;
    Ok((address, server.start(module)))
}

fn digest(shared: &Shared) -> Digest {
    Digest {
        protocol: PROTOCOL,
        instance: shared.settings.instance.clone(),
        revision: shared.force().catalog.revision,
    }
}

/// Asks one random peer for its digest, again and again.
pub async fn follow(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(PERIOD).await;
        let Some(address) = random_peer(&shared) else {
            continue;
        };
        match ask(&address).await {
            Ok(digest) => {
                shared.metrics.count("peers.digests");
                shared.configuration.hear(digest.revision);
            }
            Err(_) => shared.metrics.count("peers.failed"),
        }
    }
}

fn random_peer(shared: &Shared) -> Option<String> {
    let own = &shared.settings.instance;
    let peers = lock(&shared.peers);
    let others: Vec<_> = peers.iter().filter(|peer| peer.id != *own).collect();
    let count = u64::try_from(others.len())
        .ok()
        .filter(|count| *count > 0)?;
    let index = usize::try_from(shared.random() % count).ok()?;
    Some(others[index].address.clone())
}

async fn ask(address: &str) -> Result<Digest> {
    let client = HttpClientBuilder::default()
        .request_timeout(TIMEOUT)
        .build(format!("http://{address}"))?;
    Ok(client.request("digest", rpc_params![]).await?)
}

/// Calls a method of a peer with one parameter.
///
/// # Errors
///
/// When there is no usable answer; the peer may have taken the call.
pub async fn call<R: serde::de::DeserializeOwned>(
    _shared: &Shared,
    address: &str,
    method: &str,
    parameter: &(impl serde::Serialize + Sync),
) -> Result<R> {
    let client = HttpClientBuilder::default()
        .request_timeout(TIMEOUT)
        .build(format!("http://{address}"))?;
    Ok(client.request(method, rpc_params![parameter]).await?)
}

/// Returns the addresses of at most `most` random peers.
pub fn some(shared: &Shared, most: usize) -> Vec<String> {
    let own = &shared.settings.instance;
    let peers = lock(&shared.peers).clone();
    let mut others: Vec<_> = peers.into_iter().filter(|peer| peer.id != *own).collect();
    others.sort_by_cached_key(|_| shared.random());
    let addresses = others.into_iter().map(|peer| peer.address);
    addresses.take(most).collect()
}

/// Returns the address of a random live peer, in another availability zone if
/// there is one, which is to hold copies of the ledger.
pub fn keeper(shared: &Shared) -> Option<String> {
    let own = &shared.settings;
    let peers = lock(&shared.peers).clone();
    let live = |peer: &list::Instance| peer.id != own.instance && peer.state == State::Live;
    let mut others: Vec<_> = peers.into_iter().filter(live).collect();
    others.sort_by_cached_key(|peer| (peer.zone == own.zone, shared.random()));
    others.into_iter().next().map(|peer| peer.address)
}
