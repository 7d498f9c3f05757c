//! The node's own entry in the store, by which peers find it.
//!
//! The entry is bound to a lease, so that it goes when the node does. It is a hint
//! for peers; nothing that must hold depends on it.

use std::rc::Rc;
use std::time::Duration;

use crate::entry::{NODES, Peer};
use crate::node::Node;
use crate::platform::{StoreRequest, StoreResponse};
use crate::store::Fault;

/// Milliseconds that the lease lasts: three renewals may fail.
const LEASE_MS: u64 = 16_000;
/// Milliseconds between renewals; each costs a tenth of a read.
const RENEW_MS: u64 = 5_000;
/// Milliseconds until a failed entry is tried again.
const RETRY_MS: u64 = 1_000;

/// Keeps the entry until the process ends.
pub async fn run(node: Rc<Node>) {
    loop {
        match enter(&node).await {
            Ok(Some(lease)) => renew(&node, lease).await,
            Ok(None) => {}
            Err(fault) => tracing::info!(event = "entry-failed", reason = %fault),
        }
        tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
    }
}

async fn enter(node: &Node) -> Result<Option<u64>, Fault> {
    let (key, value, ttl_ms) = {
        let settings = node.settings.borrow();
        let key = format!("{NODES}{}", settings.instance);
        let peer = Peer {
            address: settings.peers,
            zone: settings.zone.clone(),
            link_mbps: settings.link_mbps,
        };
        (key, peer.value(), settings.lease_ms.max(LEASE_MS))
    };
    let StoreResponse::Done(lease) = node.store.call(&StoreRequest::Grant { ttl_ms }).await? else {
        return Ok(None);
    };
    let put = StoreRequest::Put {
        key: &key,
        value: &value,
        revision: None,
        lease: Some(lease),
    };
    let is_entered = matches!(node.store.call(&put).await?, StoreResponse::Done(_));
    tracing::info!(event = "entry", key, lease, entered = is_entered);
    Ok(is_entered.then_some(lease))
}

/// Renews the lease until it is gone.
async fn renew(node: &Node, lease: u64) {
    loop {
        tokio::time::sleep(Duration::from_millis(RENEW_MS)).await;
        if node.is_stopping.get() {
            std::future::pending::<()>().await;
        }
        match node.store.call(&StoreRequest::Renew { lease }).await {
            Ok(StoreResponse::Gone) => {
                tracing::info!(event = "entry-lapsed", lease);
                return;
            }
            Ok(_) => {}
            // The lease may last still; the next renewal tells.
            Err(fault) => tracing::info!(event = "renewal-failed", lease, reason = %fault),
        }
    }
}
