//! Taking a claim.
//!
//! The failures that it answers, and how:
//!
//! - The answer to the swap is lost. The record is read back: one's own nonce
//!   says that the swap took effect. Otherwise the same swap is made again; if
//!   the first one arrives late, one of the two meets a conflict.
//! - A read is old. A conflict names the version that stands, and a read below
//!   it is not believed: a verdict is only given from a record that is at
//!   least as new as a conflict that was met.
//! - Two senders take over a claim that was not run. The swap names the
//!   version of that record, so one of them wins.
//! - The process is paused between the claim and the send. [`Outcome::Claimed`]
//!   is only given before the deadline, and [`super::Claim`]'s holder checks it
//!   again right before it sends.

use bytes::Bytes;

use super::codec::{self, Decoded};
use super::{Answer, Claim, Name, Record, State, Verdict, verdict_for};
use crate::clock::Instant;
use crate::store::{Backoff, Call, Machine, Reply, Step, Value};

/// What came of claiming.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// This process may run the request.
    Claimed(Claim),
    /// The sender gets this instead.
    Taken(Verdict),
    /// The store was out until the deadline; nothing was sent.
    StoreUnavailable {
        /// Whether a record of ours may stand all the same, or appear yet: it
        /// should be settled as not run, so that the sender may try again.
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

/// The protocol.
#[derive(Clone, Debug)]
pub struct Claiming {
    name: Name,
    record: Record,
    lease: Option<u64>,
    phase: Phase,
    at_least: u64,
    lost: bool,
    wait: Option<Instant>,
    backoff: Backoff,
}

impl Claiming {
    /// Prepares to take `name` for a run that ends by `deadline` on the wall
    /// clock; `nonce` differs for every attempt to claim.
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
            at_least: 0,
            lost: false,
            wait: None,
            backoff: Backoff::new(nonce),
        }
    }

    fn held(&self, version: u64) -> Phase {
        Phase::Done(Outcome::Claimed(Claim {
            key: self.name.key.clone(),
            version,
            record: self.record.clone(),
            lease: self.lease,
        }))
    }

    fn read(&mut self, now: Instant, value: Option<Value>) {
        let Some(value) = value.filter(|value| value.version >= self.at_least) else {
            // Absent, or an old read. A swap tells them apart; after a
            // conflict it waits first, since it would only meet another.
            if self.at_least > 0 {
                self.at_least = 0;
                self.pause(now);
            }
            self.phase = Phase::Swap { expected: 0 };
            return;
        };
        let Some(decoded) = codec::decode(&value.bytes) else {
            // Never run what cannot be read: it may have run.
            self.phase = Phase::Done(Outcome::Taken(Verdict::Unknown));
            return;
        };
        let found = &decoded.record;
        if found.nonce == self.record.nonce && found.state == State::Running {
            self.phase = self.held(value.version);
            return;
        }
        if self.at_least == 0 {
            // Read back after a lost answer: perhaps old. A conflict will name
            // the version that stands.
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
        let whole = Bytes::from(body.concat());
        let bill = decoded.record.billing_id();
        if let State::Done(answer) = &decoded.record.state {
            let answer = Answer {
                body: whole,
                ..answer.clone()
            };
            let verdict = Verdict::Replay(answer, bill);
            self.phase = Phase::Done(Outcome::Taken(verdict));
        }
    }

    fn pause(&mut self, now: Instant) {
        self.wait = Some(self.backoff.next(now));
    }

    fn out(&self) -> Outcome {
        if let Phase::Parts { .. } = self.phase {
            return Outcome::Taken(Verdict::Unknown);
        }
        let held = matches!(self.phase, Phase::Done(Outcome::Claimed(_)));
        Outcome::StoreUnavailable {
            may_be_held: held || self.lost,
        }
    }
}

impl Machine for Claiming {
    type Output = Outcome;

    fn step(&mut self, now: Instant) -> Step<Outcome> {
        if let Phase::Done(outcome) = &self.phase {
            let late = matches!(outcome, Outcome::Claimed(_)) && now >= self.record.deadline;
            return Step::Done(if late { self.out() } else { outcome.clone() });
        }
        if now >= self.record.deadline {
            return Step::Done(self.out());
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
                self.at_least = version;
                // Version 0: absent although another version was expected. The
                // earlier record has vanished with its lease.
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
                    self.lost = true;
                    self.at_least = 0;
                    self.phase = Phase::Read;
                }
                self.pause(now);
            }
        }
    }
}
