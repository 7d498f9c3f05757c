//! What is let in, what waits and what is turned away.
//!
//! [`Controller`] decides about every request of one instance. The patterns of
//! load it answers, and what goes wrong without it:
//!
//! * **Saturation.** A queue that serves in order of arrival serves everyone
//!   late: at twice the capacity nearly every answer misses its deadline and
//!   the capacity is spent on answers nobody waits for. So a request waits only
//!   while it can still finish; when it no longer can, or when its
//!   organisation's backlog says on arrival that it will not, it is refused at
//!   once as not run, with a time to come back ([`Reason::TooLate`]).
//! * **A few callers or organisations with most of the load.** [`fair`] gives
//!   organisations their weighted shares and callers within one an equal turn.
//! * **Long work among short.** A dossier holds its place a hundred times
//!   longer than a chat reply. Long work may hold at most
//!   [`Thresholds::long_share`] of the places, and short work leaves
//!   [`Thresholds::long_floor`] of them to waiting long work.
//! * **Runners that slow down.** A fixed limit is too high when a third of the
//!   pool is lost and too low when it is back; [`limit`] follows what runners
//!   finish.
//! * **A retrying crowd.** Equal `Retry-After` values bring the crowd back at
//!   one moment; [`Refusal::retry_at`] is spread at random over the time that the
//!   backlog needs.
//!
//! A refusal is always final and given at once, and nothing of the request has
//! left for a backend server: "not run" is true by construction.
//!
//! [`fifo`] is the baseline that benches compare with.

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
use fair::{Fair, Flow};
use limit::{Limit, Sample};
use request::Lane;
pub use request::{
    Completion, Grant, Reason, Refusal, Request, Resolution, Summary, Thresholds, Ticket, Verdict,
};

#[derive(Clone, Copy, Debug)]
struct Waiting {
    flow: Flow,
    lane: Lane,
    class: Option<key::Class>,
    latest: Instant,
}

#[derive(Clone, Debug, Default)]
struct Queue {
    running: usize,
    fair: Fair,
    service: Mean,
}

/// Admission of one instance.
#[derive(Clone, Debug)]
pub struct Controller {
    thresholds: Thresholds,
    limit: Limit,
    short: Queue,
    long: Queue,
    waiting: BTreeMap<Ticket, Waiting>,
    expiry: BTreeSet<(Instant, Ticket)>,
    classes: SecondaryMap<key::Class, Mean>,
    next: u64,
}

impl Controller {
    /// Seconds that a request is expected to run before any has finished.
    const FIRST_GUESS_S: f64 = 0.0;

    /// Creates the admission of an instance.
    #[must_use]
    pub fn new(thresholds: Thresholds) -> Self {
        Self {
            limit: Limit::new(thresholds.places),
            thresholds,
            short: Queue::default(),
            long: Queue::default(),
            waiting: BTreeMap::new(),
            expiry: BTreeSet::new(),
            classes: SecondaryMap::new(),
            next: 0,
        }
    }

    /// Takes over thresholds that a new configuration brings.
    pub fn set_thresholds(&mut self, thresholds: Thresholds) {
        self.limit.set_max(thresholds.places);
        self.thresholds = thresholds;
    }

    /// Decides about a request that arrives.
    pub fn offer<R: Rng>(&mut self, now: Instant, ask: &Request, rng: &mut R) -> Verdict {
        let lane = if ask.long { Lane::Long } else { Lane::Short };
        let flow = Flow {
            organisation: ask.organisation,
            weight: ask.weight.max(1),
            priority: ask.priority,
            caller: ask.caller,
        };
        // With a place free the estimate is not asked: it may stem from a pool
        // that was slow, and refusing on it would keep it from being corrected.
        let idle = self.queue(lane).fair.is_empty() && self.has_place(lane);
        if idle && now < ask.deadline {
            self.queue_mut(lane).fair.charge(flow);
            return Verdict::Run(self.grant(now, lane, ask.class));
        }
        let expected = seconds(self.expected_s(ask.class, lane));
        let latest = Instant(ask.deadline.0.saturating_sub(micros(expected)));
        let slack_s = latest.since(now).as_secs_f64() * self.thresholds.slack;
        if latest <= now || self.wait_s(lane, flow) > slack_s {
            return Verdict::Refuse(self.refusal(now, Reason::TooLate, lane, flow, rng));
        }
        if self.is_full(lane, flow) {
            return Verdict::Refuse(self.refusal(now, Reason::QueueFull, lane, flow, rng));
        }
        Verdict::Wait(self.enqueue(flow, lane, ask.class, latest))
    }

    /// Frees the place of a request that has ended; [`Self::poll`] then says
    /// who takes it.
    ///
    /// # Panics
    ///
    /// When a request ends that never ran.
    pub fn finish(&mut self, now: Instant, grant: Grant, ended: Completion) {
        let running = self.short.running + self.long.running;
        let queue = self.queue_mut(grant.lane);
        assert!(queue.running > 0, "a request finished that never ran");
        queue.running -= 1;
        match ended {
            Completion::Answered { first } => {
                let took = now.since(grant.start).as_secs_f64();
                queue.service.add(took);
                if let Some(class) = grant.class
                    && let Some(entry) = self.classes.entry(class)
                {
                    entry.or_default().add(took);
                }
                // Prompts of long work differ too much in length for their
                // first token to tell of load.
                if grant.lane == Lane::Short {
                    let first = first.since(grant.start).as_secs_f64();
                    let sample = Sample::Answered { first, whole: took };
                    self.limit.add(now, sample, running);
                }
            }
            Completion::Overloaded => self.limit.add(now, Sample::Overloaded, running),
            Completion::Ignored => {}
        }
    }

    /// Returns what became of requests that waited: who runs now and who is
    /// turned away because it can no longer finish.
    ///
    /// # Panics
    ///
    /// When the queues disagree about who waits.
    pub fn poll<R: Rng>(&mut self, now: Instant, rng: &mut R) -> Vec<Resolution> {
        let mut turns = Vec::new();
        while let Some((latest, ticket)) = self.expiry.first().copied() {
            if latest > now {
                break;
            }
            let Some(gone) = self.remove(ticket) else {
                unreachable!("every expiry belongs to a request that waits");
            };
            let refusal = self.refusal(now, Reason::TooLate, gone.lane, gone.flow, rng);
            turns.push(Resolution::Refuse(ticket, refusal));
        }
        for lane in [Lane::Short, Lane::Long] {
            while self.has_place(lane) {
                let Some(ticket) = self.queue_mut(lane).fair.pop() else {
                    break;
                };
                let waiting = self.forget(ticket).expect("a queued ticket waits");
                let grant = self.grant(now, lane, waiting.class);
                turns.push(Resolution::Run(ticket, grant));
            }
        }
        turns
    }

    /// Returns when the next request that waits can no longer finish.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        self.expiry.first().map(|(latest, _)| *latest)
    }

    /// Removes a ticket whose caller has gone; `false` when it waits no more.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.remove(ticket).is_some()
    }

    /// Returns how many requests run and how many wait.
    #[must_use]
    pub fn load(&self) -> (usize, usize) {
        (self.short.running + self.long.running, self.waiting.len())
    }

    /// Returns the figures of the state dump.
    #[must_use]
    pub fn summary(&self) -> Summary {
        Summary {
            limit: self.limit.get(),
            running: self.short.running,
            running_long: self.long.running,
            waiting: self.short.fair.len(),
            waiting_long: self.long.fair.len(),
        }
    }

    fn queue(&self, lane: Lane) -> &Queue {
        match lane {
            Lane::Short => &self.short,
            Lane::Long => &self.long,
        }
    }

    fn queue_mut(&mut self, lane: Lane) -> &mut Queue {
        match lane {
            Lane::Short => &mut self.short,
            Lane::Long => &mut self.long,
        }
    }

    /// Places that the lane may hold at present.
    fn places(&self, lane: Lane) -> usize {
        let limit = self.limit.get();
        let share = |share: f64| whole(float(limit) * share).max(1);
        match lane {
            Lane::Long => share(self.thresholds.long_share),
            Lane::Short => {
                let floor = if self.long.fair.is_empty() {
                    0
                } else {
                    share(self.thresholds.long_floor)
                };
                limit.saturating_sub(self.long.running.max(floor)).max(1)
            }
        }
    }

    fn has_place(&self, lane: Lane) -> bool {
        let all = self.short.running + self.long.running;
        let free = match lane {
            // The floor of long work is kept free by the short lane's own
            // bound, so long work is not held up by the sum.
            Lane::Long => all < self.limit.get().max(2),
            Lane::Short => true,
        };
        free && self.queue(lane).running < self.places(lane)
    }

    fn grant(&mut self, now: Instant, lane: Lane, class: Option<key::Class>) -> Grant {
        self.queue_mut(lane).running += 1;
        Grant {
            class,
            lane,
            start: now,
        }
    }

    /// Seconds that a request of this class is expected to run.
    fn expected_s(&self, class: Option<key::Class>, lane: Lane) -> f64 {
        let lane_s = self
            .queue(lane)
            .service
            .upper(self.thresholds.margin, Self::FIRST_GUESS_S);
        let mean = class.and_then(|class| self.classes.get(class));
        mean.map_or(lane_s, |mean| mean.upper(self.thresholds.margin, lane_s))
    }

    /// Seconds that a request of this flow is expected to wait: what its
    /// organisation has ahead of it, at the organisation's share of the rate
    /// at which the lane's places become free (Little's law).
    fn wait_s(&self, lane: Lane, flow: Flow) -> f64 {
        let queue = self.queue(lane);
        let rate = float(self.places(lane)) / queue.service.value.max(1e-6);
        let ahead = float(queue.fair.ahead(flow) + 1);
        ahead / (rate * queue.fair.share(flow))
    }

    /// Whether the organisation's part of the queue is full. Each has its
    /// weighted part, so that a greedy one cannot fill the others' too.
    fn is_full(&self, lane: Lane, flow: Flow) -> bool {
        let fair = &self.queue(lane).fair;
        let part = float(self.thresholds.queue_length) * fair.share(flow);
        fair.waiting(flow.organisation) >= whole(part).max(1)
    }

    fn enqueue(
        &mut self,
        flow: Flow,
        lane: Lane,
        class: Option<key::Class>,
        latest: Instant,
    ) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        self.queue_mut(lane).fair.push(flow, ticket);
        self.expiry.insert((latest, ticket));
        let waiting = Waiting {
            flow,
            lane,
            class,
            latest,
        };
        self.waiting.insert(ticket, waiting);
        ticket
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.forget(ticket)?;
        let removed = self
            .queue_mut(waiting.lane)
            .fair
            .remove(waiting.flow, ticket);
        assert!(removed, "a request waits that is in no queue");
        Some(waiting)
    }

    fn forget(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        self.expiry.remove(&(waiting.latest, ticket));
        Some(waiting)
    }

    /// The caller may come back once the present backlog is gone, at a random
    /// moment within as long again: at one moment the crowd would only meet
    /// itself.
    fn refusal<R: Rng>(
        &self,
        now: Instant,
        reason: Reason,
        lane: Lane,
        flow: Flow,
        rng: &mut R,
    ) -> Refusal {
        let most = self.thresholds.max_retry_after_s;
        let least_s = self.wait_s(lane, flow).clamp(1.0, (most / 2.0).max(1.0));
        let spread_s = rng.random::<f64>() * least_s;
        let retry_at = now + seconds((least_s + spread_s).min(most.max(1.0)));
        Refusal { reason, retry_at }
    }
}

fn micros(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
