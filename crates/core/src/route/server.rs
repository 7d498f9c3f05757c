//! A backend server, a request for one, and the selection of the cheapest.

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
    /// The server takes new work.
    Live,
    /// The server finishes its work and takes no more.
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

/// A backend server and its state at this instance.
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
    /// Attempts of this instance that run on the server.
    pub in_flight: u32,
    /// Work of these attempts, in tokens.
    pub work: u64,
    /// Whether the server is trusted, ejected or on probation.
    pub health: Health,
    /// Seconds to the first token, or to the answer of a plain service.
    pub first_token: Mean,
    pub(super) is_local_zone: bool,
    pub(super) joined_at: Option<Instant>,
    pub(super) unanswered: u32,
    pub(super) progress_at: Instant,
    pub(super) sampled_at: Instant,
    pub(super) report: Option<Report>,
    pub(super) recent: Recent,
}

impl Server {
    /// Creates a server that is listed for the first time. `joined` is when it joined, if this
    /// instance already had servers then.
    pub(super) fn new(
        now: Instant,
        listed: Listed,
        is_local_zone: bool,
        joined_at: Option<Instant>,
    ) -> Self {
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
            is_local_zone,
            joined_at,
            unanswered: 0,
            progress_at: now,
            sampled_at: now,
            report: None,
            recent: Recent::default(),
        }
    }

    /// Applies a later entry of the instance list.
    pub(super) fn update(&mut self, now: Instant, listed: Listed, is_local_zone: bool) {
        if self.state == State::Leaving && listed.state == State::Live {
            self.joined_at = Some(now);
        }
        self.is_local_zone = is_local_zone;
        self.address = listed.address;
        self.zone = listed.zone;
        self.fleet = listed.fleet;
        self.state = listed.state;
        self.slots = listed.slots;
    }
}

/// A request for which a server is to be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Fleets that can run the request.
    pub fleets: &'a [key::Fleet],
    /// Servers that the request must not run on.
    pub avoid: &'a BTreeSet<key::Server>,
    /// Work in tokens; 1 for a call of a plain service.
    pub work: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Hash of the start of the prompt, if it is long enough to be cached.
    pub prefix: Option<u64>,
    /// Hash of the adapter that the request needs.
    pub adapter: Option<u64>,
}

/// Outcome of an attempt, as evidence about the health of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered.
    Success,
    /// The server failed, broke the connection or refused.
    Failure,
    /// The outcome says nothing about the server.
    Ignored,
}

/// The server with the lowest cost so far. Ties are broken at random, so that instances do not all
/// choose the same server.
#[derive(Debug, Default)]
pub(super) struct Cheapest {
    pub(super) server: Option<key::Server>,
    cost: f64,
    tie_break: f64,
}

impl Cheapest {
    /// Considers a server.
    pub(super) fn offer(&mut self, server: key::Server, cost: f64, tie_break: f64) {
        let cheaper = self.server.is_none() || (cost, tie_break) < (self.cost, self.tie_break);
        if cheaper {
            *self = Self {
                server: Some(server),
                cost,
                tie_break,
            };
        }
    }
}
