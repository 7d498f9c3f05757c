//! The gate before the core's admission: wakes those who wait.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use fescuerack_config::Catalog;
use fescuerack_core::admission::{
    Completion, Controller, Grant, Reason, Refusal, Request, Resolution, Summary, Thresholds,
    Ticket, Verdict,
};
use fescuerack_core::clock::Instant;
use fescuerack_core::num;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::shared::lock;

type Answer = Result<Grant, Refusal>;

/// Lets requests in.
#[derive(Clone, Debug)]
pub struct Gate {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug)]
struct Inner {
    control: Controller,
    rng: Pcg64Mcg,
    waiters: BTreeMap<Ticket, oneshot::Sender<Answer>>,
}

/// A place of a running request; dropping it lets the next one in.
#[derive(Debug)]
pub struct Place {
    gate: Gate,
    clock: Clock,
    held: Held,
    meter: Meter,
}

#[derive(Debug)]
enum Held {
    /// Runs.
    Grant(Grant),
    /// Waits for its turn.
    Turn(Ticket, oneshot::Receiver<Answer>),
    /// Has nothing to give back.
    Nothing,
}

/// What a running request tells of the runners; shared with the thread that
/// reads them.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    inner: Arc<Marks>,
}

#[derive(Debug, Default)]
struct Marks {
    first: AtomicU64,
    whole: AtomicBool,
    overloaded: AtomicBool,
}

impl Meter {
    /// Records that a part of the answer came; only the first one counts.
    pub fn part(&self, now: Instant) {
        let none = Ordering::SeqCst;
        let _ = self.inner.first.compare_exchange(0, now.0, none, none);
    }

    /// Records that the answer is whole.
    pub fn whole(&self) {
        self.inner.whole.store(true, Ordering::SeqCst);
    }

    /// Records that a runner refused the request or ran out of its time.
    pub fn overloaded(&self) {
        self.inner.overloaded.store(true, Ordering::SeqCst);
    }

    fn ended(&self) -> Completion {
        if self.inner.overloaded.load(Ordering::SeqCst) {
            return Completion::Overloaded;
        }
        let first = Instant(self.inner.first.load(Ordering::SeqCst));
        if self.inner.whole.load(Ordering::SeqCst) && first > Instant::ORIGIN {
            return Completion::Answered { first };
        }
        Completion::Ignored
    }
}

/// Returns the thresholds that the configuration sets for `places` places.
pub fn thresholds(places: usize, catalog: &Catalog) -> Thresholds {
    Thresholds {
        places,
        long_share: catalog.limit("admission.long-share"),
        long_floor: catalog.limit("admission.long-floor"),
        queue_length: num::whole(num::float(places) * catalog.limit("admission.queue")),
        slack: catalog.limit("admission.slack"),
        margin: catalog.limit("admission.margin"),
        max_retry_after_s: catalog.limit("admission.retry-seconds"),
    }
}

impl Gate {
    /// Creates a gate before `places` places.
    #[must_use]
    pub fn new(places: usize, seed: u64) -> Self {
        Self {
            inner: Arc::new(Mutex::new(Inner {
                control: Controller::new(Thresholds::new(places)),
                rng: Pcg64Mcg::seed_from_u64(seed),
                waiters: BTreeMap::new(),
            })),
        }
    }

    /// Takes over thresholds that a new configuration brings.
    pub fn set(&self, thresholds: Thresholds) {
        lock(&self.inner).control.set_thresholds(thresholds);
    }

    /// Waits for a place.
    ///
    /// # Errors
    ///
    /// Why and until when the caller is turned away; nothing was run.
    pub async fn enter(&self, clock: Clock, ask: &Request) -> Result<Place, Refusal> {
        let mut place = Place {
            gate: self.clone(),
            clock,
            held: Held::Nothing,
            meter: Meter::default(),
        };
        place.held = self.offer(clock.now(), ask)?;
        while let Held::Turn(_, turn) = &mut place.held {
            // Whoever wakes first turns away everyone whose time is over.
            let expiry = lock(&self.inner).control.next_expiry();
            let expiry = clock.tokio(expiry.unwrap_or(ask.deadline));
            match tokio::time::timeout_at(expiry, turn).await {
                Ok(Ok(Ok(grant))) => place.held = Held::Grant(grant),
                Ok(Ok(Err(refusal))) => {
                    place.held = Held::Nothing;
                    return Err(refusal);
                }
                Ok(Err(_)) => {
                    place.held = Held::Nothing;
                    let reason = Reason::TooLate;
                    let retry = clock.now();
                    return Err(Refusal {
                        reason,
                        retry_at: retry,
                    });
                }
                Err(_) => lock(&self.inner).turn(clock.now()),
            }
        }
        Ok(place)
    }

    fn offer(&self, now: Instant, ask: &Request) -> Result<Held, Refusal> {
        let mut inner = lock(&self.inner);
        let Inner { control, rng, .. } = &mut *inner;
        match control.offer(now, ask, rng) {
            Verdict::Run(grant) => Ok(Held::Grant(grant)),
            Verdict::Refuse(refusal) => Err(refusal),
            Verdict::Wait(ticket) => {
                let (waker, turn) = oneshot::channel();
                inner.waiters.insert(ticket, waker);
                Ok(Held::Turn(ticket, turn))
            }
        }
    }

    /// Returns how many requests run and how many wait.
    #[must_use]
    pub fn load(&self) -> (usize, usize) {
        lock(&self.inner).control.load()
    }

    /// Returns the figures of the state dump.
    #[must_use]
    pub fn summary(&self) -> Summary {
        lock(&self.inner).control.summary()
    }
}

impl Place {
    /// Returns where to record how the request goes.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.meter.clone()
    }
}

impl Inner {
    /// Tells everyone whose turn has come. A waiter that has gone gives its
    /// grant back when its [`Place`] is dropped.
    fn turn(&mut self, now: Instant) {
        for turn in self.control.poll(now, &mut self.rng) {
            let (ticket, answer) = match turn {
                Resolution::Run(ticket, grant) => (ticket, Ok(grant)),
                Resolution::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            if let Some(waker) = self.waiters.remove(&ticket) {
                let _ = waker.send(answer);
            }
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut inner = lock(&self.gate.inner);
        let now = self.clock.now();
        match std::mem::replace(&mut self.held, Held::Nothing) {
            Held::Nothing => return,
            Held::Grant(grant) => inner.control.finish(now, grant, self.meter.ended()),
            Held::Turn(ticket, mut turn) => {
                inner.waiters.remove(&ticket);
                if inner.control.cancel(ticket) {
                    return;
                }
                // It was told its turn under this lock and did not read it.
                match turn.try_recv() {
                    Ok(Ok(grant)) => inner.control.finish(now, grant, Completion::Ignored),
                    Ok(Err(_)) | Err(_) => return,
                }
            }
        }
        inner.turn(now);
    }
}
