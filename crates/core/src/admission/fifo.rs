//! The baseline: first in, first out before a fixed number of places.
//!
//! It serves whoever came first, also when the answer can no longer be on
//! time; benches compare [`super::Control`] with it.

use std::collections::VecDeque;

use super::Ticket;
use crate::clock::Instant;

/// What happens to a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Runs at once.
    Run,
    /// Waits; the ticket is later returned by [`Queue::finish`].
    Wait(Ticket),
    /// Is turned away; the caller may return at this time.
    Refuse(Instant),
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: Ticket,
    deadline: Instant,
}

/// A first-in, first-out queue before a fixed number of places.
#[derive(Clone, Debug)]
pub struct Queue {
    places: usize,
    running: usize,
    length: usize,
    waiting: VecDeque<Waiting>,
    next: u64,
}

impl Queue {
    /// Milliseconds after which a caller that was turned away may return.
    const RETRY_MS: u64 = 1000;

    /// Creates a queue before `places` places.
    #[must_use]
    pub fn new(places: usize) -> Self {
        Self {
            places,
            running: 0,
            length: places * 4,
            waiting: VecDeque::new(),
            next: 0,
        }
    }

    /// Decides about a request that arrives.
    pub fn offer(&mut self, now: Instant, deadline: Instant) -> Verdict {
        if self.running < self.places {
            self.running += 1;
            return Verdict::Run;
        }
        if self.waiting.len() >= self.length || deadline <= now {
            return Verdict::Refuse(now.plus_millis(Self::RETRY_MS));
        }
        let ticket = Ticket(self.next);
        self.next += 1;
        self.waiting.push_back(Waiting { ticket, deadline });
        Verdict::Wait(ticket)
    }

    /// Frees a place and returns the ticket that takes it.
    ///
    /// # Panics
    ///
    /// When nothing runs.
    pub fn finish(&mut self, now: Instant) -> Option<Ticket> {
        assert!(self.running > 0, "a request finished that never ran");
        while let Some(waiting) = self.waiting.pop_front() {
            if waiting.deadline > now {
                return Some(waiting.ticket);
            }
        }
        self.running -= 1;
        None
    }

    /// Removes a ticket whose caller has gone; `false` when it already runs.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting.ticket != ticket);
        self.waiting.len() < before
    }

    /// Returns how many requests run and how many wait.
    #[must_use]
    pub fn load(&self) -> (usize, usize) {
        (self.running, self.waiting.len())
    }
}
