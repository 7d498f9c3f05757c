//! Recording how a claimed request ended.
//!
//! The record moves from running to its end by a swap that names the version
//! of the claim. Nobody else changes a running claim, so a conflict means that
//! an earlier try of ours took effect and its answer was lost. While the store
//! is out the record stays running and counts as unknown after its deadline,
//! which is true.
//!
//! A claim that was given up without an answer from the store is settled as
//! not run ([`Recording::with_unconfirmed`]), so that the sender may try again. Its
//! swap may still be under way. Settling therefore never waits to see it: it
//! writes "not run" over whatever that swap expects, after which it can only
//! meet a conflict.

use bytes::Bytes;

use super::codec::{self, encode};
use super::{Claim, Name, Record, State};
use crate::clock::Instant;
use crate::store::{Backoff, Call, Machine, Reply, Step, Value};

/// The protocol; its output says whether the end is surely recorded.
#[derive(Clone, Debug)]
pub struct Recording {
    key: String,
    lease: Option<u64>,
    record: Record,
    /// Version that the record's swap expects; none while it has to be read.
    version: Option<u64>,
    /// Whether the claim is being settled, and not known to stand.
    settles: bool,
    at_least: u64,
    parts: Vec<Bytes>,
    written: usize,
    done: bool,
    deadline: Instant,
    wait: Option<Instant>,
    backoff: Backoff,
}

impl Recording {
    /// Prepares to record `state`, trying until `deadline`.
    #[must_use]
    pub fn new(claim: &Claim, state: State, deadline: Instant) -> Self {
        let record = claim.record.transition(state);
        Self {
            key: claim.key.clone(),
            lease: claim.lease,
            parts: codec::parts(&record),
            version: Some(claim.version),
            settles: false,
            at_least: 0,
            written: 0,
            done: false,
            deadline,
            wait: None,
            backoff: Backoff::new(record.nonce),
            record,
        }
    }

    /// Prepares to settle, as not run, a claim whose taker `nonce` gave up
    /// without sending and without knowing whether it stands.
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
            // The conflict names the version that stands, if one does.
            version: Some(0),
            settles: true,
            at_least: 0,
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

    /// Looks at the record while settling: where ours may stand or yet arrive,
    /// it is written over; where it cannot, nothing is left to do.
    fn settle(&mut self, now: Instant, value: Option<&Value>) {
        let version = value.map_or(0, |value| value.version);
        if version < self.at_least {
            return self.pause(now);
        }
        let found = value.and_then(|value| codec::decode(&value.bytes));
        let is_over = match (value, found) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(_), Some(found)) => {
                let ours = found.record.nonce == self.record.nonce;
                match found.record.state {
                    State::NotRun => ours,
                    State::Running => !ours,
                    State::Done(_) | State::Unknown => true,
                }
            }
        };
        if is_over {
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
                self.at_least = version;
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
