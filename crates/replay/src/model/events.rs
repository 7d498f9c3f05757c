//! Events of the simulation and their queue.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use fescuerack_core::clock::Instant;

/// An event of the simulation.
///
/// The `usize` fields are indices of streams, requests, nodes, faults or servers. The `u32` number of
/// an attempt shows whether the event is still valid: events of earlier attempts are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// The next request of a stream arrives.
    Arrive(usize),
    /// A refused request returns.
    Enter(usize),
    /// A request that waits at a node can no longer finish in time.
    Expire(usize),
    /// The next attempt of a request is sent.
    Send(usize),
    /// The first token of an attempt arrives.
    FirstToken(usize, u32),
    /// An attempt completes or reaches its deadline.
    Done(usize, u32),
    /// An attempt fails.
    Failed(usize, u32),
    /// A fault starts (`true`) or ends (`false`).
    Fault(usize, bool),
    /// The nodes receive a changed instance list.
    ListUpdate,
    /// The nodes run their periodic work.
    Tick,
    /// The servers send their load reports.
    Report,
    /// The load report of a server arrives with its work and its number of requests.
    ReportArrival(usize, u64, u32),
}

/// Queue of events, ordered by time. Events at the same time are in the order in which they were
/// scheduled.
#[derive(Debug, Default)]
pub struct EventQueue {
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    scheduled: u64,
}

impl EventQueue {
    /// Schedules an event.
    pub fn schedule(&mut self, at: Instant, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((at, self.scheduled, event)));
    }

    /// Removes and returns the next event.
    pub fn pop(&mut self) -> Option<(Instant, Event)> {
        let Reverse((at, _, event)) = self.events.pop()?;
        Some((at, event))
    }
}
