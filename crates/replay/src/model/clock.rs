//! What happens when.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use fescuerack_core::clock::Instant;

/// Something that happens. Numbers are positions of streams, requests, nodes
/// or machines; an attempt's number tells whether an event is still of use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// The next request of a stream arrives.
    Arrive(usize),
    /// A request that was turned away comes back.
    Enter(usize),
    /// Someone who waits at a node can no longer finish.
    Expire(usize),
    /// A request's next attempt is sent.
    Send(usize),
    /// The first token of an attempt comes.
    First(usize, u32),
    /// An attempt ends.
    Done(usize, u32),
    /// An attempt breaks.
    Broken(usize, u32),
    /// A fault begins or ends.
    Fault(usize, bool),
    /// The instance list changes.
    List,
    /// Nodes take note of the time.
    Tick,
    /// Servers report their load.
    Report,
    /// A server's report of its work and requests arrives.
    Read(usize, u64, u32),
}

/// Events in the order of time, and of planning at the same time.
#[derive(Debug, Default)]
pub struct Agenda {
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    planned: u64,
}

impl Agenda {
    /// Plans an event.
    pub fn add(&mut self, at: Instant, event: Event) {
        self.planned += 1;
        self.events.push(Reverse((at, self.planned, event)));
    }

    /// Returns the next event.
    pub fn next(&mut self) -> Option<(Instant, Event)> {
        let Reverse((at, _, event)) = self.events.pop()?;
        Some((at, event))
    }
}
