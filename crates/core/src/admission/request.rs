//! Requests to the admission controller, its decisions and its thresholds.

use fescuerack_config::key;

use crate::clock::Instant;

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Thresholds of admission; each can be set in the configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Thresholds {
    /// Maximum number of requests that run at a time, the upper bound of the adaptive limit.
    pub max_running: usize,
    /// Share of the permits that long work, such as the nightly processing of documents, may hold.
    /// With 0.3, any amount of it leaves short work at least 0.7 of the permits.
    pub long_share: f64,
    /// Share of the permits reserved for long work that waits, so that heavy short traffic does not
    /// starve it.
    pub long_floor: f64,
    /// Maximum number of waiting requests.
    pub queue_length: usize,
    /// Share of the remaining time until its latest start that a request's expected wait may take.
    /// The estimate is a mean: at 1.0, half of the queued requests would be refused later, after a
    /// useless wait.
    pub slack: f64,
    /// Safety margin of the expected service time, as a number of mean deviations above its mean.
    /// Two cover about 95 in 100 of the usual spread of answer lengths.
    pub margin: f64,
    /// Maximum `Retry-After`, in seconds.
    pub max_retry_after_s: f64,
}

impl Thresholds {
    /// Returns the default thresholds for at most `max_running` running requests.
    #[must_use]
    pub fn new(max_running: usize) -> Self {
        Self {
            max_running,
            long_share: 0.3,
            long_floor: 0.1,
            queue_length: max_running * 4,
            slack: 0.5,
            margin: 2.0,
            max_retry_after_s: 30.0,
        }
    }
}

/// A request as admission sees it.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Organisation that is billed for it.
    pub organisation: key::Organisation,
    /// Weight of the organisation relative to others, at least 1.
    pub weight: u32,
    /// Hash of its session, by which callers are distinguished. The requests of an organisation
    /// without a session share one value and count as one caller.
    pub session_hash: u64,
    /// Class of work, if the request names one.
    pub class: Option<key::Class>,
    /// Priority; lower numbers go first.
    pub priority: u8,
    /// Whether it is long work, to which `long_share` and `long_floor` apply.
    pub long: bool,
    /// When its answer is due.
    pub deadline: Instant,
}

/// Decision about an arriving request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// The request runs at once.
    Run(Permit),
    /// The request waits; [`super::Controller::poll`] returns the ticket later.
    Wait(Ticket),
    /// The request is refused.
    Refuse(Refusal),
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It can no longer finish before its deadline.
    TooLate,
    /// Its organisation's part of the queue is full.
    QueueFull,
}

/// Refusal of a request of which nothing has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: Reason,
    /// When its caller may retry.
    pub retry_at: Instant,
}

/// Right of a request to run, held until it ends.
#[derive(Clone, Copy, Debug, PartialEq)]
#[must_use]
pub struct Permit {
    pub(super) class: Option<key::Class>,
    pub(super) lane: Lane,
    pub(super) start: Instant,
}

/// How a running request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The answer was complete.
    Answered {
        /// When the first part of the answer arrived.
        first: Instant,
    },
    /// Backend servers refused it or did not answer in time.
    Overloaded,
    /// The end says nothing about the backend servers: the caller disconnected, or the request was
    /// invalid.
    Ignored,
}

/// Outcome of waiting for a permit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Resolution {
    /// The request runs now.
    Run(Ticket, Permit),
    /// The request can no longer finish in time and is refused.
    Refuse(Ticket, Refusal),
}

/// Which of the two queues, with its bounds, a request belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lane {
    Short,
    Long,
}

/// Figures for the state dump.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct Summary {
    /// Current limit of running requests.
    pub limit: usize,
    /// Running short requests.
    #[serde(rename = "running")]
    pub running_short: usize,
    /// Running long requests.
    pub running_long: usize,
    /// Waiting short requests.
    #[serde(rename = "waiting")]
    pub waiting_short: usize,
    /// Waiting long requests.
    pub waiting_long: usize,
}
