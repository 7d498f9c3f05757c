//! What is asked of admission and what it answers.

use fescuerack_config::key;

use crate::clock::Instant;

/// Identifies a request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Thresholds of admission; every one may be set in the configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Thresholds {
    /// Requests that run at a time at most, whatever runners report.
    pub places: usize,
    /// Share of the places that long work may hold. With 0.3 a flood of
    /// dossiers leaves chat at least 0.7 of the places.
    pub long_share: f64,
    /// Share of the places kept for long work that waits, so that a flood of
    /// chat does not stop the night's dossiers altogether.
    pub long_floor: f64,
    /// Requests that may wait.
    pub queue_length: usize,
    /// Share of the time until the latest start that the expected wait may
    /// take. The estimate is a mean: at 1.0 half of those let in would be
    /// dropped later, after waiting in vain.
    pub slack: f64,
    /// Deviations above the mean that a request is expected to run. Two cover
    /// about 95 in 100 of the usual spread of answer lengths.
    pub margin: f64,
    /// Longest `Retry-After`, in seconds.
    pub max_retry_after_s: f64,
}

impl Thresholds {
    /// Returns the defaults for `places` places.
    #[must_use]
    pub fn new(places: usize) -> Self {
        Self {
            places,
            long_share: 0.3,
            long_floor: 0.1,
            queue_length: places * 4,
            slack: 0.5,
            margin: 2.0,
            max_retry_after_s: 30.0,
        }
    }
}

/// A request that asks to be let in.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Who pays for it.
    pub organisation: key::Organisation,
    /// Share of the organisation relative to others, at least 1.
    pub weight: u32,
    /// Hash of its session, or of whoever sends it.
    pub caller: u64,
    /// Class of work, when it names one.
    pub class: Option<key::Class>,
    /// Priority; a lower number goes first.
    pub priority: u8,
    /// Whether it draws on the budget of long work.
    pub long: bool,
    /// When its answer is due.
    pub deadline: Instant,
}

/// What happens to a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Runs at once.
    Run(Grant),
    /// Waits; [`super::Controller::poll`] later returns the ticket.
    Wait(Ticket),
    /// Is turned away.
    Refuse(Refusal),
}

/// Why a request is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It can no longer finish before its deadline.
    TooLate,
    /// Its organisation's part of the queue is full.
    QueueFull,
}

/// A request that is turned away; nothing of it was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When its caller may come back.
    pub retry_at: Instant,
}

/// A place held by a request that runs.
#[derive(Clone, Copy, Debug, PartialEq)]
#[must_use]
pub struct Grant {
    pub(super) class: Option<key::Class>,
    pub(super) lane: Lane,
    pub(super) start: Instant,
}

/// How a request that ran has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// Its answer was whole; the first token came at this time.
    Answered {
        /// When the first part of the answer came.
        first: Instant,
    },
    /// Runners refused it or let it run out of time.
    Overloaded,
    /// It says nothing about runners: its caller went away, or it was wrong.
    Ignored,
}

/// What becomes of a request that waited.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Resolution {
    /// It runs now.
    Run(Ticket, Grant),
    /// It can no longer finish and is turned away.
    Refuse(Ticket, Refusal),
}

/// The budget that a request draws on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lane {
    Short,
    Long,
}

/// Figures of the state dump.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct Summary {
    /// Present limit of requests that run.
    pub limit: usize,
    /// Short requests that run.
    pub running: usize,
    /// Long requests that run.
    pub running_long: usize,
    /// Short requests that wait.
    pub waiting: usize,
    /// Long requests that wait.
    pub waiting_long: usize,
}
