//! Keeps claims in the store.

use std::time::Duration;

use bytes::Bytes;
use fescuerack_core::claim::{self, Record, State, Verdict};
use fescuerack_core::clock::Instant;
use fescuerack_platform::{Fault, Store as _, Swap};

use crate::clock;
use crate::shared::Shared;

/// Time between two tries while the store is out.
const RETRY: Duration = Duration::from_millis(100);

/// Names one claim.
#[derive(Clone, Debug)]
pub struct Name {
    /// Key in the store.
    pub key: String,
    /// Digest of the request's body.
    pub digest: String,
}

/// A claim that this process holds.
#[derive(Clone, Debug)]
pub struct Claim {
    key: String,
    version: u64,
    record: Record,
}

/// What came of claiming.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// This process may run the request.
    Claimed(Claim),
    /// The sender gets this instead.
    Taken(Verdict),
    /// The store was out until the deadline; nothing was sent.
    Out,
}

/// Claims `name`, waiting while the store is out, until `deadline`.
pub fn claim(shared: &Shared, name: &Name, deadline: Instant) -> Outcome {
    let remaining = deadline.since(shared.now());
    let record = Record {
        digest: name.digest.clone(),
        nonce: shared.random(),
        deadline: clock::wall() + remaining,
        state: State::Running,
    };
    while shared.now() < deadline {
        match attempt(shared, name, &record) {
            Ok(outcome) => return outcome,
            Err(_) => shared.metrics.count("claim.store_failed"),
        }
        std::thread::sleep(RETRY);
    }
    Outcome::Out
}

fn attempt(shared: &Shared, name: &Name, record: &Record) -> Result<Outcome, Fault> {
    let mut expected = 0;
    loop {
        if let Swap::Swapped(version) =
            shared
                .store
                .swap(&name.key, expected, encode(record), None)?
        {
            return Ok(Outcome::Claimed(Claim {
                key: name.key.clone(),
                version,
                record: record.clone(),
            }));
        }
        let Some(value) = shared.store.get(&name.key)? else {
            expected = 0;
            continue;
        };
        let found: Record = serde_json::from_slice(&value.bytes)
            .map_err(|error| Fault::Malformed(error.to_string()))?;
        if found.nonce == record.nonce {
            // An earlier write of ours took effect and its answer was lost.
            return Ok(Outcome::Claimed(Claim {
                key: name.key.clone(),
                version: value.version,
                record: found,
            }));
        }
        match claim::judge(&found, &name.digest, clock::wall()) {
            Verdict::Reclaim => expected = value.version,
            verdict => return Ok(Outcome::Taken(verdict)),
        }
    }
}

/// Records how a claimed request ended; tries until `deadline`.
///
/// When the store stays out the record stays [`State::Running`] and counts as
/// unknown after its deadline, which is true.
pub fn record(shared: &Shared, claim: &Claim, state: State, deadline: Instant) {
    let record = Record {
        state,
        ..claim.record.clone()
    };
    loop {
        match shared
            .store
            .swap(&claim.key, claim.version, encode(&record), None)
        {
            Ok(_) => return,
            Err(_) => shared.metrics.count("claim.store_failed"),
        }
        if shared.now() >= deadline {
            return;
        }
        std::thread::sleep(RETRY);
    }
}

fn encode(record: &Record) -> Bytes {
    Bytes::from(serde_json::to_vec(record).expect("a record has only plain fields"))
}
