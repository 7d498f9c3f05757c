//! The exchange of messages between instances, without its network.

use std::collections::BTreeMap;

use rand::Rng;
use serde_json::Value;
use thiserror::Error;

use super::message::{Message, OLDEST_PROTOCOL, PROTOCOL};
use super::replay_window::{ReplayWindow, is_timely};
use super::{DigestScheduler, Key, Replica, State, View};
use crate::clock::Instant;

/// Who this process is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name of the fleet.
    pub fleet: String,
    /// Name of the instance.
    pub id: String,
    /// Availability zone.
    pub zone: String,
    /// Address of the port for peers.
    pub address: String,
    /// Start of the process; a later start has a higher number.
    pub incarnation: u64,
}

/// The time, by both clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Time {
    /// Time since the start of the process.
    pub now: Instant,
    /// Wall-clock time, for what other instances read.
    pub wall: Instant,
}

/// What a message brings that is to be merged by the slices.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Payload {
    /// Sender.
    pub origin: String,
    /// Shared states, by slice.
    pub states: BTreeMap<String, Value>,
    /// Digests, by slice.
    pub digests: BTreeMap<String, Value>,
    /// Revision in force at the sender.
    pub revision: u64,
}

/// Why a message is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// Another fleet's message.
    #[error("message of another fleet")]
    Fleet,
    /// A version of the protocol that is not understood.
    #[error("protocol version is not understood")]
    Protocol,
    /// The sender's clock is too far from the own one.
    #[error("message is too old or its clock is wrong")]
    Time,
    /// The message was already received, or is of an earlier start.
    #[error("message was already received")]
    Replayed,
    /// An answer to another request than the one that was sent.
    #[error("answer to another request")]
    Mismatched,
}

/// The exchange of one process with its peers.
#[derive(Clone, Debug)]
pub struct Exchange {
    identity: Identity,
    sequence: u64,
    state: State,
    urgent: bool,
    window: ReplayWindow,
    scheduler: DigestScheduler,
    digests: BTreeMap<String, Value>,
    /// Instances of the fleet.
    pub view: View,
    /// Soft state that all instances should hold alike.
    pub replica: Replica,
}

impl Exchange {
    /// Milliseconds between two exchanges that an instance begins.
    pub const PERIOD_MS: u64 = 1_000;
    /// Peers that are told at once when shared state changes. Each of them
    /// does the same, so after a few hops nearly all know; the periodic
    /// exchanges reach the rest.
    pub const FANOUT: usize = 3;

    /// Creates the exchange of a process that knows no peer yet.
    #[must_use]
    pub fn new(identity: Identity) -> Self {
        Self {
            view: View::new(&identity.id, &identity.zone),
            replica: Replica::new(),
            sequence: 0,
            state: State::Live,
            urgent: false,
            window: ReplayWindow::new(),
            scheduler: DigestScheduler::new(),
            digests: BTreeMap::new(),
            identity,
        }
    }

    /// Sets the address of the port for peers, once it is bound.
    pub fn set_address(&mut self, address: String) {
        self.identity.address = address;
    }

    /// Says from now on that this process leaves.
    pub fn leave(&mut self) {
        self.state = State::Leaving;
        self.urgent = true;
    }

    /// Asks for exchanges at once, because a digest holds news that should not
    /// wait for its turn.
    pub fn mark_urgent(&mut self) {
        self.urgent = true;
    }

    /// Sets the digests that the next messages carry.
    pub fn set_digests(&mut self, digests: BTreeMap<String, Value>) {
        self.digests = digests;
    }

    /// Returns whether something must be told at once, and takes it as told:
    /// the caller begins [`Exchange::FANOUT`] exchanges.
    pub fn take_urgent(&mut self) -> bool {
        let changed = self.replica.take_urgent();
        std::mem::take(&mut self.urgent) || changed
    }

    /// Chooses a peer and returns the message that begins an exchange with it.
    pub fn begin<R: Rng>(
        &mut self,
        time: Time,
        revision: u64,
        rng: &mut R,
    ) -> Option<(Key, Message)> {
        let partner = self.view.choose_peer(time.now, rng)?;
        let mut message = self.message(time, revision);
        message.states = self.replica.recent_changes();
        Some((partner, message))
    }

    /// Returns a message that begins an exchange with a peer of the caller's
    /// choice, for an operator who asks what every instance has in force.
    pub fn begin_with(&mut self, time: Time, revision: u64) -> Message {
        self.message(time, revision)
    }

    /// Takes a request in.
    ///
    /// # Errors
    ///
    /// Why the request is refused; nothing of it is taken over.
    pub fn receive(&mut self, time: Time, request: Message) -> Result<Payload, Refusal> {
        self.check(time, &request)?;
        Ok(self.take_over(time, request))
    }

    /// Takes an answer in to the request with position `sequence`.
    ///
    /// # Errors
    ///
    /// Why the answer is refused; nothing of it is taken over.
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
        Ok(self.take_over(time, answer))
    }

    /// Returns the answer to a request whose input the slices have merged:
    /// `origin`, `sequence` and `hashes` are the request's.
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
            protocol: PROTOCOL,
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
            digests: self.scheduler.select(&self.digests),
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
        if *origin == self.identity.id || !self.window.accept(origin, *incarnation, *sequence) {
            return Err(Refusal::Replayed);
        }
        Ok(())
    }

    fn take_over(&mut self, time: Time, message: Message) -> Payload {
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

    /// Forgets positions of instances that the view no longer knows.
    pub fn forget(&mut self) {
        let view = &self.view;
        self.window.retain(|origin| view.find(origin).is_some());
    }
}
