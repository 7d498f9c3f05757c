//! Observations on requests that crash servers, until they are told to the owners of their keys.
//!
//! The end of a server breaks many runs at once, and each has several keys, so what one owner is to
//! be told is collected for a moment and sent as one message.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::crash::Observation;

/// Maximum number of observations that wait for one owner.
const MAX_WAITING: usize = 512;

/// Observations by the address of the owner.
#[derive(Debug, Default)]
pub struct Outbox(RefCell<BTreeMap<SocketAddr, Vec<Waiting>>>);

/// An observation, and since when it waits.
type Waiting = (Instant, Observation);

/// What has become of an observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Added {
    /// It is the first that waits, so the message is to be scheduled.
    First,
    /// It waits behind others.
    Behind,
    /// Too many wait; it is dropped.
    Dropped,
}

impl Outbox {
    /// Adds an observation for an owner.
    pub fn add(&self, now: Instant, owner: SocketAddr, observation: Observation) -> Added {
        let mut all = self.0.borrow_mut();
        let waiting = all.entry(owner).or_default();
        if waiting.len() >= MAX_WAITING {
            return Added::Dropped;
        }
        waiting.push((now, observation));
        if waiting.len() == 1 {
            Added::First
        } else {
            Added::Behind
        }
    }

    /// Takes what waits for an owner, with its age by now.
    pub fn take(&self, now: Instant, owner: SocketAddr) -> Vec<Observation> {
        let waiting = self.0.borrow_mut().remove(&owner).unwrap_or_default();
        let aged = |(since, observation): Waiting| observation.aged(now.millis_since(since));
        waiting.into_iter().map(aged).collect()
    }
}
