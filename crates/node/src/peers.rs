//! Soft state between instances, over JSON-RPC.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
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
    Ok((address, server.start(module)))
}

fn digest(shared: &Shared) -> Digest {
    let force = shared.force();
    let now = shared.now();
    Digest {
        protocol: PROTOCOL,
        instance: shared.settings.instance.clone(),
        revision: force.catalog.revision,
        rates: lock(&shared.rates).digest(&force.names, now),
        pools: lock(&shared.pools).digest(&force.names, now),
        words: lock(&shared.routes).digest(now),
    }
}

fn merge(shared: &Shared, digest: &Digest) {
    let force = shared.force();
    let now = shared.now();
    let from = &digest.instance;
    lock(&shared.rates).merge(&force.names, now, from, &digest.rates);
    lock(&shared.pools).merge(&force.names, now, from, &digest.pools);
    lock(&shared.routes).merge(now, &digest.words);
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
                merge(&shared, &digest);
                shared.metrics.count("peers.digests");
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
