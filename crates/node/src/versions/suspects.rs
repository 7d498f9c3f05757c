//! Requests that crash servers: distinguishing a crash from a broken connection,
//! permits from the store, and immediate updates to all peers.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpStream, ToSocketAddrs as _};
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use bytes::Bytes;
use fescuerack_client::{Fault, Store as _, Swap};
use fescuerack_config::key;
use fescuerack_core::poison::{Fingerprint, Record, Verdict};
use fescuerack_core::rollout::Event;

use crate::node_state::{NodeState, lock};

/// Time within which a running server accepts a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Delay before a server that still accepts connections is probed again.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(50);
/// Number of attempts to swap a permit before the request is refused.
const PERMIT_SWAP_ATTEMPTS: usize = 3;

/// Number of other servers that must be unreachable for this instance's own path
/// to be lost.
const MIN_UNREACHABLE: usize = 2;
/// Maximum number of other servers that are probed.
const MAX_PROBED: usize = 3;

/// Returns whether a server whose connection broke has crashed: it accepts no
/// new connection, and another server does. A restarted engine is not taken for one that kept
/// running, because loading its model takes far longer than the two probes.
///
/// The sockets of a dying process close one after the other, and its listening
/// socket may be the last. A single probe right after the break would find it
/// open and miss the crash. So a server that accepts the first probe is probed
/// again.
///
/// If no other server accepts one either, this instance has lost its path to all of
/// them, and the break says nothing about the request.
fn has_crashed(shared: &NodeState, attempt: &Attempt) -> bool {
    let addresses = attempt.address.to_socket_addrs();
    let Some(address) = addresses.ok().and_then(|mut found| found.next()) else {
        return false;
    };
    if accepts(&address) {
        std::thread::sleep(SECOND_PROBE_DELAY);
        if accepts(&address) {
            return false;
        }
    }
    reaches_others(shared, attempt.server)
}

fn accepts(address: &SocketAddr) -> bool {
    TcpStream::connect_timeout(address, PROBE_TIMEOUT).is_ok()
}

/// Returns whether a server other than `server` is reached. With too few others it is
/// assumed.
fn reaches_others(shared: &NodeState, server: key::Server) -> bool {
    let others: Vec<String> = lock(&shared.routes)
        .iter()
        .filter(|(key, _)| *key != server)
        .map(|(_, other)| other.address.clone())
        .take(MAX_PROBED)
        .collect();
    let is_reached = |address: &String| {
        let mut addresses = address.to_socket_addrs().into_iter().flatten();
        addresses.next().is_some_and(|address| accepts(&address))
    };
    others.len() < MIN_UNREACHABLE || others.iter().any(is_reached)
}

/// Returns whether a request may run; blocks on the store if it needs a permit.
/// When the store gives no answer, it may.
fn may_run(shared: &NodeState, fingerprint: Fingerprint) -> bool {
    let now = shared.now();
    let verdict = lock(&shared.versions.suspects).verdict(now, fingerprint);
    let is_allowed = match verdict {
        Verdict::Run => true,
        Verdict::Refuse => false,
        Verdict::Permit => take_permit(shared, fingerprint).unwrap_or(true),
    };
    if !is_allowed {
        shared.metrics.count("suspects.refused");
    }
    is_allowed
}

/// Takes the permit for the second run from the store; returns whether it was
/// free.
///
/// # Errors
///
/// When the store gives no answer or its record cannot be parsed.
fn take_permit(shared: &NodeState, fingerprint: Fingerprint) -> Result<bool> {
    let key = fingerprint.key();
    let holder = &shared.incarnation;
    let lost = lock(&shared.versions.suspects).lost(fingerprint);
    for _ in 0..PERMIT_SWAP_ATTEMPTS {
        let value = shared.store.get(&key)?;
        let (version, record) = match value {
            Some(value) => (
                value.version,
                serde_json::from_slice(&value.bytes).context("parse a suspect record")?,
            ),
            None => (0, Record::default()),
        };
        let now = shared.now();
        lock(&shared.versions.suspects).merge_record(now, fingerprint, &record);
        let Some(taken) = record.take_permit(holder, &lost) else {
            return Ok(false);
        };
        let bytes = Bytes::from(serde_json::to_vec(&taken)?);
        if let Ok(Swap::Swapped(_)) = shared.store.swap(&key, version, bytes, None) {
            return Ok(true);
        }
    }
    Ok(false)
}

/// Triggers an immediate exchange with all peers.
fn notify_peers(shared: &NodeState) {
    lock(&shared.member).mark_urgent();
    shared.wake.notify_one();
}

/// Records that a server crashed while it ran a request; returns whether the
/// request is refused from now on.
fn record_crash(shared: &NodeState, fingerprint: Fingerprint, server: &str) -> bool {
    let now = shared.now();
    let mut suspects = lock(&shared.versions.suspects);
    suspects.record_crash(now, fingerprint, server);
    let is_refused = suspects.verdict(now, fingerprint) == Verdict::Refuse;
    drop(suspects);
    shared.metrics.count("suspects.crashes");
    // The caller may send the request again at once, through any instance.
    notify_peers(shared);
    log::warn!(server = server; "a backend server crashed while running a request");
    is_refused
}

/// The attributes of an attempt that its outcome is recorded under.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Version that the attempt asked for.
    pub version: key::Version,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Server.
    pub server: key::Server,
    /// Address of the server.
    pub address: String,
}

/// Records how an attempt ended; blocks for the probes of its server if the
/// connection broke.
pub fn record_end(shared: &NodeState, attempt: &Attempt, result: Result<(), &Fault>) {
    let crashed = matches!(result, Err(Fault::Unknown(_))) && has_crashed(shared, attempt);
    let now = shared.now();
    if !crashed {
        lock(&shared.versions.suspects).release(attempt.fingerprint);
    }
    let event = match result {
        Err(_) if crashed => {
            let name = lock(&shared.routes)
                .get(attempt.server)
                .map_or_else(|| attempt.address.clone(), |server| server.id.clone());
            if record_crash(shared, attempt.fingerprint, &name) {
                // The request caused the crash, not the version.
                return;
            }
            Event::Crashed(attempt.server)
        }
        // The request was invalid, the server is full, or the request never
        // reached it: none of these is a failure of the version.
        Err(Fault::Refused { .. } | Fault::NotSent(_)) => return,
        Err(_) => Event::Failed(attempt.server),
        Ok(()) => {
            if lock(&shared.versions.suspects).record_survival(attempt.fingerprint) {
                // Until they are notified, peers would refuse a harmless request.
                notify_peers(shared);
            }
            return;
        }
    };
    lock(&shared.versions.rollouts).observe(now, attempt.version, event);
}

/// Records that an attempt was given up before its end.
pub fn record_abandoned(shared: &NodeState, attempt: &Attempt) {
    lock(&shared.versions.suspects).release(attempt.fingerprint);
}

/// Returns whether a request may run; what blocks runs outside the async
/// threads.
pub async fn admit(shared: &Arc<NodeState>, fingerprint: Fingerprint) -> bool {
    let verdict = lock(&shared.versions.suspects).verdict(shared.now(), fingerprint);
    if verdict == Verdict::Run {
        return true;
    }
    let shared = Arc::clone(shared);
    let check = tokio::task::spawn_blocking(move || may_run(&shared, fingerprint));
    check.await.unwrap_or(false)
}

/// Returns the servers that a request must avoid: those it has tried and, for a
/// suspect, those that run another suspect.
pub fn avoid(
    shared: &NodeState,
    fingerprint: Fingerprint,
    tried: &BTreeSet<key::Server>,
) -> BTreeSet<key::Server> {
    let suspects = lock(&shared.versions.suspects);
    let mut avoid = tried.clone();
    if suspects.verdict(shared.now(), fingerprint) != Verdict::Run {
        avoid.extend(suspects.occupied());
    }
    avoid
}

/// Records that a request is about to run on a server; returns `false` when it
/// may not, because another crash was reported in the meantime.
#[must_use]
pub fn start(shared: &NodeState, fingerprint: Fingerprint, server: key::Server) -> bool {
    let now = shared.now();
    lock(&shared.versions.suspects).start(now, fingerprint, server)
}

/// Returns whether a request is suspected of crashing servers.
pub fn is_suspected(shared: &NodeState, fingerprint: Fingerprint) -> bool {
    let suspects = lock(&shared.versions.suspects);
    suspects.verdict(shared.now(), fingerprint) != Verdict::Run
}
