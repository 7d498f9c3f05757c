//! A backend server, what is to be placed on one, and the best so far.

use std::collections::BTreeSet;

use fescuerack_config::key;

use super::health::Health;
use super::score::{Recent, Report};
use crate::clock::Instant;
use crate::num::Mean;

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Takes new work.
    Live,
    /// Finishes its work and takes no more.
    Leaving,
}

/// A backend server as the instance list describes it.
#[derive(Clone, Debug)]
pub struct Listed {
    /// Identifier in the instance list.
    pub id: String,
    /// Fleet that it belongs to.
    pub fleet: key::Fleet,
    /// Availability zone.
    pub zone: String,
    /// Address, as `host:port`.
    pub address: String,
    /// Whether it takes new work.
    pub state: State,
    /// Requests that it runs at a time.
    pub slots: u32,
}

/// A backend server and what this instance knows of it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Identifier in the instance list.
    pub id: String,
    /// Fleet that it belongs to.
    pub fleet: key::Fleet,
    /// Availability zone.
    pub zone: String,
    /// Address, as `host:port`.
    pub address: String,
    /// Whether it takes new work.
    pub state: State,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Attempts of this instance that run on it.
    pub in_flight: u32,
    /// Work of these attempts, in tokens.
    pub work: u64,
    /// Whether it is trusted with work.
    pub health: Health,
    /// Seconds to the first token, or to the answer of a plain service.
    pub first_token: Mean,
    pub(super) near: bool,
    pub(super) joined: Option<Instant>,
    pub(super) unanswered: u32,
    pub(super) progress: Instant,
    pub(super) sampled: Instant,
    pub(super) report: Option<Report>,
    pub(super) recent: Recent,
}

impl Server {
    /// Creates a server that was listed for the first time; `joined` is when
    /// it joined a pool that this instance already knew.
    pub(super) fn new(now: Instant, listed: Listed, near: bool, joined: Option<Instant>) -> Self {
        Self {
            id: listed.id,
            fleet: listed.fleet,
            zone: listed.zone,
            address: listed.address,
            state: listed.state,
            slots: listed.slots,
            in_flight: 0,
            work: 0,
            health: Health::new(),
            first_token: Mean::default(),
            near,
            joined,
            unanswered: 0,
            progress: now,
            sampled: now,
            report: None,
            recent: Recent::default(),
        }
    }

    /// Takes over a later line of the list.
    pub(super) fn update(&mut self, now: Instant, listed: Listed, near: bool) {
        if self.state == State::Leaving && listed.state == State::Live {
            self.joined = Some(now);
        }
        self.near = near;
        self.address = listed.address;
        self.zone = listed.zone;
        self.fleet = listed.fleet;
        self.state = listed.state;
        self.slots = listed.slots;
    }
}

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Fleets that can run it.
    pub fleets: &'a [key::Fleet],
    /// Servers that it must not run on.
    pub avoid: &'a BTreeSet<key::Server>,
    /// Its work in tokens; 1 for a call of a plain service.
    pub work: u32,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Hash of the prompt's beginning, when it is long enough to be cached.
    pub prefix: Option<u64>,
    /// Hash of the adapter that it needs.
    pub adapter: Option<u64>,
}

/// How an attempt ended, as far as the choice of servers is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server did its part.
    Success,
    /// The server failed, broke off or refused.
    Failure,
    /// It says nothing about the server.
    Ignored,
}

/// The server of least cost so far; equal costs are decided at random, so that
/// instances do not agree on the same server.
#[derive(Debug, Default)]
pub(super) struct Best {
    pub(super) server: Option<key::Server>,
    cost: f64,
    rank: f64,
}

impl Best {
    /// Considers a server.
    pub(super) fn offer(&mut self, server: key::Server, cost: f64, rank: f64) {
        let better = self.server.is_none() || (cost, rank) < (self.cost, self.rank);
        if better {
            *self = Self {
                server: Some(server),
                cost,
                rank,
            };
        }
    }
}
