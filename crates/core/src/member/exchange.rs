//! Protocol of the exchange of messages between instances, without network I/O.

use std::collections::BTreeMap;

use rand::Rng;
use serde_json::Value;
use thiserror::Error;

use super::message::{Message, OLDEST_PROTOCOL, PROTOCOL_VERSION};
use super::replay_window::{ReplayWindow, is_timely};
use super::{DigestScheduler, Key, Replica, State, View};
use crate::clock::Instant;

/// Identity of this process in the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name of the fleet.
    pub fleet: String,
    /// Name of the instance.
    pub id: String,
    /// Availability zone.
    pub zone: String,
    /// Address on which it accepts messages of peers.
    pub address: String,
    /// Incarnation: a later start of the process has a higher number.
    pub incarnation: u64,
}

/// Current time by both clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Time {
    /// Time since the start of the process.
    pub now: Instant,
    /// Wall-clock time, for timestamps that other instances read.
    pub wall: Instant,
}

/// Contents of a message that the slices merge.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Payload {
    /// Name of the sender.
    pub origin: String,
    /// Shared states, by slice.
    pub states: BTreeMap<String, Value>,
    /// Digests, by slice.
    pub digests: BTreeMap<String, Value>,
    /// Revision of the sender's active configuration.
    pub revision: u64,
}

/// Why a message is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The message is from another fleet.
    #[error("message of another fleet")]
    Fleet,
    /// The protocol version is too old.
    #[error("protocol version is not understood")]
    Protocol,
    /// The timestamp is too far from the local clock.
    #[error("message is too old or its clock is wrong")]
    Time,
    /// The message was already received, belongs to an earlier incarnation, or
    /// carries this process's own name.
    #[error("message was already received")]
    Replayed,
    /// The answer belongs to another request than the one that was sent.
    #[error("answer to another request")]
    Mismatched,
}

/// Exchange of one process with its peers.
#[derive(Clone, Debug)]
pub struct Exchange {
    identity: Identity,
    sequence: u64,
    state: State,
    is_urgent: bool,
    replay_window: ReplayWindow,
    digest_scheduler: DigestScheduler,
    digests: BTreeMap<String, Value>,
    /// Instances of the fleet.
    pub view: View,
    /// Soft state that all instances should share.
    pub replica: Replica,
}

impl Exchange {
    /// Milliseconds between two exchanges that an instance starts.
    pub const PERIOD_MS: u64 = 1_000;
    /// Number of peers with which exchanges start at once when shared state
    /// changes. Each of them does the same, so the change reaches nearly all
    /// instances after a few hops; the periodic exchanges reach the rest.
    pub const URGENT_EXCHANGES: usize = 3;

    /// Creates the exchange of a process without peers.
    #[must_use]
    pub fn new(identity: Identity) -> Self {
        Self {
            view: View::new(&identity.id, &identity.zone),
            replica: Replica::new(),
            sequence: 0,
            state: State::Live,
            is_urgent: false,
            replay_window: ReplayWindow::new(),
            digest_scheduler: DigestScheduler::new(),
            digests: BTreeMap::new(),
            identity,
        }
    }

    /// Sets the address on which this process accepts messages of peers, once
    /// the port is bound.
    pub fn set_address(&mut self, address: String) {
        self.identity.address = address;
    }

    /// Announces in all further messages that this process is leaving.
    pub fn leave(&mut self) {
        self.state = State::Leaving;
        self.is_urgent = true;
    }

    /// Requests exchanges at once, because a digest holds an update that should
    /// not wait for the next period.
    pub fn mark_urgent(&mut self) {
        self.is_urgent = true;
    }

    /// Sets the digests from which the next messages are filled.
    pub fn set_digests(&mut self, digests: BTreeMap<String, Value>) {
        self.digests = digests;
    }

    /// Returns whether there are updates that must be sent at once, and clears
    /// that mark: the caller starts [`Exchange::URGENT_EXCHANGES`] exchanges.
    pub fn take_urgent(&mut self) -> bool {
        let is_changed = self.replica.take_urgent();
        std::mem::take(&mut self.is_urgent) || is_changed
    }

    /// Chooses a peer and returns it with the message that starts an exchange.
    pub fn begin<R: Rng>(
        &mut self,
        time: Time,
        revision: u64,
        rng: &mut R,
    ) -> Option<(Key, Message)> {
        let peer = self.view.choose_peer(time.now, rng)?;
        let mut message = self.message(time, revision);
        message.states = self.replica.recent_changes();
        Some((peer, message))
    }

    /// Returns a message that starts an exchange with a peer that the caller
    /// chooses. It serves an operator's query for the active revision of every
    /// instance.
    pub fn begin_with(&mut self, time: Time, revision: u64) -> Message {
        self.message(time, revision)
    }

    /// Receives a request and returns its payload.
    ///
    /// # Errors
    ///
    /// Why the request is refused; nothing of it is applied then.
    pub fn receive(&mut self, time: Time, request: Message) -> Result<Payload, Refusal> {
        self.check(time, &request)?;
        Ok(self.record(time, request))
    }

    /// Receives the answer to the request with number `sequence` and returns
    /// its payload.
    ///
    /// # Errors
    ///
    /// Why the answer is refused; nothing of it is applied then.
    pub fn receive_answer(
        &mut self,
        time: Time,
        sequence: u64,
        answer: Message,
    ) -> Result<Payload, Refusal> {
        let expected = Some((self.identity.id.clone(), sequence));
        if answer.answers != expected {
            return Err(Refusal::Mismatched);
        }
        self.check(time, &answer)?;
        Ok(self.record(time, answer))
    }

    /// Returns the answer to a request whose payload the slices have merged.
    /// `request` is the sender and the sequence number of that request, and
    /// `hashes` are its hashes.
    pub fn answer(
        &mut self,
        time: Time,
        revision: u64,
        request: (String, u64),
        hashes: &BTreeMap<String, u64>,
    ) -> Message {
        let mut message = self.message(time, revision);
        message.answers = Some(request);
        message.states = self.replica.differing(hashes);
        message
    }

    fn message(&mut self, time: Time, revision: u64) -> Message {
        self.sequence += 1;
        Message {
            protocol: PROTOCOL_VERSION,
            fleet: self.identity.fleet.clone(),
            origin: self.identity.id.clone(),
            zone: self.identity.zone.clone(),
            address: self.identity.address.clone(),
            incarnation: self.identity.incarnation,
            sequence: self.sequence,
            answers: None,
            sent: time.wall,
            state: self.state,
            revision,
            hashes: self.replica.hashes(),
            states: BTreeMap::new(),
            digests: self.digest_scheduler.select(&self.digests),
        }
    }

    fn check(&mut self, time: Time, message: &Message) -> Result<(), Refusal> {
        if message.fleet != self.identity.fleet {
            return Err(Refusal::Fleet);
        }
        if message.protocol < OLDEST_PROTOCOL {
            return Err(Refusal::Protocol);
        }
        if !is_timely(message.sent, time.wall) {
            return Err(Refusal::Time);
        }
        let Message {
            origin,
            incarnation,
            sequence,
            ..
        } = message;
        if *origin == self.identity.id
            || !self.replay_window.accept(origin, *incarnation, *sequence)
        {
            return Err(Refusal::Replayed);
        }
        Ok(())
    }

    fn record(&mut self, time: Time, message: Message) -> Payload {
        self.view.record_message(
            time.now,
            &message.origin,
            &message.zone,
            &message.address,
            message.incarnation,
            message.state,
        );
        Payload {
            origin: message.origin,
            states: message.states,
            digests: message.digests,
            revision: message.revision,
        }
    }

    /// Drops replay records of instances that are no longer in the view.
    pub fn forget(&mut self) {
        let view = &self.view;
        self.replay_window
            .retain(|origin| view.find(origin).is_some());
    }
}
