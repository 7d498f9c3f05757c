//! Bootstrap of the node: carries out the decisions of
//! [`bootstrap`](fescuerack_core::gateway::bootstrap).

use std::net::SocketAddr;
use std::rc::Rc;

use fescuerack_core::gateway::bootstrap::{Action, Bootstrap, Provider};
use fescuerack_core::gateway::position::Position;
use rand::RngExt as _;

use crate::clock::{age_ms, deadline, now};
use crate::entry;
use crate::follow;
use crate::node::Node;
use crate::platform::{Item, StoreRequest, StoreResponse};
use crate::read;
use crate::snapshot;

/// Gets the whole state of the store, from a peer or from the store itself. It also serves a node
/// that has lost the history of the store.
pub async fn run(node: &Rc<Node>) {
    let (local, link_mbps) = {
        let settings = node.settings.borrow();
        (settings.peers, settings.link_mbps)
    };
    let started = now();
    let source = get_state(node, Bootstrap::new(started, local, link_mbps)).await;
    tracing::info!(event = "state", source, ms = age_ms(started));
}

/// Returns from where the state came, for the log.
async fn get_state(node: &Rc<Node>, mut bootstrap: Bootstrap) -> &'static str {
    loop {
        let draw = node.random.borrow_mut().random();
        match bootstrap.next(now(), draw) {
            Action::ReadRecords { is_fresh } => {
                read_records(node, &mut bootstrap, draw, is_fresh).await;
            }
            Action::Claim { slot, revision } => {
                claim(node, &mut bootstrap, draw, slot, revision).await;
            }
            Action::ReadStore => match read::read_all(node).await {
                Ok(()) => return "store",
                Err(_) => bootstrap.record_store_failure(now(), draw, known_peers(node, draw)),
            },
            Action::Ask(address) => match snapshot::receive(node, address).await {
                Ok(()) => {
                    follow::set_parent(node, address);
                    return "snapshot";
                }
                Err(refusal) => bootstrap.receive_refusal(now(), draw, address, refusal),
            },
            Action::Wait(until) => tokio::time::sleep_until(deadline(until)).await,
        }
    }
}

/// Returns nodes that this one knows without the store: those that have asked it for a snapshot, and
/// one from its list if it has one.
fn known_peers(node: &Node, draw: u64) -> Vec<SocketAddr> {
    let mut peers = node.snapshots.receivers(draw);
    let view = node.view.borrow();
    let zone = &node.settings.borrow().zone;
    let local = view.nodes.values().filter(|peer| peer.zone == *zone);
    let local: Vec<SocketAddr> = local.map(|peer| peer.address).collect();
    let index = usize::try_from(draw).unwrap_or_default() % local.len().max(1);
    peers.extend(local.get(index));
    peers
}

/// Returns the prefix of the records of the node's availability zone.
fn prefix(node: &Node) -> String {
    format!("{}{}/", entry::PROVIDERS, node.settings.borrow().zone)
}

async fn read_records(node: &Rc<Node>, bootstrap: &mut Bootstrap, draw: u64, is_fresh: bool) {
    let prefix = prefix(node);
    let call = StoreRequest::Range {
        prefix: &prefix,
        after: None,
        may_be_stale: !is_fresh,
    };
    match read::read_page(node, &call).await {
        Ok(page) => {
            let providers = page.items.iter();
            let providers = providers.filter_map(|item| decode_record(&prefix, item));
            bootstrap.receive_providers(now(), draw, providers.collect());
        }
        Err(_) => bootstrap.record_store_failure(now(), draw, known_peers(node, draw)),
    }
}

fn decode_record(prefix: &str, item: &Item) -> Option<Provider> {
    let slot = item.key.strip_prefix(prefix)?.parse().ok()?;
    let address: SocketAddr = item.value.as_ref()?.parse().ok()?;
    Some(Provider {
        slot,
        address,
        revision: item.revision,
    })
}

async fn claim(
    node: &Rc<Node>,
    bootstrap: &mut Bootstrap,
    draw: u64,
    slot: usize,
    revision: Position,
) {
    let key = format!("{}{slot}", prefix(node));
    let value = node.settings.borrow().peers.to_string();
    let put = StoreRequest::Put {
        key: &key,
        value: &value,
        revision: Some(revision),
        lease: None,
    };
    match node.store.call(&put).await {
        Ok(StoreResponse::Written(_)) => {
            tracing::info!(event = "provider", slot, before = %revision);
            bootstrap.receive_claim(true);
        }
        Ok(StoreResponse::Conflict) => bootstrap.receive_claim(false),
        Ok(other) => {
            tracing::error!(event = "store-odd-answer", call = "claim", answer = ?other);
            bootstrap.record_store_failure(now(), draw, known_peers(node, draw));
        }
        Err(fault) => {
            follow::record_fault(node, "claim", &fault);
            bootstrap.record_store_failure(now(), draw, known_peers(node, draw));
        }
    }
}
