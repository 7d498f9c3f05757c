//! The protocol that acquires a claim.
//!
//! It handles these failures:
//!
//! - The answer to the swap is lost. The record is read back; if it carries the nonce of this
//!   attempt, the swap took effect. Otherwise the same swap is repeated; if the first one arrives
//!   late, one of the two gets a conflict.
//! - A read is stale. A conflict returns the current version, and a read below that version is
//!   discarded: a verdict is only derived from a record at least as new as the last conflict.
//! - Two senders acquire a claim that was not run. The swap expects the version of that record, so
//!   one of them succeeds.
//! - The process is paused between the claim and the send. [`Outcome::Claimed`] is only returned
//!   before the deadline, and the holder of the [`super::Claim`] checks the deadline again right
//!   before it sends.

use bytes::Bytes;

use super::codec::{self, Decoded};
use super::{Answer, Claim, Name, Record, State, Verdict, verdict_for};
use crate::clock::Instant;
use crate::store::{Backoff, Call, Machine, Reply, Step, Value};

/// The result of an attempt to acquire a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// This process may run the request.
    Claimed(Claim),
    /// The key is already claimed; the sender gets this verdict.
    Taken(Verdict),
    /// The claim was not acquired before the deadline, usually because the store was unavailable;
    /// nothing was sent.
    StoreUnavailable {
        /// Whether a record of this attempt may exist or still appear. If so, the caller should
        /// settle it as not run, so that the sender may try again.
        may_be_held: bool,
    },
}

#[derive(Clone, Debug)]
enum Phase {
    Swap {
        expected: u64,
    },
    Read,
    Parts {
        decoded: Box<Decoded>,
        body: Vec<Bytes>,
    },
    Done(Outcome),
}

/// The state machine of the protocol.
#[derive(Clone, Debug)]
pub struct Claiming {
    name: Name,
    record: Record,
    lease: Option<u64>,
    phase: Phase,
    /// Lowest version of a read that is not stale, as returned by the last conflict. It is 0 before
    /// the first conflict, after the answer to a swap was lost and after a read was discarded.
    min_version: u64,
    /// Whether the answer to a swap was lost.
    is_swap_lost: bool,
    /// End of the current pause.
    wait: Option<Instant>,
    backoff: Backoff,
}

impl Claiming {
    /// Creates the protocol that claims `name` for a request that ends by `deadline` on the wall
    /// clock; `nonce` must differ for every attempt.
    #[must_use]
    pub fn new(name: Name, nonce: u64, deadline: Instant, lease: Option<u64>) -> Self {
        let record = Record {
            digest: name.digest.clone(),
            nonce,
            deadline,
            state: State::Running,
        };
        Self {
            name,
            record,
            lease,
            phase: Phase::Swap { expected: 0 },
            min_version: 0,
            is_swap_lost: false,
            wait: None,
            backoff: Backoff::new(nonce),
        }
    }

    /// Returns the final phase of a claim whose record has `version`.
    fn held(&self, version: u64) -> Phase {
        Phase::Done(Outcome::Claimed(Claim {
            key: self.name.key.clone(),
            version,
            record: self.record.clone(),
            lease: self.lease,
        }))
    }

    fn read(&mut self, now: Instant, value: Option<Value>) {
        let Some(value) = value.filter(|value| value.version >= self.min_version) else {
            // The record is absent or the read is stale; a swap distinguishes the two. After a
            // conflict, it waits first, since the swap would only conflict again.
            if self.min_version > 0 {
                self.min_version = 0;
                self.pause(now);
            }
            self.phase = Phase::Swap { expected: 0 };
            return;
        };
        let Some(decoded) = codec::decode(&value.bytes) else {
            // A claim that cannot be decoded may have run, so it must not run again.
            self.phase = Phase::Done(Outcome::Taken(Verdict::Unknown));
            return;
        };
        let found = &decoded.record;
        if found.nonce == self.record.nonce && found.state == State::Running {
            self.phase = self.held(value.version);
            return;
        }
        if self.min_version == 0 {
            // Read back after a lost answer, so possibly stale. The next conflict returns the
            // current version.
            self.phase = Phase::Swap { expected: 0 };
            return;
        }
        self.phase = match verdict_for(found, &self.name.digest, now) {
            Verdict::Reclaim => Phase::Swap {
                expected: value.version,
            },
            Verdict::Replay(..) if decoded.parts > 0 => Phase::Parts {
                decoded: Box::new(decoded),
                body: Vec::new(),
            },
            verdict => Phase::Done(Outcome::Taken(verdict)),
        };
    }

    /// Appends a part of the recorded body; the last one completes the answer. An absent part is
    /// read again after a pause.
    fn part(&mut self, now: Instant, value: Option<Value>) {
        let Some(value) = value else {
            return self.pause(now);
        };
        let Phase::Parts { decoded, body } = &mut self.phase else {
            return;
        };
        body.push(value.bytes);
        if body.len() < decoded.parts {
            return;
        }
        let body = Bytes::from(body.concat());
        let billing_id = decoded.record.billing_id();
        if let State::Done(answer) = &decoded.record.state {
            let answer = Answer {
                body,
                ..answer.clone()
            };
            let verdict = Verdict::Replay(answer, billing_id);
            self.phase = Phase::Done(Outcome::Taken(verdict));
        }
    }

    fn pause(&mut self, now: Instant) {
        self.wait = Some(self.backoff.next(now));
    }

    /// Returns the outcome at the deadline.
    fn expired(&self) -> Outcome {
        if let Phase::Parts { .. } = self.phase {
            return Outcome::Taken(Verdict::Unknown);
        }
        let held = matches!(self.phase, Phase::Done(Outcome::Claimed(_)));
        Outcome::StoreUnavailable {
            may_be_held: held || self.is_swap_lost,
        }
    }
}

impl Machine for Claiming {
    type Output = Outcome;

    fn step(&mut self, now: Instant) -> Step<Outcome> {
        if let Phase::Done(outcome) = &self.phase {
            let is_late = matches!(outcome, Outcome::Claimed(_)) && now >= self.record.deadline;
            return Step::Done(if is_late {
                self.expired()
            } else {
                outcome.clone()
            });
        }
        if now >= self.record.deadline {
            return Step::Done(self.expired());
        }
        if let Some(until) = self.wait {
            if now < until {
                return Step::Wait(until.min(self.record.deadline));
            }
            self.wait = None;
        }
        let key = self.name.key.clone();
        Step::Call(match &self.phase {
            Phase::Swap { expected } => Call::Swap {
                key,
                expected: *expected,
                value: codec::encode(&self.record),
                lease: self.lease,
            },
            Phase::Parts { decoded, body } => Call::Get {
                key: codec::part_key(&key, &decoded.record, body.len()),
            },
            Phase::Read | Phase::Done(_) => Call::Get { key },
        })
    }

    fn take(&mut self, now: Instant, reply: Reply) {
        match reply {
            Reply::Swapped(version) => self.phase = self.held(version),
            Reply::Conflict(version) => {
                self.min_version = version;
                // Version 0: the record is absent although a version was expected, because it has
                // expired with its lease.
                if version == 0 {
                    self.phase = Phase::Swap { expected: 0 };
                    self.pause(now);
                } else {
                    self.phase = Phase::Read;
                }
            }
            Reply::Value(value) => {
                if matches!(self.phase, Phase::Parts { .. }) {
                    self.part(now, value);
                } else {
                    self.read(now, value);
                }
            }
            Reply::Refused => self.pause(now),
            Reply::Lost => {
                if matches!(self.phase, Phase::Swap { .. }) {
                    self.is_swap_lost = true;
                    self.min_version = 0;
                    self.phase = Phase::Read;
                }
                self.pause(now);
            }
        }
    }
}
