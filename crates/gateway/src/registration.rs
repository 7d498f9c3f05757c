//! Registration of the node: its entry in the store, by which peers discover it.
//!
//! The entry is bound to a lease, so that it expires when the node fails. A process that restarts
//! before that goes on with the entry and its lease. It is only a hint for peers; no guarantee
//! depends on it.
//!
//! Leases may end in an outage of the store. All nodes then vanish from the list at once, and whatever
//! selects some of the nodes goes wrong. So each renews its lease as soon as the store is back.

use std::rc::Rc;
use std::time::Duration;

use rand::RngExt as _;

use crate::clock::now;
use crate::entry::{NODES, Peer};
use crate::follow;
use crate::node::Node;
use crate::platform::{StoreRequest, StoreResponse};
use crate::store::Fault;

/// Time to live of the lease in milliseconds: three renewals in a row may fail.
const LEASE_TTL_MS: u64 = 16_000;
/// Milliseconds between renewals; each costs a tenth of a read.
const RENEWAL_INTERVAL_MS: u64 = 5_000;
/// Maximum delay of the renewal after an outage, in milliseconds.
const RETURN_SPREAD_MS: u64 = 500;
/// The same for each node of a large fleet, whose calls would exceed the rate of the store.
const RETURN_SPREAD_PER_NODE_MS: u64 = 4;
/// Interval at which it is checked whether the store has come back from a copy.
const ERA_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time for this node to follow the store into its present era.
const ERA_FOLLOWED_TIMEOUT: Duration = Duration::from_secs(1);
/// Milliseconds until a failed registration is retried.
const RETRY_DELAY_MS: u64 = 1_000;

/// Keeps the node registered until the process ends.
pub async fn run(node: Rc<Node>) {
    follow::wait_for_state(&node).await;
    record_start(&node);
    let mut former = former_lease(&node);
    loop {
        let lease = match renew_former(&node, former.take()).await {
            Some(lease) => Some(lease),
            None => register_or_log(&node).await,
        };
        match lease {
            Some(lease) => renew(&node, lease).await,
            None => tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await,
        }
    }
}

async fn register_or_log(node: &Node) -> Option<u64> {
    let registered = register(node).await;
    registered.unwrap_or_else(|fault| {
        tracing::info!(event = "entry-failed", reason = %fault);
        None
    })
}

fn record_start(node: &Node) {
    let mut view = node.view.borrow_mut();
    view.membership
        .record_start(&node.settings.borrow().instance);
}

/// Returns the entry that this process would write, without a lease.
fn entry(node: &Node) -> Peer {
    let settings = node.settings.borrow();
    Peer {
        address: settings.peers,
        zone: settings.zone.clone(),
        link_mbps: settings.link_mbps,
        lease: None,
    }
}

/// Returns the lease of the entry that an earlier process of this instance wrote, if this one would
/// write the same.
fn former_lease(node: &Node) -> Option<u64> {
    let view = node.view.borrow();
    let former = view.nodes.get(&node.settings.borrow().instance)?;
    let lease = former.lease?;
    let own = Peer {
        lease: Some(lease),
        ..entry(node)
    };
    (own == *former).then_some(lease)
}

/// Renews the lease of an earlier process. When a whole fleet restarts, each new entry would be sent
/// to all nodes.
async fn renew_former(node: &Node, lease: Option<u64>) -> Option<u64> {
    let lease = lease?;
    match node.store.call(&StoreRequest::Renew { lease }).await {
        Ok(StoreResponse::Done(_)) => {
            node.retry_share.borrow_mut().register(now());
            tracing::info!(event = "entry-renewed", lease);
            Some(lease)
        }
        Ok(_) | Err(_) => None,
    }
}

/// Writes the entry; returns its lease, or `None` if the store did not grant it or refused the
/// entry.
async fn register(node: &Node) -> Result<Option<u64>, Fault> {
    let (key, ttl_ms) = {
        let settings = node.settings.borrow();
        let key = format!("{NODES}{}", settings.instance);
        (key, settings.lease_ms.max(LEASE_TTL_MS))
    };
    let StoreResponse::Done(lease) = node.store.call(&StoreRequest::Grant { ttl_ms }).await? else {
        return Ok(None);
    };
    let peer = Peer {
        lease: Some(lease),
        ..entry(node)
    };
    let value = peer.value();
    let put = StoreRequest::Put {
        key: &key,
        value: &value,
        revision: None,
        lease: Some(lease),
    };
    let is_registered = matches!(node.store.call(&put).await?, StoreResponse::Written(_));
    if is_registered {
        node.retry_share.borrow_mut().register(now());
    }
    tracing::info!(event = "entry", key, lease, entered = is_registered);
    Ok(is_registered.then_some(lease))
}

/// Renews the lease until it has expired, or the store has come back without it.
async fn renew(node: &Node, lease: u64) {
    let mut era = node.store.era();
    loop {
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(RENEWAL_INTERVAL_MS)) => {}
            () = node.store_regained.notified() => wait_after_outage(node).await,
            () = wait_for_era(node, era) => wait_after_outage(node).await,
        }
        if node.store.era() != era && !is_entry_in(node, lease).await {
            // The lease may be somebody else's in this era.
            tracing::info!(event = "entry-lost", lease, era, now = node.store.era());
            return;
        }
        era = node.store.era();
        if node.is_stopping() {
            std::future::pending::<()>().await;
        }
        match node.store.call(&StoreRequest::Renew { lease }).await {
            // The store may have come back while the call was on its way.
            Ok(_) if node.store.era() != era => {}
            Ok(StoreResponse::Gone) => {
                tracing::info!(event = "entry-lapsed", lease);
                return;
            }
            Ok(_) => {}
            // The lease may still be valid; the next renewal detects whether it is.
            Err(fault) => tracing::info!(event = "renewal-failed", lease, reason = %fault),
        }
    }
}

/// Waits until the store states another era than `era`.
async fn wait_for_era(node: &Node, era: u64) {
    while node.store.era() == era {
        tokio::time::sleep(ERA_CHECK_INTERVAL).await;
    }
}

/// Returns whether the store has this node's entry with `lease` in its present era, as the copy has
/// it: then the lease is still this node's.
async fn is_entry_in(node: &Node, lease: u64) -> bool {
    let era = node.store.era();
    let mut followed = node.followed_revision.subscribe();
    let has_followed = followed.wait_for(|revision| revision.era() >= era);
    // Without the store nothing can be written either.
    let _ = tokio::time::timeout(ERA_FOLLOWED_TIMEOUT, has_followed).await;
    let view = node.view.borrow();
    let instance = &node.settings.borrow().instance;
    let is_listed = view.revision_of(&format!("{NODES}{instance}")).era() >= era;
    let entry = view.nodes.get(instance);
    is_listed && entry.is_some_and(|entry| entry.lease == Some(lease))
}

async fn wait_after_outage(node: &Node) {
    let nodes = u64::try_from(node.retry_share.borrow().nodes()).unwrap_or(u64::MAX);
    let spread_ms = RETURN_SPREAD_MS.max(nodes.saturating_mul(RETURN_SPREAD_PER_NODE_MS));
    let delay_ms = node.random.borrow_mut().random_range(0..spread_ms);
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
}
