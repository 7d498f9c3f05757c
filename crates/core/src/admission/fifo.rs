//! Baseline admission: a first-in, first-out queue before a fixed number of permits.
//!
//! It serves requests in order of arrival, even if the answer can no longer be in time. Benches
//! compare [`super::Controller`] with it.

use std::collections::VecDeque;

use super::Ticket;
use crate::clock::Instant;

/// Decision about an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request runs at once.
    Run,
    /// The request waits; [`Queue::finish`] returns the ticket later.
    Wait(Ticket),
    /// The request is refused; the caller may retry at this time.
    Refuse(Instant),
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    ticket: Ticket,
    deadline: Instant,
}

/// First-in, first-out queue before a fixed number of permits.
#[derive(Clone, Debug)]
pub struct Queue {
    max_running: usize,
    running: usize,
    max_waiting: usize,
    waiting: VecDeque<Waiter>,
    next_ticket: u64,
}

impl Queue {
    /// Milliseconds after which a refused caller may retry.
    const RETRY_AFTER_MS: u64 = 1000;

    /// Creates a queue before `max_running` permits.
    #[must_use]
    pub fn new(max_running: usize) -> Self {
        Self {
            max_running,
            running: 0,
            max_waiting: max_running * 4,
            waiting: VecDeque::new(),
            next_ticket: 0,
        }
    }

    /// Decides whether an arriving request runs, waits or is refused.
    pub fn offer(&mut self, now: Instant, deadline: Instant) -> Verdict {
        if self.running < self.max_running {
            self.running += 1;
            return Verdict::Run;
        }
        if self.waiting.len() >= self.max_waiting || deadline <= now {
            return Verdict::Refuse(now.plus_millis(Self::RETRY_AFTER_MS));
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.push_back(Waiter { ticket, deadline });
        Verdict::Wait(ticket)
    }

    /// Releases a permit and returns the ticket of the request that takes it, if any.
    ///
    /// # Panics
    ///
    /// Panics if no request is running.
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

    /// Removes a ticket whose caller has disconnected; returns `false` if it no longer waits.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting.ticket != ticket);
        self.waiting.len() < before
    }

    /// Returns the numbers of running and of waiting requests.
    #[must_use]
    pub fn load(&self) -> (usize, usize) {
        (self.running, self.waiting.len())
    }
}
