//! Weighted fair queueing between organisations and, within one, by priority
//! and then between callers.
//!
//! The pattern: a few organisations, or a few sessions of one, send most of
//! the load. Served in order of arrival they take the capacity in proportion
//! to what they send, and a small municipality's parents wait behind a large
//! one's batch.
//!
//! Organisations are served in the order of start tags (start-time fair
//! queueing): serving one moves its tag by the inverse of its weight, and an
//! organisation that was idle starts at the present tag, so that it is served
//! next but cannot save up for a burst. Priority orders work *within* an
//! organisation only: were it compared between organisations, one could take
//! all capacity by calling its work urgent. Callers of one organisation and
//! priority take turns in the same way.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use fescuerack_config::key;
use slotmap::SecondaryMap;

use super::Ticket;
use crate::num::float;

/// Whose turn a request waits for.
#[derive(Clone, Copy, Debug)]
pub struct Flow {
    /// Who pays.
    pub organisation: key::Organisation,
    /// Its weight, at least 1.
    pub weight: u32,
    /// Priority; a lower number goes first.
    pub priority: u8,
    /// Hash of the session or caller.
    pub caller: u64,
}

/// Distance by which serving one request moves the tag of an organisation of
/// weight 1; large, so that integer division keeps weights exact enough.
const UNIT: u64 = 1 << 20;

#[derive(Clone, Debug, Default)]
struct Organisation {
    tag: u64,
    weight: u32,
    waiting: usize,
    levels: BTreeMap<u8, Level>,
}

#[derive(Clone, Debug, Default)]
struct Level {
    waiting: usize,
    turn: u64,
    callers: BTreeMap<u64, Caller>,
    /// By tag; among equal ones, who has waited longest goes first.
    order: BTreeSet<(u64, Ticket, u64)>,
}

#[derive(Clone, Debug, Default)]
struct Caller {
    tag: u64,
    tickets: VecDeque<Ticket>,
}

/// A queue that is fair between organisations and between callers.
#[derive(Clone, Debug, Default)]
pub struct Fair {
    turn: u64,
    weight: u64,
    waiting: usize,
    organisations: SecondaryMap<key::Organisation, Organisation>,
    order: BTreeSet<(u64, key::Organisation)>,
}

impl Fair {
    /// Adds a request.
    pub fn push(&mut self, flow: Flow, ticket: Ticket) {
        let organisation = entry(&mut self.organisations, flow);
        if organisation.waiting == 0 {
            organisation.weight = flow.weight;
            organisation.tag = organisation.tag.max(self.turn);
            self.order.insert((organisation.tag, flow.organisation));
            self.weight += u64::from(flow.weight);
        }
        organisation.waiting += 1;
        self.waiting += 1;
        let level = organisation.levels.entry(flow.priority).or_default();
        level.push(flow.caller, ticket);
    }

    /// Counts a request that was let in without waiting.
    pub fn charge(&mut self, flow: Flow) {
        let organisation = entry(&mut self.organisations, flow);
        let start = organisation.tag.max(self.turn);
        organisation.tag = start + UNIT / u64::from(flow.weight);
        self.turn = self.turn.max(start);
    }

    /// Takes out the request whose turn it is.
    pub fn pop(&mut self) -> Option<Ticket> {
        let (tag, key) = self.order.pop_first()?;
        self.turn = self.turn.max(tag);
        let organisation = &mut self.organisations[key];
        organisation.tag = tag + UNIT / u64::from(organisation.weight);
        let mut first = organisation.levels.first_entry()?;
        let ticket = first.get_mut().pop();
        if first.get().waiting == 0 {
            first.remove();
        }
        organisation.waiting -= 1;
        self.waiting -= 1;
        if organisation.waiting > 0 {
            self.order.insert((organisation.tag, key));
        } else {
            self.weight -= u64::from(organisation.weight);
        }
        ticket
    }

    /// Removes a request; `false` when it is not here.
    pub fn remove(&mut self, flow: Flow, ticket: Ticket) -> bool {
        let Some(organisation) = self.organisations.get_mut(flow.organisation) else {
            return false;
        };
        let Some(level) = organisation.levels.get_mut(&flow.priority) else {
            return false;
        };
        if !level.remove(flow.caller, ticket) {
            return false;
        }
        if level.waiting == 0 {
            organisation.levels.remove(&flow.priority);
        }
        organisation.waiting -= 1;
        self.waiting -= 1;
        if organisation.waiting == 0 {
            self.order.remove(&(organisation.tag, flow.organisation));
            self.weight -= u64::from(organisation.weight);
        }
        true
    }

    /// Returns the share of service that a request's organisation gets among
    /// those that wait.
    #[must_use]
    pub fn share(&self, flow: Flow) -> f64 {
        let counted = self.waiting(flow.organisation) > 0;
        let own = u64::from(flow.weight);
        let all = if counted {
            self.weight
        } else {
            self.weight + own
        };
        float(usize::try_from(own).unwrap_or(usize::MAX))
            / float(usize::try_from(all).unwrap_or(usize::MAX)).max(1.0)
    }

    /// Returns how many requests of the same organisation go before a new one.
    #[must_use]
    pub fn ahead(&self, flow: Flow) -> usize {
        self.organisations
            .get(flow.organisation)
            .map_or(0, |organisation| {
                let before = organisation.levels.range(..flow.priority);
                let before: usize = before.map(|(_, level)| level.waiting).sum();
                let level = organisation.levels.get(&flow.priority);
                before + level.map_or(0, |level| level.ahead(flow.caller))
            })
    }

    /// Returns how many requests of an organisation wait.
    #[must_use]
    pub fn waiting(&self, organisation: key::Organisation) -> usize {
        self.organisations
            .get(organisation)
            .map_or(0, |organisation| organisation.waiting)
    }

    /// Returns how many requests wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Returns whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }
}

fn entry(
    organisations: &mut SecondaryMap<key::Organisation, Organisation>,
    flow: Flow,
) -> &mut Organisation {
    if !organisations.contains_key(flow.organisation) {
        organisations.insert(flow.organisation, Organisation::default());
    }
    &mut organisations[flow.organisation]
}

impl Level {
    fn push(&mut self, key: u64, ticket: Ticket) {
        let turn = self.turn;
        let caller = self.callers.entry(key).or_insert_with(|| Caller {
            tag: turn,
            tickets: VecDeque::new(),
        });
        if caller.tickets.is_empty() {
            self.order.insert((caller.tag, ticket, key));
        }
        caller.tickets.push_back(ticket);
        self.waiting += 1;
    }

    fn pop(&mut self) -> Option<Ticket> {
        let (tag, ticket, key) = self.order.pop_first()?;
        self.turn = self.turn.max(tag);
        let caller = self.callers.get_mut(&key)?;
        caller.tickets.pop_front();
        caller.tag = tag + 1;
        // A caller with nothing left is forgotten: there may be millions of
        // sessions, and its next request starts at the present turn anyway.
        match caller.tickets.front() {
            None => {
                self.callers.remove(&key);
            }
            Some(next) => {
                self.order.insert((caller.tag, *next, key));
            }
        }
        self.waiting -= 1;
        Some(ticket)
    }

    fn remove(&mut self, key: u64, ticket: Ticket) -> bool {
        let Some(caller) = self.callers.get_mut(&key) else {
            return false;
        };
        let Some(at) = caller.tickets.iter().position(|other| *other == ticket) else {
            return false;
        };
        caller.tickets.remove(at);
        if at == 0 {
            self.order.remove(&(caller.tag, ticket, key));
            match caller.tickets.front() {
                None => {
                    self.callers.remove(&key);
                }
                Some(next) => {
                    self.order.insert((caller.tag, *next, key));
                }
            }
        }
        self.waiting -= 1;
        true
    }

    /// Requests that go before the next one of a caller: its own, and as many
    /// of each other caller, which take turns with it.
    fn ahead(&self, key: u64) -> usize {
        let own = self
            .callers
            .get(&key)
            .map_or(0, |caller| caller.tickets.len());
        let others = self.callers.len();
        (own + own.saturating_mul(others) + others).min(self.waiting)
    }
}
