//! Soft state between instances, over JSON-RPC.
//!
//! The core chooses the peer, builds the messages and decides which ones to
//! accept ([`fescuerack_core::member`]). This module transports the messages,
//! seals them with the instances' shared key, and passes each part of a message to the
//! state that it belongs to.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use fescuerack_core::member::{self, Exchange, Payload, Time};
use fescuerack_wire::discovery::ListedInstance;
use fescuerack_wire::peer::{self, Digest, EXCHANGE_METHOD, Sealed};
use jsonrpsee::core::client::ClientT as _;
use jsonrpsee::http_client::HttpClientBuilder;
use jsonrpsee::server::{ServerBuilder, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::{RpcModule, rpc_params};

use crate::clock;
use crate::node_state::{NodeState, lock};
use crate::peer_fallback;
use crate::versions;

/// Time-out of an exchange with a peer.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest message that is accepted.
const MAX_MESSAGE_BYTES: u32 = 64 << 10;
/// Maximum number of peers that are queried at a time for an operator.
const MAX_CONCURRENT_QUERIES: usize = 32;
/// JSON-RPC error code of a refused message.
const REFUSED_CODE: i32 = -32_001;

/// Starts the peers' port; returns its address.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn serve(shared: Arc<NodeState>) -> Result<(SocketAddr, ServerHandle)> {
    let listen = shared.settings.listen.peers.clone();
    let config = jsonrpsee::server::ServerConfig::builder()
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(peer_fallback::MAX_ANSWER_BYTES)
        .build();
    let server = ServerBuilder::with_config(config)
        .build(&listen)
        .await
        .with_context(|| format!("listen.peers: bind {listen}"))?;
    let address = server.local_addr()?;
    lock(&shared.member).set_address(address.to_string());
    let mut module = RpcModule::new(shared);
    module.register_method(EXCHANGE_METHOD, |params, shared, _| {
        let sealed: Sealed = params.one()?;
        answer(shared, &sealed).map_err(|reason| {
            shared.metrics.count("peers.refused");
            ErrorObjectOwned::owned(REFUSED_CODE, reason, None::<()>)
        })
    })?;
    peer_fallback::register(&mut module)?;
    Ok((address, server.start(module)))
}

/// Starts an exchange in every period, and immediately after an urgent change.
pub async fn run(shared: Arc<NodeState>) {
    let period = Duration::from_millis(Exchange::PERIOD_MS);
    loop {
        let woken = tokio::time::timeout(period, shared.wake.notified()).await;
        publish(&shared);
        let is_urgent = lock(&shared.member).take_urgent();
        let exchanges = if is_urgent {
            Exchange::URGENT_EXCHANGES
        } else {
            1
        };
        if woken.is_ok() && !is_urgent {
            continue;
        }
        for _ in 0..exchanges {
            exchange(&shared).await;
        }
    }
}

/// Applies the platform's list of the instances of the router.
pub fn observe(shared: &NodeState, instances: &[ListedInstance]) {
    let mut member = lock(&shared.member);
    let list = instances.iter().map(|instance| {
        let state = match instance.state {
            fescuerack_core::route::State::Live => member::State::Live,
            fescuerack_core::route::State::Leaving => member::State::Leaving,
        };
        let ListedInstance {
            id, zone, address, ..
        } = instance;
        (id.as_str(), zone.as_str(), address.as_str(), state)
    });
    member.view.observe(shared.now(), list);
    member.forget();
}

/// Publishes the local state to the exchange; wakes the exchange if replicated
/// state has changed or a backend server has begun to leave.
pub fn publish(shared: &NodeState) {
    // Empty slices are included. Without them a peer could not detect that this
    // process lacks state that the peer has.
    let states = peer::all_slices(&shared_state(shared));
    let digest = digest(shared);
    let mut member = lock(&shared.member);
    let members = member.view.size();
    // A server that leaves must stop receiving new work within a few seconds.
    // Periodic exchanges alone would use up that time.
    let mut has_changed = update_announced_leaving(shared, &digest);
    if has_changed {
        member.mark_urgent();
    }
    for (slice, state) in states {
        has_changed |= member.replica.set(&slice, state, members);
    }
    member.set_digests(peer::non_default_slices(&digest));
    drop(member);
    if has_changed {
        shared.wake.notify_one();
    }
}

/// Records the backend servers that leave as announced; returns whether one of
/// them is new.
fn update_announced_leaving(shared: &NodeState, digest: &Digest) -> bool {
    let leaving: BTreeSet<String> = digest.leaving_servers.leaving.keys().cloned().collect();
    let mut announced = lock(&shared.announced_leaving);
    let has_new = !leaving.is_subset(&announced);
    *announced = leaving;
    has_new
}

/// Collects the state that is replicated on all instances.
fn shared_state(shared: &NodeState) -> peer::SharedState {
    peer::SharedState {
        rollouts: lock(&shared.versions.rollouts).records(),
    }
}

/// Collects the local state that is reported to peers.
fn digest(shared: &NodeState) -> Digest {
    let active = shared.active_configuration();
    let now = shared.now();
    Digest {
        rates: lock(&shared.rates).digest(&active.names, now),
        pools: lock(&shared.pools).digest(&active.names, now),
        leaving_servers: lock(&shared.routes).digest(now),
        rollouts: lock(&shared.versions.rollouts).digest(),
        quality: lock(&shared.versions.learner).digest(&active.names),
        suspects: lock(&shared.versions.suspects).digest(now),
    }
}

fn merge(shared: &NodeState, from: &str, digest: &Digest) {
    let active = shared.active_configuration();
    let now = shared.now();
    lock(&shared.rates).merge(&active.names, now, from, &digest.rates);
    lock(&shared.pools).merge(&active.names, now, from, &digest.pools);
    lock(&shared.routes).merge(now, &digest.leaving_servers);
    versions::merge_digest(shared, &active, digest);
}

/// Merges a peer's message into the local state.
fn apply(shared: &NodeState, input: Payload) {
    shared.configuration.record_peer_revision(input.revision);
    let states: peer::SharedState = peer::from_slices(input.states);
    versions::merge_rollout_records(shared, &states.rollouts);
    let digest: Digest = peer::from_slices(input.digests);
    merge(shared, &input.origin, &digest);
    publish(shared);
}

fn time(shared: &NodeState) -> Time {
    Time {
        now: shared.now(),
        wall: clock::wall(),
    }
}

fn answer(shared: &NodeState, sealed: &Sealed) -> Result<Sealed, String> {
    let key = shared.settings.peer_key.as_bytes();
    let request: member::Message =
        peer::open(key, sealed).map_err(|refusal| refusal.to_string())?;
    let in_reply_to = (request.origin.clone(), request.sequence);
    let hashes = request.hashes.clone();
    let time = time(shared);
    let input = lock(&shared.member).receive(time, request);
    let input = input.map_err(|refusal| refusal.to_string())?;
    apply(shared, input);
    shared.metrics.count("peers.answered");
    let revision = shared.active_configuration().catalog.revision;
    let message = lock(&shared.member).answer(time, revision, in_reply_to, &hashes);
    Ok(peer::seal(key, &message))
}

async fn exchange(shared: &Arc<NodeState>) {
    let revision = shared.active_configuration().catalog.revision;
    let started = shared.with_rng(|rng| lock(&shared.member).begin(time(shared), revision, rng));
    let Some((partner, message)) = started else {
        return;
    };
    let Some(address) = lock(&shared.member)
        .view
        .get(partner)
        .map(|peer| peer.address.clone())
    else {
        return;
    };
    let sequence = message.sequence;
    let Ok(answer) = send(shared, &address, &message).await else {
        lock(&shared.member)
            .view
            .record_failure(shared.now(), partner);
        shared.metrics.count("peers.failed");
        return;
    };
    receive_answer(shared, sequence, answer);
}

fn receive_answer(shared: &NodeState, sequence: u64, answer: member::Message) {
    let input = lock(&shared.member).receive_answer(time(shared), sequence, answer);
    match input {
        Ok(input) => {
            shared.metrics.count("peers.exchanged");
            apply(shared, input);
        }
        Err(_) => shared.metrics.count("peers.refused"),
    }
}

/// Sends a message to a peer and returns the peer's answer.
async fn send(
    shared: &NodeState,
    address: &str,
    message: &member::Message,
) -> Result<member::Message> {
    let key = shared.settings.peer_key.as_bytes();
    let client = HttpClientBuilder::default()
        .request_timeout(EXCHANGE_TIMEOUT)
        .build(format!("http://{address}"))?;
    let sealed: Sealed = client
        .request(EXCHANGE_METHOD, rpc_params![peer::seal(key, message)])
        .await?;
    Ok(peer::open(key, &sealed)?)
}

/// Queries the active revision of each peer; `None` for a peer that does not
/// answer. At most [`MAX_CONCURRENT_QUERIES`] peers are queried at a time, so
/// that an operator's request causes no burst of messages.
pub async fn revisions(shared: &Arc<NodeState>, addresses: &[String]) -> Vec<Option<u64>> {
    let mut revisions = vec![None; addresses.len()];
    for (round, chunk) in addresses.chunks(MAX_CONCURRENT_QUERIES).enumerate() {
        let mut queries = tokio::task::JoinSet::new();
        for (index, address) in chunk.iter().cloned().enumerate() {
            let shared = Arc::clone(shared);
            queries.spawn(async move { (index, revision(&shared, &address).await) });
        }
        while let Some(answer) = queries.join_next().await {
            if let Ok((index, found)) = answer {
                revisions[round * MAX_CONCURRENT_QUERIES + index] = found;
            }
        }
    }
    revisions
}

async fn revision(shared: &NodeState, address: &str) -> Option<u64> {
    let local_revision = shared.active_configuration().catalog.revision;
    let message = lock(&shared.member).begin_with(time(shared), local_revision);
    let sequence = message.sequence;
    let answer = send(shared, address, &message).await.ok()?;
    let revision = answer.revision;
    receive_answer(shared, sequence, answer);
    Some(revision)
}
