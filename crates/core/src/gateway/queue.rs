//! Queue of the requests of one node that wait for room at the engines of a service.
//!
//! When all places are taken, further requests would wait inside the engines, in order of arrival and
//! beyond the time at which their answer is of use. Here they wait in order of their value:
//!
//! * by rank, the most urgent first. A request that has waited half of its time goes ahead of those
//!   that are one rank more urgent, and one rank further with each half of the rest, so no rank
//!   starves;
//! * between organisations by start-time fair queueing ([`fair`](crate::admission::fair));
//! * within an organisation by the time left.
//!
//! A request waits only while it can get its first token in time. One whose expected wait is too long
//! is refused on arrival, as is the excess of an organisation that sends many times its
//! [usual](super::demand). Nothing of a refused request has been sent, so reporting it as not run is
//! always true.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::{Rng, RngExt as _};

use super::demand::{Demand, Rate};
use crate::admission::Ticket;
use crate::admission::fair::Turns;
use crate::clock::Instant;
use crate::num::{float, seconds};

/// Maximum number of waiting requests.
const MAX_WAITING: usize = 1_024;
/// Share of the time that a request may wait that its expected wait may take. It is below the half
/// from which requests go ahead of more urgent ones, so that only few do.
const SLACK: f64 = 0.4;
/// Share of the capacity that all ranks together are expected to get besides more urgent ones,
/// however much these send. It is what the most urgent requests may lose to those that go ahead of
/// them.
const MIN_RANKS_SHARE: f64 = 0.05;
/// Share of the capacity that is divided fairly when an organisation sends many times its usual. At
/// all of it, the least urgent requests of the others would wait too long.
const DIVIDED_SHARE: f64 = 0.95;
/// Milliseconds for which there is little room after a request found none.
const SCARCE_MS: u64 = 2_000;
/// Minimum time between two moves of a request.
const MIN_AHEAD_INTERVAL: Duration = Duration::from_millis(1);
/// Least requests per second that count as ending.
const MIN_ENDED_PER_S: f64 = 0.001;
/// Minimum seconds until a refused caller may retry.
const MIN_RETRY_S: f64 = 0.25;
/// Maximum seconds until a refused caller may retry, without the spread.
const MAX_RETRY_S: f64 = 15.0;

/// A request as the queue sees it.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Priority; zero is the most urgent. That of an organisation takes precedence over that of the
    /// route.
    pub rank: u8,
    /// Hash of the organisation's name.
    pub organisation: u64,
    /// Latest time at which it can start and still get its first token in time.
    pub latest_start: Instant,
}

/// Decision about an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request runs at once.
    Run,
    /// The request waits; [`Queue::poll`] returns the ticket later.
    Wait(Ticket),
    /// The request is refused.
    Refuse(Refusal),
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It can no longer get its first token in time.
    TooLate,
    /// Its organisation has more than its fair share.
    Excess,
    /// Too many requests wait.
    Full,
}

impl Reason {
    /// Returns the code for logs and metrics.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::TooLate => "too-late",
            Self::Excess => "excess",
            Self::Full => "full",
        }
    }
}

/// Refusal of a request of which nothing has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: Reason,
    /// When its caller may retry.
    pub retry_at: Instant,
}

/// End of the wait of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// The request runs now.
    Run(Ticket),
    /// The request is refused.
    Refuse(Ticket, Refusal),
}

/// Position of a level in the order of service.
///
/// Requests that have moved ahead to a rank are served just before those that arrived with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    rank: i16,
    has_arrived: bool,
}

impl Position {
    fn of(rank: u8) -> Self {
        Self {
            rank: i16::from(rank),
            has_arrived: true,
        }
    }

    /// Returns the position one rank ahead.
    fn ahead(self) -> Self {
        Self {
            rank: (self.rank - 1).max(-1),
            has_arrived: false,
        }
    }
}

/// Requests that are served one organisation after the other.
#[derive(Clone, Debug, Default)]
struct Level {
    turns: Turns<u64>,
    /// Waiting requests by organisation, in order of the time left.
    waiting: BTreeMap<u64, BTreeSet<(Instant, Ticket)>>,
}

impl Level {
    fn push(&mut self, request: &Request, ticket: Ticket) {
        self.turns.push(request.organisation, 1);
        let waiting = self.waiting.entry(request.organisation).or_default();
        waiting.insert((request.latest_start, ticket));
    }

    fn pop(&mut self) -> Option<Ticket> {
        let organisation = self.turns.first()?;
        self.turns.serve(organisation);
        let waiting = self.waiting.get_mut(&organisation)?;
        let (_, ticket) = waiting.pop_first()?;
        if waiting.is_empty() {
            self.waiting.remove(&organisation);
        }
        Some(ticket)
    }

    fn remove(&mut self, request: &Request, ticket: Ticket) {
        self.turns.remove(request.organisation);
        if let Some(waiting) = self.waiting.get_mut(&request.organisation) {
            waiting.remove(&(request.latest_start, ticket));
            if waiting.is_empty() {
                self.waiting.remove(&request.organisation);
            }
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    request: Request,
    position: Position,
    /// When it goes one rank ahead.
    ahead_at: Instant,
}

/// Queue for the engines of one service at one node.
#[derive(Clone, Debug)]
pub struct Queue {
    started: Instant,
    levels: BTreeMap<Position, Level>,
    waiters: BTreeMap<Ticket, Waiter>,
    latest_starts: BTreeSet<(Instant, Ticket)>,
    ahead_times: BTreeSet<(Instant, Ticket)>,
    demand: Demand,
    /// Requests that arrive, without the excess of organisations, by rank.
    arrivals: BTreeMap<u8, Rate>,
    /// Requests that end; `None` before the first one.
    ended: Option<Rate>,
    /// Until when there is little room.
    scarce_until: Instant,
    next_ticket: u64,
}

impl Queue {
    /// Creates an empty queue.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            started: now,
            levels: BTreeMap::new(),
            waiters: BTreeMap::new(),
            latest_starts: BTreeSet::new(),
            ahead_times: BTreeSet::new(),
            demand: Demand::new(now),
            arrivals: BTreeMap::new(),
            ended: None,
            scarce_until: Instant::ORIGIN,
            next_ticket: 0,
        }
    }

    /// Decides whether an arriving request runs, waits or is refused. `has_room` states whether
    /// there is room for a request besides those that [`Self::poll`] has let run.
    pub fn offer<R: Rng>(
        &mut self,
        now: Instant,
        request: Request,
        has_room: bool,
        rng: &mut R,
    ) -> Verdict {
        self.demand.observe(now, request.organisation, request.rank);
        let is_passed = has_room && self.is_empty();
        if !is_passed {
            self.scarce_until = now.plus_millis(SCARCE_MS);
        }
        // Places that an excess took between two other requests would be missing for the next ones.
        let is_scarce = now < self.scarce_until;
        if is_scarce && self.is_excess(now, &request, rng) {
            return Verdict::Refuse(self.refusal(now, Reason::Excess, &request, rng));
        }
        let started = self.started;
        let arrivals = self.arrivals.entry(request.rank);
        arrivals
            .or_insert_with(|| Rate::recent(started))
            .add(now, 1.0);
        if is_passed {
            let level = self.levels.entry(Position::of(request.rank)).or_default();
            level.turns.charge(request.organisation, 1);
            return Verdict::Run;
        }
        match self.reason_to_refuse(now, &request) {
            Some(reason) => Verdict::Refuse(self.refusal(now, reason, &request, rng)),
            None => Verdict::Wait(self.enqueue(now, request)),
        }
    }

    /// Records that a request of this node has left its engine, which shows the capacity.
    pub fn finish(&mut self, now: Instant) {
        let started = self.started;
        self.ended
            .get_or_insert_with(|| Rate::recent(started))
            .add(now, 1.0);
    }

    /// Returns the waiting requests whose wait ends now: up to `room` that run, and those that can no
    /// longer get their first token in time.
    pub fn poll<R: Rng>(&mut self, now: Instant, room: usize, rng: &mut R) -> Vec<Resolution> {
        let mut resolutions = Vec::new();
        while let Some((latest_start, ticket)) = self.latest_starts.first().copied() {
            if latest_start > now {
                break;
            }
            if let Some(waiter) = self.remove(ticket) {
                let refusal = self.refusal(now, Reason::TooLate, &waiter.request, rng);
                resolutions.push(Resolution::Refuse(ticket, refusal));
            }
        }
        self.move_ahead(now);
        for _ in 0..room {
            let Some(ticket) = self.pop() else {
                break;
            };
            resolutions.push(Resolution::Run(ticket));
        }
        resolutions
    }

    /// Returns when [`Self::poll`] must be called at the latest; `None` if no request waits.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        self.latest_starts.first().map(|(at, _)| *at)
    }

    /// Removes a request whose caller has left; returns `false` if it no longer waits.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.remove(ticket).is_some()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    fn is_excess<R: Rng>(&mut self, now: Instant, request: &Request, rng: &mut R) -> bool {
        let capacity = self.ended_per_s(now) * DIVIDED_SHARE;
        let Request {
            rank, organisation, ..
        } = *request;
        let part = self.demand.part(now, organisation, rank, capacity);
        part < 1.0 && rng.random::<f64>() >= part
    }

    fn reason_to_refuse(&self, now: Instant, request: &Request) -> Option<Reason> {
        if request.latest_start <= now {
            return Some(Reason::TooLate);
        }
        if self.is_empty() {
            // One request may always wait: the estimate may be of a time with less room.
            return None;
        }
        if self.len() >= MAX_WAITING {
            return Some(Reason::Full);
        }
        let left_s = request.latest_start.since(now).as_secs_f64();
        // A rank for which more urgent ones leave nothing is served as its requests move ahead, which
        // takes most of their time.
        let is_in_time = self.expected_wait_s(now, request) <= left_s * SLACK
            || self.least_rounds_s(now, request) <= left_s;
        if is_in_time {
            return None;
        }
        let level = self.levels.get(&Position::of(request.rank));
        let own = level.map_or(0, |level| level.turns.waiting(request.organisation));
        let others = level.map_or(0, |level| level.turns.len() - own);
        let is_excess = own > 0 && others > 0;
        Some(if is_excess {
            Reason::Excess
        } else {
            Reason::TooLate
        })
    }

    /// Returns the seconds that a request of this rank and organisation is expected to wait: as long
    /// as those ahead of it and itself take at the rate at which requests end here (Little's law),
    /// less what more urgent ones that arrive meanwhile will take.
    fn expected_wait_s(&self, now: Instant, request: &Request) -> f64 {
        let per_s = self.ended_per_s(now);
        let urgent = self.arrivals.range(..request.rank);
        let urgent_per_s: f64 = urgent.map(|(_, rate)| rate.per_s(now)).sum();
        let rank_per_s = (per_s - urgent_per_s).max(per_s * self.min_rank_share());
        let ahead = self.levels.range(..Position::of(request.rank));
        let ahead: usize = ahead.map(|(_, level)| level.turns.len()).sum();
        float(ahead) / per_s + self.rounds(request) / rank_per_s
    }

    /// Returns the seconds until the turn of a request if its rank gets no more than every rank does.
    fn least_rounds_s(&self, now: Instant, request: &Request) -> f64 {
        self.rounds(request) / (self.ended_per_s(now) * self.min_rank_share())
    }

    /// Returns the number of requests of a rank that are served until the turn of a new one.
    fn rounds(&self, request: &Request) -> f64 {
        let level = self.levels.get(&Position::of(request.rank));
        level.map_or(1.0, |level| {
            let own = float(level.turns.waiting(request.organisation) + 1);
            let share = level.turns.share(request.organisation, 1);
            (own / share).min(float(level.turns.len() + 1))
        })
    }

    /// Returns the requests per second that end at this node; without limit before the first one.
    fn ended_per_s(&self, now: Instant) -> f64 {
        let rate = self.ended.as_ref();
        rate.map_or(f64::INFINITY, |rate| rate.per_s(now).max(MIN_ENDED_PER_S))
    }

    fn min_rank_share(&self) -> f64 {
        MIN_RANKS_SHARE / float(self.arrivals.len().max(1))
    }

    fn enqueue(&mut self, now: Instant, request: Request) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let ahead_at = now + request.latest_start.since(now) / 2;
        let waiter = Waiter {
            request,
            position: Position::of(request.rank),
            ahead_at,
        };
        self.insert(ticket, waiter);
        ticket
    }

    fn insert(&mut self, ticket: Ticket, waiter: Waiter) {
        let level = self.levels.entry(waiter.position).or_default();
        level.push(&waiter.request, ticket);
        self.latest_starts
            .insert((waiter.request.latest_start, ticket));
        self.ahead_times.insert((waiter.ahead_at, ticket));
        self.waiters.insert(ticket, waiter);
    }

    /// Moves requests ahead that have waited half of their time, or half of the rest since then.
    fn move_ahead(&mut self, now: Instant) {
        while let Some((at, ticket)) = self.ahead_times.first().copied() {
            if at > now {
                break;
            }
            let Some(mut waiter) = self.remove(ticket) else {
                break;
            };
            let left = waiter.request.latest_start.since(at);
            waiter.position = waiter.position.ahead();
            waiter.ahead_at = at + (left / 2).max(MIN_AHEAD_INTERVAL);
            self.insert(ticket, waiter);
        }
    }

    fn pop(&mut self) -> Option<Ticket> {
        let mut levels = self.levels.values_mut();
        let level = levels.find(|level| !level.turns.is_empty())?;
        let ticket = level.pop()?;
        self.forget(ticket);
        Some(ticket)
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Waiter> {
        let waiter = self.forget(ticket)?;
        if let Some(level) = self.levels.get_mut(&waiter.position) {
            level.remove(&waiter.request, ticket);
        }
        Some(waiter)
    }

    fn forget(&mut self, ticket: Ticket) -> Option<Waiter> {
        let waiter = self.waiters.remove(&ticket)?;
        self.latest_starts
            .remove(&(waiter.request.latest_start, ticket));
        self.ahead_times.remove(&(waiter.ahead_at, ticket));
        Some(waiter)
    }

    /// Returns a refusal whose caller may retry once the present backlog is served, at a random
    /// moment within the same time again: callers that retry at one moment compete with each other.
    fn refusal<R: Rng>(
        &self,
        now: Instant,
        reason: Reason,
        request: &Request,
        rng: &mut R,
    ) -> Refusal {
        let backlog_s = self.expected_wait_s(now, request);
        let wait_s = backlog_s.clamp(MIN_RETRY_S, MAX_RETRY_S);
        let spread_s = rng.random::<f64>() * wait_s;
        Refusal {
            reason,
            retry_at: now + seconds(wait_s + spread_s),
        }
    }
}
