//! Weighted fair queueing between organisations and, within one, by priority
//! and then between callers.
//!
//! This handles the load where a few organisations, or a few sessions of one organisation, send
//! most of the requests. In order of arrival they would take the capacity in proportion to what
//! they send, and the parents of a small municipality would wait behind the batch of a large one.
//!
//! Organisations are served in the order of their start tags (start-time fair queueing). Serving
//! a request advances the tag of its organisation by the inverse of its weight. An organisation
//! that was idle starts at the current tag, so that it is served next but cannot accumulate
//! credit for a burst. Priority orders requests *within* an organisation only: if it were compared
//! between organisations, one of them could take all capacity by marking its work urgent. Callers
//! with the same organisation and priority take turns in the same way.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use fescuerack_config::key;
use slotmap::SecondaryMap;

use super::Ticket;
use crate::num::float;

/// The organisation, priority and caller that a request is queued under.
#[derive(Clone, Copy, Debug)]
pub struct Flow {
    /// Organisation that is billed.
    pub organisation: key::Organisation,
    /// Its weight, at least 1.
    pub weight: u32,
    /// Priority; lower numbers go first.
    pub priority: u8,
    /// Hash of the session, by which callers are distinguished.
    pub caller: u64,
}

/// Distance by which serving one request advances the tag of an organisation of weight 1. It is
/// large so that dividing it by a weight loses little precision.
const TAG_STEP: u64 = 1 << 20;

/// One flow in [`Turns`].
#[derive(Clone, Copy, Debug, Default)]
struct Turn {
    tag: u64,
    weight: u32,
    waiting: usize,
}

/// Start-time fair queueing between flows, each given by its key and weight.
#[derive(Clone, Debug)]
pub struct Turns<K> {
    current_tag: u64,
    total_weight: u64,
    waiting: usize,
    flows: BTreeMap<K, Turn>,
    order: BTreeSet<(u64, K)>,
}

impl<K> Default for Turns<K> {
    fn default() -> Self {
        Self {
            current_tag: 0,
            total_weight: 0,
            waiting: 0,
            flows: BTreeMap::new(),
            order: BTreeSet::new(),
        }
    }
}

impl<K: Copy + Ord> Turns<K> {
    /// Counts a request of a flow as waiting.
    pub fn push(&mut self, key: K, weight: u32) {
        let flow = self.flows.entry(key).or_default();
        if flow.waiting == 0 {
            flow.weight = weight.max(1);
            flow.tag = flow.tag.max(self.current_tag);
            self.order.insert((flow.tag, key));
            self.total_weight += u64::from(flow.weight);
        }
        flow.waiting += 1;
        self.waiting += 1;
    }

    /// Charges a flow for a request that runs without waiting.
    pub fn charge(&mut self, key: K, weight: u32) {
        let flow = self.flows.entry(key).or_default();
        let before = flow.tag;
        let start = before.max(self.current_tag);
        flow.tag = start + TAG_STEP / u64::from(weight.max(1));
        if flow.waiting > 0 {
            self.order.remove(&(before, key));
            self.order.insert((flow.tag, key));
        }
        self.current_tag = self.current_tag.max(start);
    }

    /// Returns the flow that is served next.
    #[must_use]
    pub fn first(&self) -> Option<K> {
        self.order.first().map(|(_, key)| *key)
    }

    /// Counts a waiting request of a flow as served.
    pub fn serve(&mut self, key: K) {
        let Some(flow) = self.flows.get_mut(&key).filter(|flow| flow.waiting > 0) else {
            return;
        };
        self.order.remove(&(flow.tag, key));
        self.current_tag = self.current_tag.max(flow.tag);
        flow.tag += TAG_STEP / u64::from(flow.weight);
        self.order.insert((flow.tag, key));
        self.remove(key);
    }

    /// Counts a waiting request of a flow as gone without service.
    pub fn remove(&mut self, key: K) {
        let Some(flow) = self.flows.get_mut(&key).filter(|flow| flow.waiting > 0) else {
            return;
        };
        flow.waiting -= 1;
        self.waiting -= 1;
        if flow.waiting == 0 {
            self.order.remove(&(flow.tag, key));
            self.total_weight -= u64::from(flow.weight);
        }
    }

    /// Returns the share of service that a flow gets among those with waiting requests.
    #[must_use]
    pub fn share(&self, key: K, weight: u32) -> f64 {
        let weight = u64::from(weight.max(1));
        let all = if self.waiting(key) > 0 {
            self.total_weight
        } else {
            self.total_weight + weight
        };
        float(usize::try_from(weight).unwrap_or(usize::MAX))
            / float(usize::try_from(all).unwrap_or(usize::MAX)).max(1.0)
    }

    /// Returns the number of waiting requests of a flow.
    #[must_use]
    pub fn waiting(&self, key: K) -> usize {
        self.flows.get(&key).map_or(0, |flow| flow.waiting)
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.waiting
    }

    /// Returns whether no request waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.waiting == 0
    }
}

#[derive(Clone, Debug, Default)]
struct PriorityLevel {
    waiting: usize,
    current_tag: u64,
    callers: BTreeMap<u64, Caller>,
    /// Callers by tag; among equal tags, the one whose request has waited longest goes first.
    order: BTreeSet<(u64, Ticket, u64)>,
}

#[derive(Clone, Debug, Default)]
struct Caller {
    tag: u64,
    tickets: VecDeque<Ticket>,
}

/// Queue that is fair between organisations and between callers.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    turns: Turns<key::Organisation>,
    organisations: SecondaryMap<key::Organisation, BTreeMap<u8, PriorityLevel>>,
}

impl FairQueue {
    /// Adds a request.
    pub fn push(&mut self, flow: Flow, ticket: Ticket) {
        self.turns.push(flow.organisation, flow.weight);
        if !self.organisations.contains_key(flow.organisation) {
            self.organisations
                .insert(flow.organisation, BTreeMap::new());
        }
        let levels = &mut self.organisations[flow.organisation];
        let level = levels.entry(flow.priority).or_default();
        level.push(flow.caller, ticket);
    }

    /// Charges an organisation for a request that runs without waiting.
    pub fn charge(&mut self, flow: Flow) {
        self.turns.charge(flow.organisation, flow.weight);
    }

    /// Removes and returns the request that is served next.
    pub fn pop(&mut self) -> Option<Ticket> {
        let key = self.turns.first()?;
        self.turns.serve(key);
        let mut first = self.organisations.get_mut(key)?.first_entry()?;
        let ticket = first.get_mut().pop();
        if first.get().waiting == 0 {
            first.remove();
        }
        ticket
    }

    /// Removes a request; returns `false` if it is not queued.
    pub fn remove(&mut self, flow: Flow, ticket: Ticket) -> bool {
        let Some(levels) = self.organisations.get_mut(flow.organisation) else {
            return false;
        };
        let Some(level) = levels.get_mut(&flow.priority) else {
            return false;
        };
        if !level.remove(flow.caller, ticket) {
            return false;
        }
        if level.waiting == 0 {
            levels.remove(&flow.priority);
        }
        self.turns.remove(flow.organisation);
        true
    }

    /// Returns the share of service that the organisation of a request gets among the
    /// organisations with waiting requests.
    #[must_use]
    pub fn share(&self, flow: Flow) -> f64 {
        self.turns.share(flow.organisation, flow.weight)
    }

    /// Returns how many requests of the same organisation are served before a new one.
    #[must_use]
    pub fn ahead(&self, flow: Flow) -> usize {
        self.organisations
            .get(flow.organisation)
            .map_or(0, |levels| {
                let before = levels.range(..flow.priority);
                let before: usize = before.map(|(_, level)| level.waiting).sum();
                let level = levels.get(&flow.priority);
                before + level.map_or(0, |level| level.ahead(flow.caller))
            })
    }

    /// Returns the number of waiting requests of an organisation.
    #[must_use]
    pub fn waiting(&self, organisation: key::Organisation) -> usize {
        self.turns.waiting(organisation)
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.turns.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }
}

impl PriorityLevel {
    fn push(&mut self, key: u64, ticket: Ticket) {
        let current_tag = self.current_tag;
        let caller = self.callers.entry(key).or_insert_with(|| Caller {
            tag: current_tag,
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
        self.current_tag = self.current_tag.max(tag);
        let caller = self.callers.get_mut(&key)?;
        caller.tickets.pop_front();
        caller.tag = tag + 1;
        // A caller without waiting requests is removed: there may be millions of sessions, and its
        // next request starts at the current tag anyway.
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

    /// Returns how many requests are served before the next one of a caller: its own, and as many
    /// of each other caller, since callers take turns.
    fn ahead(&self, key: u64) -> usize {
        let own = self
            .callers
            .get(&key)
            .map_or(0, |caller| caller.tickets.len());
        let others = self.callers.len();
        (own + own.saturating_mul(others) + others).min(self.waiting)
    }
}
