//! Requests that crash servers: telling a crash from a cut, permits from the
//! store, and word to all peers at once.

use std::collections::BTreeSet;
use std::net::{TcpStream, ToSocketAddrs as _};
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use bytes::Bytes;
use fescuerack_client::{Fault, Store as _, Swap};
use fescuerack_config::key;
use fescuerack_core::poison::{Fingerprint, Record, Verdict};
use fescuerack_core::rollout::Event;

use crate::shared::{Shared, lock};

/// Time within which a living server takes a connection.
const PROBE: Duration = Duration::from_millis(250);
/// Pause before a server that still takes connections is looked at again.
const SECOND_LOOK: Duration = Duration::from_millis(50);
/// Tries to swap a permit before the request is refused.
const TRIES: usize = 3;

/// Returns whether a server that broke off has crashed: it takes no
/// connection. An engine needs far longer to load its model than this takes.
///
/// The connections of a dying process end one after the other, and its
/// listening socket may be the last: a single look right after the break finds
/// it open, and the crash goes uncounted. So a server that still takes a
/// connection is looked at once more.
fn has_crashed(address: &str) -> bool {
    let addresses = address.to_socket_addrs();
    let Some(address) = addresses.ok().and_then(|mut found| found.next()) else {
        return false;
    };
    if TcpStream::connect_timeout(&address, PROBE).is_err() {
        return true;
    }
    std::thread::sleep(SECOND_LOOK);
    TcpStream::connect_timeout(&address, PROBE).is_err()
}

/// Returns whether a request may run; blocks on the store if it is suspected.
fn may_run(shared: &Shared, fingerprint: Fingerprint) -> bool {
    let now = shared.now();
    let verdict = lock(&shared.versions.suspects).verdict(now, fingerprint);
    let may = match verdict {
        Verdict::Run => true,
        Verdict::Refuse => false,
        Verdict::Permit => permit(shared, fingerprint).unwrap_or(true),
    };
    if !may {
        shared.metrics.count("suspects.refused");
    }
    may
}

/// Takes the permit of the second run from the store.
///
/// # Errors
///
/// When the store gives no answer.
fn permit(shared: &Shared, fingerprint: Fingerprint) -> Result<bool> {
    let key = fingerprint.key();
    let holder = &shared.incarnation;
    let lost = lock(&shared.versions.suspects).lost(fingerprint);
    for _ in 0..TRIES {
        let value = shared.store.get(&key)?;
        let (version, record) = match value {
            Some(value) => (
                value.version,
                serde_json::from_slice(&value.bytes).context("a suspicion's record")?,
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

/// Has all peers told at once.
fn press(shared: &Shared) {
    lock(&shared.member).mark_urgent();
    shared.wake.notify_one();
}

/// Notes that a server crashed under a request; returns whether the request is
/// thereby condemned.
fn note_crash(shared: &Shared, fingerprint: Fingerprint, server: &str) -> bool {
    let now = shared.now();
    let mut suspects = lock(&shared.versions.suspects);
    suspects.record_crash(now, fingerprint, server);
    let condemned = suspects.verdict(now, fingerprint) == Verdict::Refuse;
    drop(suspects);
    shared.metrics.count("suspects.crashes");
    // The caller may send it again at once, through any instance.
    press(shared);
    log::warn!(server = server; "a backend server crashed under a request");
    condemned
}

/// An attempt as far as its end tells of its version and of its request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Version that was to answer.
    pub version: key::Version,
    /// The request.
    pub fingerprint: Fingerprint,
    /// Server.
    pub server: key::Server,
    /// Address of the server.
    pub address: String,
}

/// Notes how an attempt ended; blocks for a moment if its server broke off.
pub fn ended(shared: &Shared, attempt: &Attempt, result: Result<(), &Fault>) {
    let crashed = matches!(result, Err(Fault::Unknown(_))) && has_crashed(&attempt.address);
    let now = shared.now();
    lock(&shared.versions.suspects).release(attempt.fingerprint);
    let event = match result {
        Err(_) if crashed => {
            let name = lock(&shared.routes)
                .get(attempt.server)
                .map_or_else(|| attempt.address.clone(), |server| server.id.clone());
            if note_crash(shared, attempt.fingerprint, &name) {
                // The request did it, whatever the version.
                return;
            }
            Event::Crashed(attempt.server)
        }
        // The request was wrong, the server is full or never heard of it:
        // none of these says anything of the version.
        Err(Fault::Refused { status, .. }) if *status < 500 || *status == 503 => return,
        Err(Fault::NotSent(_)) => return,
        Err(_) => Event::Failed(attempt.server),
        Ok(()) => {
            if lock(&shared.versions.suspects).record_survival(attempt.fingerprint) {
                // Until they hear, the others would refuse an innocent request.
                press(shared);
            }
            return;
        }
    };
    lock(&shared.versions.board).observe(now, attempt.version, event);
}

/// Notes that an attempt was given up before its end.
pub fn left(shared: &Shared, attempt: &Attempt) {
    lock(&shared.versions.suspects).release(attempt.fingerprint);
}

/// Asks whether a request may run, away from the async threads.
pub async fn admit(shared: &Arc<Shared>, fingerprint: Fingerprint) -> bool {
    let verdict = lock(&shared.versions.suspects).verdict(shared.now(), fingerprint);
    if verdict == Verdict::Run {
        return true;
    }
    let shared = Arc::clone(shared);
    let asked = tokio::task::spawn_blocking(move || may_run(&shared, fingerprint));
    asked.await.unwrap_or(false)
}

/// Returns the servers that a request has to avoid besides those it tried: a
/// suspect does not run where another one does.
pub fn avoid(
    shared: &Shared,
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

/// Notes that a request is about to run on a server; `false` when it may not.
#[must_use]
pub fn start(shared: &Shared, fingerprint: Fingerprint, server: key::Server) -> bool {
    let now = shared.now();
    lock(&shared.versions.suspects).start(now, fingerprint, server)
}

/// Returns whether a request is suspected of crashing servers.
pub fn is_suspected(shared: &Shared, fingerprint: Fingerprint) -> bool {
    let suspects = lock(&shared.versions.suspects);
    suspects.verdict(shared.now(), fingerprint) != Verdict::Run
}
