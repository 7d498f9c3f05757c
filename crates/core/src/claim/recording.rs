//! The protocol that records the end of a claimed request.
//!
//! The record changes from running to its end by a swap that expects the version of the claim.
//! Only the holder changes a running claim, so a conflict means that an earlier swap of this
//! protocol took effect and its answer was lost. While the store is unavailable, the record stays
//! running; after its deadline it counts as unknown, which is correct.
//!
//! A claim that was abandoned without an answer from the store is settled as not run
//! ([`Recording::with_unconfirmed`]), so that the sender may try again. The swap of that claim may
//! still be in transit. Settling therefore does not wait for it to arrive: it writes "not run" over
//! the version that the swap expects, after which the swap can only get a conflict.

use bytes::Bytes;

use super::codec::{self, encode};
use super::{Claim, Name, Record, State};
use crate::clock::Instant;
use crate::store::{Backoff, Call, Machine, Reply, Step, Value};

/// The state machine of the protocol; its output is whether the end is certainly recorded.
#[derive(Clone, Debug)]
pub struct Recording {
    key: String,
    lease: Option<u64>,
    record: Record,
    /// Version that the swap of the record expects; `None` while the record has to be read.
    version: Option<u64>,
    /// Whether the protocol settles a claim that may not exist.
    settles: bool,
    /// Lowest version of a read that is not stale.
    min_version: u64,
    /// Parts of the body.
    parts: Vec<Bytes>,
    /// Number of the parts that are written.
    written: usize,
    done: bool,
    deadline: Instant,
    wait: Option<Instant>,
    backoff: Backoff,
}

impl Recording {
    /// Creates the protocol that records `state` and retries until `deadline`.
    #[must_use]
    pub fn new(claim: &Claim, state: State, deadline: Instant) -> Self {
        let record = claim.record.transition(state);
        Self {
            key: claim.key.clone(),
            lease: claim.lease,
            parts: codec::parts(&record),
            version: Some(claim.version),
            settles: false,
            min_version: 0,
            written: 0,
            done: false,
            deadline,
            wait: None,
            backoff: Backoff::new(record.nonce),
            record,
        }
    }

    /// Creates the protocol that settles a claim as not run: the attempt `nonce` was abandoned
    /// without sending the request and without confirmation that its claim exists.
    #[must_use]
    pub fn with_unconfirmed(name: Name, nonce: u64, lease: Option<u64>, deadline: Instant) -> Self {
        let record = Record {
            digest: name.digest,
            nonce,
            deadline: Instant::ORIGIN,
            state: State::NotRun,
        };
        Self {
            key: name.key,
            lease,
            parts: Vec::new(),
            // If a record exists, the conflict returns its version.
            version: Some(0),
            settles: true,
            min_version: 0,
            written: 0,
            done: false,
            deadline,
            wait: None,
            backoff: Backoff::new(nonce),
            record,
        }
    }

    fn pause(&mut self, now: Instant) {
        self.wait = Some(self.backoff.next(now));
    }

    /// Handles a read of the record while settling.
    ///
    /// Where the record of the abandoned attempt exists or may still arrive, it is overwritten.
    /// Otherwise the protocol is done.
    fn settle(&mut self, now: Instant, value: Option<&Value>) {
        let version = value.map_or(0, |value| value.version);
        if version < self.min_version {
            return self.pause(now);
        }
        let found = value.and_then(|value| codec::decode(&value.bytes));
        let is_settled = match (value, found) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(_), Some(found)) => {
                let is_ours = found.record.nonce == self.record.nonce;
                match found.record.state {
                    State::NotRun => is_ours,
                    State::Running => !is_ours,
                    State::Done(_) | State::Unknown => true,
                }
            }
        };
        if is_settled {
            self.done = true;
        } else {
            self.version = Some(version);
        }
    }
}

impl Machine for Recording {
    type Output = bool;

    fn step(&mut self, now: Instant) -> Step<bool> {
        if self.done || now >= self.deadline {
            return Step::Done(self.done);
        }
        if let Some(until) = self.wait {
            if now < until {
                return Step::Wait(until.min(self.deadline));
            }
            self.wait = None;
        }
        let swap = |key, expected, value| Call::Swap {
            key,
            expected,
            value,
            lease: self.lease,
        };
        Step::Call(match self.version {
            None => Call::Get {
                key: self.key.clone(),
            },
            Some(_) if self.written < self.parts.len() => swap(
                codec::part_key(&self.key, &self.record, self.written),
                0,
                self.parts[self.written].clone(),
            ),
            Some(version) => swap(self.key.clone(), version, encode(&self.record)),
        })
    }

    fn take(&mut self, now: Instant, reply: Reply) {
        match reply {
            Reply::Conflict(version) if self.settles => {
                self.min_version = version;
                self.version = None;
            }
            Reply::Swapped(_) | Reply::Conflict(_) => {
                if self.written < self.parts.len() {
                    self.written += 1;
                } else {
                    self.done = true;
                }
            }
            Reply::Value(value) => self.settle(now, value.as_ref()),
            Reply::Refused | Reply::Lost => self.pause(now),
        }
    }
}
