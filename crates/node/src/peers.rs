//! Soft state between instances, over JSON-RPC.
//!
//! The core decides whom to ask, what to say and what to believe
//! ([`fescuerack_core::member`]); this module carries the messages, seals them
//! with the fleet's key, and hands to each slice what concerns it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use fescuerack_core::member::{self, Exchange, Payload, Time};
use fescuerack_wire::list::Instance;
use fescuerack_wire::peer::{self, Digest, EXCHANGE, Sealed};
use jsonrpsee::core::client::ClientT as _;
use jsonrpsee::http_client::HttpClientBuilder;
use jsonrpsee::server::{ServerBuilder, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::{RpcModule, rpc_params};

use crate::clock;
use crate::peer_fallback;
use crate::shared::{Shared, lock};
use crate::versions;

/// Time within which a peer must answer.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Largest message that is taken, in bytes.
const LARGEST: u32 = 64 << 10;
/// Peers that an operator's question asks at a time.
const ASKED_AT_ONCE: usize = 32;
/// JSON-RPC error code of a message that is refused.
const REFUSED: i32 = -32_001;

/// Starts the port for peers; returns its address.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn serve(shared: Arc<Shared>) -> Result<(SocketAddr, ServerHandle)> {
    let listen = shared.settings.listen.peers.clone();
    let config = jsonrpsee::server::ServerConfig::builder()
        .max_request_body_size(LARGEST)
        .max_response_body_size(peer_fallback::MAX_ANSWER_BYTES)
        .build();
    let server = ServerBuilder::with_config(config)
        .build(&listen)
        .await
        .with_context(|| format!("listen.peers: bind {listen}"))?;
    let address = server.local_addr()?;
    lock(&shared.member).set_address(address.to_string());
    let mut module = RpcModule::new(shared);
    module.register_method(EXCHANGE, |params, shared, _| {
        let sealed: Sealed = params.one()?;
        answer(shared, &sealed).map_err(|reason| {
            shared.metrics.count("peers.refused");
            ErrorObjectOwned::owned(REFUSED, reason, None::<()>)
        })
    })?;
    peer_fallback::register(&mut module)?;
    Ok((address, server.start(module)))
}

/// Begins an exchange every period, and at once when something must be told.
pub async fn run(shared: Arc<Shared>) {
    let period = Duration::from_millis(Exchange::PERIOD_MS);
    loop {
        let woken = tokio::time::timeout(period, shared.wake.notified()).await;
        publish(&shared);
        let pressing = lock(&shared.member).take_urgent();
        let exchanges = if pressing { Exchange::FANOUT } else { 1 };
        if woken.is_ok() && !pressing {
            continue;
        }
        for _ in 0..exchanges {
            exchange(&shared).await;
        }
    }
}

/// Takes over what the platform's list says of the instances of the fleet.
pub fn observe(shared: &Shared, instances: &[Instance]) {
    let mut member = lock(&shared.member);
    let list = instances.iter().map(|instance| {
        let state = match instance.state {
            fescuerack_core::route::State::Live => member::State::Live,
            fescuerack_core::route::State::Leaving => member::State::Leaving,
        };
        let Instance {
            id, zone, address, ..
        } = instance;
        (id.as_str(), zone.as_str(), address.as_str(), state)
    });
    member.view.observe(shared.now(), list);
    member.forget();
}

/// Takes over what the slices hold now; wakes the exchange when something that
/// all should hold alike has changed.
pub fn publish(shared: &Shared) {
    // Also what a slice holds of nothing is named, or a peer could not see that
    // this process lacks what it knows.
    let states = peer::fields(&shared_state(shared));
    let digest = digest(shared);
    let mut member = lock(&shared.member);
    let members = member.view.size();
    // A server that leaves must get no new work within a few seconds, which a
    // spread by the periodic exchanges alone would take up.
    let mut changed = tell_leaving(shared, &digest);
    if changed {
        member.mark_urgent();
    }
    for (slice, state) in states {
        changed |= member.replica.set(&slice, state, members);
    }
    member.set_digests(peer::slices(&digest));
    drop(member);
    if changed {
        shared.wake.notify_one();
    }
}

/// Returns whether servers leave of which peers were not told yet.
fn tell_leaving(shared: &Shared, digest: &Digest) -> bool {
    let leaving: BTreeSet<String> = digest.words.leaving.keys().cloned().collect();
    let mut told = lock(&shared.announced_leaving);
    let news = !leaving.is_subset(&told);
    *told = leaving;
    news
}

/// Collects what all instances should hold alike.
fn shared_state(shared: &Shared) -> peer::Shared {
    peer::Shared {
        rollouts: lock(&shared.versions.rollouts).records(),
    }
}

/// Collects what the slices tell their peers.
fn digest(shared: &Shared) -> Digest {
    let active = shared.active_configuration();
    let now = shared.now();
    Digest {
        rates: lock(&shared.rates).digest(&active.names, now),
        pools: lock(&shared.pools).digest(&active.names, now),
        words: lock(&shared.routes).digest(now),
        rollouts: lock(&shared.versions.rollouts).digest(),
        quality: lock(&shared.versions.learner).digest(&active.names),
        suspects: lock(&shared.versions.suspects).digest(now),
    }
}

fn merge(shared: &Shared, from: &str, digest: &Digest) {
    let active = shared.active_configuration();
    let now = shared.now();
    lock(&shared.rates).merge(&active.names, now, from, &digest.rates);
    lock(&shared.pools).merge(&active.names, now, from, &digest.pools);
    lock(&shared.routes).merge(now, &digest.words);
    versions::merge_digest(shared, &active, digest);
}

/// Hands to the slices what a peer told.
fn take_in(shared: &Shared, input: Payload) {
    shared.configuration.record_peer_revision(input.revision);
    let states: peer::Shared = peer::from_slices(input.states);
    versions::merge_rollout_records(shared, &states.rollouts);
    let digest: Digest = peer::from_slices(input.digests);
    merge(shared, &input.origin, &digest);
    publish(shared);
}

fn time(shared: &Shared) -> Time {
    Time {
        now: shared.now(),
        wall: clock::wall(),
    }
}

fn answer(shared: &Shared, sealed: &Sealed) -> Result<Sealed, String> {
    let key = shared.settings.peer_key.as_bytes();
    let request: member::Message =
        peer::open(key, sealed).map_err(|refusal| refusal.to_string())?;
    let about = (request.origin.clone(), request.sequence);
    let hashes = request.hashes.clone();
    let time = time(shared);
    let input = lock(&shared.member).receive(time, request);
    let input = input.map_err(|refusal| refusal.to_string())?;
    take_in(shared, input);
    shared.metrics.count("peers.answered");
    let revision = shared.active_configuration().catalog.revision;
    let message = lock(&shared.member).answer(time, revision, about, &hashes);
    Ok(peer::seal(key, &message))
}

async fn exchange(shared: &Arc<Shared>) {
    let revision = shared.active_configuration().catalog.revision;
    let begun = shared.with_rng(|rng| lock(&shared.member).begin(time(shared), revision, rng));
    let Some((partner, message)) = begun else {
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
    let Ok(answer) = ask(shared, &address, &message).await else {
        lock(&shared.member)
            .view
            .record_failure(shared.now(), partner);
        shared.metrics.count("peers.failed");
        return;
    };
    receive_answer(shared, sequence, answer);
}

fn receive_answer(shared: &Shared, sequence: u64, answer: member::Message) {
    let input = lock(&shared.member).receive_answer(time(shared), sequence, answer);
    match input {
        Ok(input) => {
            shared.metrics.count("peers.exchanged");
            take_in(shared, input);
        }
        Err(_) => shared.metrics.count("peers.refused"),
    }
}

async fn ask(shared: &Shared, address: &str, message: &member::Message) -> Result<member::Message> {
    let key = shared.settings.peer_key.as_bytes();
    let client = HttpClientBuilder::default()
        .request_timeout(TIMEOUT)
        .build(format!("http://{address}"))?;
    let sealed: Sealed = client
        .request(EXCHANGE, rpc_params![peer::seal(key, message)])
        .await?;
    Ok(peer::open(key, &sealed)?)
}

/// Asks each peer for the revision that it has in force; `None` for one that
/// gives no answer. At most [`ASKED_AT_ONCE`] are asked at a time, so that an
/// operator's question is no burst.
pub async fn revisions(shared: &Arc<Shared>, addresses: &[String]) -> Vec<Option<u64>> {
    let mut revisions = vec![None; addresses.len()];
    for (round, some) in addresses.chunks(ASKED_AT_ONCE).enumerate() {
        let mut asked = tokio::task::JoinSet::new();
        for (index, address) in some.iter().cloned().enumerate() {
            let shared = Arc::clone(shared);
            asked.spawn(async move { (index, revision(&shared, &address).await) });
        }
        while let Some(answer) = asked.join_next().await {
            if let Ok((index, found)) = answer {
                revisions[round * ASKED_AT_ONCE + index] = found;
            }
        }
    }
    revisions
}

async fn revision(shared: &Shared, address: &str) -> Option<u64> {
    let own = shared.active_configuration().catalog.revision;
    let message = lock(&shared.member).begin_with(time(shared), own);
    let sequence = message.sequence;
    let answer = ask(shared, address, &message).await.ok()?;
    let revision = answer.revision;
    receive_answer(shared, sequence, answer);
    Some(revision)
}
