//! Recording how a claimed request ended.
//!
//! The record moves from running to its end by a swap that names the version
//! of the claim. Nobody else changes a running claim, so a conflict means that
//! an earlier try of ours took effect and its answer was lost. While the store
//! is out the record stays running and counts as unknown after its deadline,
//! which is true.

use bytes::Bytes;

use super::codec::{self, encode};
use super::{Claim, Name, Record, State};
use crate::clock::Instant;
use crate::store::{Backoff, Call, Machine, Reply, Step};

/// The protocol; its output says whether the end is surely recorded.
#[derive(Clone, Debug)]
pub struct Recording {
    key: String,
    lease: Option<u64>,
    record: Record,
    /// Version of the running claim; none while it has to be read back.
    version: Option<u64>,
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
        let record = claim.record.next(state);
        Self {
            key: claim.key.clone(),
            lease: claim.lease,
            parts: codec::parts(&record),
            version: Some(claim.version),
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
    pub fn with_lost(name: Name, nonce: u64, lease: Option<u64>, deadline: Instant) -> Self {
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
            version: None,
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
            Reply::Swapped(_) | Reply::Conflict(_) => {
                if self.written < self.parts.len() {
                    self.written += 1;
                } else {
                    self.done = true;
                }
            }
            Reply::Value(value) => {
                let found = value.and_then(|value| {
                    let decoded = codec::decode(&value.bytes)?;
                    Some((value.version, decoded.record))
                });
                match found {
                    // Absent: the swap may yet arrive, or the read is old.
                    None => self.pause(now),
                    Some((version, found)) => {
                        let ours = found.nonce == self.record.nonce;
                        if ours && found.state == State::Running {
                            self.version = Some(version);
                        } else {
                            self.done = true;
                        }
                    }
                }
            }
            Reply::Refused | Reply::Lost => self.pause(now),
        }
    }
}
