//! Admission control: which requests run at once, which wait and which are refused.
//!
//! [`Controller`] decides for every request of one instance. A running request holds a *permit*;
//! the instance's concurrency limit is the number of permits. The load patterns that the
//! controller handles, and what goes wrong without it:
//!
//! * **Saturation.** A first-come, first-served queue delays every request: at twice the
//!   capacity nearly every answer misses its deadline, and the capacity is spent on answers that
//!   nobody waits for any more. So a request waits only while it can still finish in time. When
//!   it no longer can, or when its organisation's backlog shows on arrival that it will not, it
//!   is refused immediately as not run, with a time to retry at ([`Reason::TooLate`]).
//! * **Most of the load from a few callers or organisations.** [`fair`] gives organisations
//!   their weighted shares and the callers of one organisation equal turns.
//! * **Long work mixed with short work.** The processing of a document holds its permit a hundred
//!   times longer than a chat reply. Long work may hold at most [`Thresholds::long_share`] of the
//!   permits, and short work leaves [`Thresholds::long_floor`] of them free for long work that
//!   waits.
//! * **Backend servers that slow down.** A fixed limit is too high when a third of the pool is
//!   lost and too low when it is back. [`limit`] adapts to what the backend servers finish.
//! * **Synchronised retries.** Equal `Retry-After` values make all refused callers retry at the
//!   same moment. [`Refusal::retry_at`] is spread at random over the time that the backlog needs.
//!
//! A refusal is final and immediate, and nothing of the request has been sent to a backend
//! server, so reporting it as not run is always true.
//!
//! [`fifo`] is the baseline for benches.

pub mod fair;
pub mod fifo;
pub mod limit;
pub mod rate;
mod request;

use std::collections::{BTreeMap, BTreeSet};

use fescuerack_config::key;
use rand::{Rng, RngExt as _};
use slotmap::SecondaryMap;

use crate::clock::Instant;
use crate::num::{Mean, float, seconds, whole};
use fair::{FairQueue, Flow};
use limit::{Limit, Sample};
use request::Lane;
pub use request::{
    Completion, Permit, Reason, Refusal, Request, Resolution, Summary, Thresholds, Ticket, Verdict,
};

/// A request that waits for a permit.
#[derive(Clone, Copy, Debug)]
struct Waiter {
    flow: Flow,
    lane: Lane,
    class: Option<key::Class>,
    latest_start: Instant,
}

/// The queue of one lane, with the number of its requests that run and their mean service time.
#[derive(Clone, Debug, Default)]
struct LaneQueue {
    running: usize,
    waiting: FairQueue,
    service_s: Mean,
}

/// Admission controller of one instance.
#[derive(Clone, Debug)]
pub struct Controller {
    thresholds: Thresholds,
    limit: Limit,
    short: LaneQueue,
    long: LaneQueue,
    waiters: BTreeMap<Ticket, Waiter>,
    /// Waiting tickets by the latest time at which they can start and still finish.
    latest_starts: BTreeSet<(Instant, Ticket)>,
    /// Seconds of service by class of work.
    class_service_s: SecondaryMap<key::Class, Mean>,
    next_ticket: u64,
}

impl Controller {
    /// Expected service time in seconds before any request has finished.
    const INITIAL_SERVICE_S: f64 = 0.0;

    /// Creates the admission controller of an instance.
    #[must_use]
    pub fn new(thresholds: Thresholds) -> Self {
        Self {
            limit: Limit::new(thresholds.max_running),
            thresholds,
            short: LaneQueue::default(),
            long: LaneQueue::default(),
            waiters: BTreeMap::new(),
            latest_starts: BTreeSet::new(),
            class_service_s: SecondaryMap::new(),
            next_ticket: 0,
        }
    }

    /// Applies the thresholds of a new configuration.
    pub fn set_thresholds(&mut self, thresholds: Thresholds) {
        self.limit.set_max(thresholds.max_running);
        self.thresholds = thresholds;
    }

    /// Decides whether an arriving request runs, waits or is refused.
    pub fn offer<R: Rng>(&mut self, now: Instant, request: &Request, rng: &mut R) -> Verdict {
        let lane = if request.long {
            Lane::Long
        } else {
            Lane::Short
        };
        let flow = Flow {
            organisation: request.organisation,
            weight: request.weight.max(1),
            priority: request.priority,
            caller: request.session_hash,
        };
        // A free permit is granted without consulting the estimate: the estimate may come from a
        // time when the pool was slow, and refusing because of it would prevent its correction.
        let is_permit_available = self.queue(lane).waiting.is_empty() && self.has_free_permit(lane);
        if is_permit_available && now < request.deadline {
            self.queue_mut(lane).waiting.charge(flow);
            return Verdict::Run(self.grant(now, lane, request.class));
        }
        let expected = seconds(self.expected_service_s(request.class, lane));
        let latest_start = Instant(request.deadline.0.saturating_sub(micros(expected)));
        let slack_s = latest_start.since(now).as_secs_f64() * self.thresholds.slack;
        if latest_start <= now || self.expected_wait_s(lane, flow) > slack_s {
            return Verdict::Refuse(self.refusal(now, Reason::TooLate, lane, flow, rng));
        }
        if self.is_full(lane, flow) {
            return Verdict::Refuse(self.refusal(now, Reason::QueueFull, lane, flow, rng));
        }
        Verdict::Wait(self.enqueue(flow, lane, request.class, latest_start))
    }

    /// Releases the permit of a request that has ended; [`Self::poll`] then grants a waiting
    /// request one.
    ///
    /// # Panics
    ///
    /// Panics if no request of the permit's lane is running.
    pub fn finish(&mut self, now: Instant, permit: Permit, ended: Completion) {
        let running = self.short.running + self.long.running;
        let queue = self.queue_mut(permit.lane);
        assert!(queue.running > 0, "a request finished that never ran");
        queue.running -= 1;
        match ended {
            Completion::Answered { first } => {
                let took = now.since(permit.start).as_secs_f64();
                queue.service_s.add(took);
                if let Some(class) = permit.class
                    && let Some(entry) = self.class_service_s.entry(class)
                {
                    entry.or_default().add(took);
                }
                // Prompts of long work differ too much in length for their time to first token
                // to indicate load.
                if permit.lane == Lane::Short {
                    let first = first.since(permit.start).as_secs_f64();
                    let sample = Sample::Answered { first, whole: took };
                    self.limit.add(now, sample, running);
                }
            }
            Completion::Overloaded => self.limit.add(now, Sample::Overloaded, running),
            Completion::Ignored => {}
        }
    }

    /// Returns the waiting requests that are resolved now: those that run, and those that are
    /// refused because they can no longer finish in time.
    ///
    /// # Panics
    ///
    /// Panics if the queues and the list of waiting requests disagree.
    pub fn poll<R: Rng>(&mut self, now: Instant, rng: &mut R) -> Vec<Resolution> {
        let mut resolutions = Vec::new();
        while let Some((latest_start, ticket)) = self.latest_starts.first().copied() {
            if latest_start > now {
                break;
            }
            let Some(gone) = self.remove(ticket) else {
                unreachable!("every latest start belongs to a waiting request");
            };
            let refusal = self.refusal(now, Reason::TooLate, gone.lane, gone.flow, rng);
            resolutions.push(Resolution::Refuse(ticket, refusal));
        }
        for lane in [Lane::Short, Lane::Long] {
            while self.has_free_permit(lane) {
                let Some(ticket) = self.queue_mut(lane).waiting.pop() else {
                    break;
                };
                let waiter = self.unregister(ticket).expect("a queued ticket waits");
                let permit = self.grant(now, lane, waiter.class);
                resolutions.push(Resolution::Run(ticket, permit));
            }
        }
        resolutions
    }

    /// Returns when the next waiting request becomes unable to finish in time.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        self.latest_starts
            .first()
            .map(|(latest_start, _)| *latest_start)
    }

    /// Removes a ticket whose caller has disconnected; returns `false` if it no longer waits.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.remove(ticket).is_some()
    }

    /// Returns the numbers of running and of waiting requests.
    #[must_use]
    pub fn load(&self) -> (usize, usize) {
        (self.short.running + self.long.running, self.waiters.len())
    }

    /// Returns the figures for the state dump.
    #[must_use]
    pub fn summary(&self) -> Summary {
        Summary {
            limit: self.limit.get(),
            running_short: self.short.running,
            running_long: self.long.running,
            waiting_short: self.short.waiting.len(),
            waiting_long: self.long.waiting.len(),
        }
    }

    fn queue(&self, lane: Lane) -> &LaneQueue {
        match lane {
            Lane::Short => &self.short,
            Lane::Long => &self.long,
        }
    }

    fn queue_mut(&mut self, lane: Lane) -> &mut LaneQueue {
        match lane {
            Lane::Short => &mut self.short,
            Lane::Long => &mut self.long,
        }
    }

    /// Returns the maximum number of permits that the lane may hold now.
    fn max_running(&self, lane: Lane) -> usize {
        let limit = self.limit.get();
        let share = |share: f64| whole(float(limit) * share).max(1);
        match lane {
            Lane::Long => share(self.thresholds.long_share),
            Lane::Short => {
                let floor = if self.long.waiting.is_empty() {
                    0
                } else {
                    share(self.thresholds.long_floor)
                };
                limit.saturating_sub(self.long.running.max(floor)).max(1)
            }
        }
    }

    fn has_free_permit(&self, lane: Lane) -> bool {
        let all = self.short.running + self.long.running;
        let free = match lane {
            // The total is at least 2, since each lane may always hold one permit. The bound of
            // the short lane already keeps the floor of long work free, so short work does not use
            // up the total.
            Lane::Long => all < self.limit.get().max(2),
            Lane::Short => true,
        };
        free && self.queue(lane).running < self.max_running(lane)
    }

    fn grant(&mut self, now: Instant, lane: Lane, class: Option<key::Class>) -> Permit {
        self.queue_mut(lane).running += 1;
        Permit {
            class,
            lane,
            start: now,
        }
    }

    /// Returns the expected service time of a request of this class, in seconds.
    fn expected_service_s(&self, class: Option<key::Class>, lane: Lane) -> f64 {
        let lane_s = self
            .queue(lane)
            .service_s
            .upper(self.thresholds.margin, Self::INITIAL_SERVICE_S);
        let mean = class.and_then(|class| self.class_service_s.get(class));
        mean.map_or(lane_s, |mean| mean.upper(self.thresholds.margin, lane_s))
    }

    /// Returns the expected wait of a request of this flow, in seconds: the requests of its
    /// organisation ahead of it and the request itself, divided by the organisation's share of the
    /// rate at which the lane's permits become free (Little's law).
    fn expected_wait_s(&self, lane: Lane, flow: Flow) -> f64 {
        let queue = self.queue(lane);
        let rate = float(self.max_running(lane)) / queue.service_s.value.max(1e-6);
        let ahead = float(queue.waiting.ahead(flow) + 1);
        ahead / (rate * queue.waiting.share(flow))
    }

    /// Returns whether the organisation's part of the queue is full. Each organisation has its
    /// weighted part, so that one with a large backlog cannot use up the parts of the others.
    fn is_full(&self, lane: Lane, flow: Flow) -> bool {
        let waiting = &self.queue(lane).waiting;
        let part = float(self.thresholds.queue_length) * waiting.share(flow);
        waiting.waiting(flow.organisation) >= whole(part).max(1)
    }

    fn enqueue(
        &mut self,
        flow: Flow,
        lane: Lane,
        class: Option<key::Class>,
        latest_start: Instant,
    ) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.queue_mut(lane).waiting.push(flow, ticket);
        self.latest_starts.insert((latest_start, ticket));
        let waiter = Waiter {
            flow,
            lane,
            class,
            latest_start,
        };
        self.waiters.insert(ticket, waiter);
        ticket
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Waiter> {
        let waiter = self.unregister(ticket)?;
        let removed = self
            .queue_mut(waiter.lane)
            .waiting
            .remove(waiter.flow, ticket);
        assert!(removed, "a waiting request is in no queue");
        Some(waiter)
    }

    fn unregister(&mut self, ticket: Ticket) -> Option<Waiter> {
        let waiter = self.waiters.remove(&ticket)?;
        self.latest_starts.remove(&(waiter.latest_start, ticket));
        Some(waiter)
    }

    /// Returns a refusal whose caller may retry once the present backlog is served, at a random
    /// moment within the same time again: refused callers that all retry at one moment would
    /// only compete with each other.
    fn refusal<R: Rng>(
        &self,
        now: Instant,
        reason: Reason,
        lane: Lane,
        flow: Flow,
        rng: &mut R,
    ) -> Refusal {
        let max_s = self.thresholds.max_retry_after_s;
        let min_s = self
            .expected_wait_s(lane, flow)
            .clamp(1.0, (max_s / 2.0).max(1.0));
        let spread_s = rng.random::<f64>() * min_s;
        let retry_at = now + seconds((min_s + spread_s).min(max_s.max(1.0)));
        Refusal { reason, retry_at }
    }
}

fn micros(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
