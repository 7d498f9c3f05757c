//! The async side of admission: requests wait here for the core's decision and
//! are woken when it is made.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use fescuerack_config::Catalog;
use fescuerack_core::admission::{
    self, Completion, Controller, Reason, Refusal, Request, Resolution, Summary, Thresholds,
    Ticket, Verdict,
};
use fescuerack_core::clock::Instant;
use fescuerack_core::num;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::node_state::lock;

type Decision = Result<admission::Permit, Refusal>;

/// Admits requests up to a limit on those that run; shared by all connections.
#[derive(Clone, Debug)]
pub struct Gate {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug)]
struct Inner {
    controller: Controller,
    rng: Pcg64Mcg,
    waiters: BTreeMap<Ticket, oneshot::Sender<Decision>>,
}

/// Holds the permit of a running request, or the place in the queue of a waiting one; dropping the
/// guard frees it for the next request.
#[derive(Debug)]
pub struct PermitGuard {
    gate: Gate,
    clock: Clock,
    status: Status,
    meter: Meter,
}

/// Status of a request, and with it what dropping its permit must release.
#[derive(Debug)]
enum Status {
    /// Runs and holds a permit of the controller.
    Running(admission::Permit),
    /// Waits for a decision.
    Waiting(Ticket, oneshot::Receiver<Decision>),
    /// Has nothing to release.
    Released,
}

/// Progress of a running request at its backend servers; shared with the thread
/// that reads their answers. Admission learns durations and its limit from it.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    inner: Arc<Progress>,
}

#[derive(Debug, Default)]
struct Progress {
    /// When the first part was received; 0 before that.
    first: AtomicU64,
    is_complete: AtomicBool,
    is_overloaded: AtomicBool,
}

impl Meter {
    /// Records that a part of the answer was received; only the first one counts.
    pub fn record_part(&self, now: Instant) {
        let order = Ordering::SeqCst;
        let _ = self.inner.first.compare_exchange(0, now.0, order, order);
    }

    /// Records that the answer is complete.
    pub fn record_complete(&self) {
        self.inner.is_complete.store(true, Ordering::SeqCst);
    }

    /// Records that a backend server refused the request or used up its time.
    pub fn record_overload(&self) {
        self.inner.is_overloaded.store(true, Ordering::SeqCst);
    }

    fn completion(&self) -> Completion {
        if self.inner.is_overloaded.load(Ordering::SeqCst) {
            return Completion::Overloaded;
        }
        let first = Instant(self.inner.first.load(Ordering::SeqCst));
        if self.inner.is_complete.load(Ordering::SeqCst) && first > Instant::ORIGIN {
            return Completion::Answered { first };
        }
        Completion::Ignored
    }
}

/// Returns the thresholds of the configuration for at most `max_running` running requests.
pub fn thresholds(max_running: usize, catalog: &Catalog) -> Thresholds {
    Thresholds {
        max_running,
        long_share: catalog.limit("admission.long-share"),
        long_floor: catalog.limit("admission.long-floor"),
        queue_length: num::whole(num::float(max_running) * catalog.limit("admission.queue")),
        slack: catalog.limit("admission.slack"),
        margin: catalog.limit("admission.margin"),
        max_retry_after_s: catalog.limit("admission.retry-seconds"),
    }
}

impl Gate {
    /// Creates a gate for at most `max_running` running requests.
    #[must_use]
    pub fn new(max_running: usize, seed: u64) -> Self {
        Self {
            inner: Arc::new(Mutex::new(Inner {
                controller: Controller::new(Thresholds::new(max_running)),
                rng: Pcg64Mcg::seed_from_u64(seed),
                waiters: BTreeMap::new(),
            })),
        }
    }

    /// Applies the thresholds of a new configuration.
    pub fn set_thresholds(&self, thresholds: Thresholds) {
        lock(&self.inner).controller.set_thresholds(thresholds);
    }

    /// Waits until the request may run.
    ///
    /// # Errors
    ///
    /// Why the caller is refused and when it may retry; nothing was run.
    pub async fn admit(&self, clock: Clock, request: &Request) -> Result<PermitGuard, Refusal> {
        let mut permit = PermitGuard {
            gate: self.clone(),
            clock,
            status: Status::Released,
            meter: Meter::default(),
        };
        permit.status = self.offer(clock.now(), request)?;
        while let Status::Waiting(_, decision) = &mut permit.status {
            // The waiter that wakes first refuses all whose deadline has passed.
            let expiry = lock(&self.inner).controller.next_expiry();
            let expiry = clock.tokio_instant(expiry.unwrap_or(request.deadline));
            match tokio::time::timeout_at(expiry, decision).await {
                Ok(Ok(Ok(running))) => permit.status = Status::Running(running),
                Ok(Ok(Err(refusal))) => {
                    permit.status = Status::Released;
                    return Err(refusal);
                }
                Ok(Err(_)) => {
                    permit.status = Status::Released;
                    let reason = Reason::TooLate;
                    let now = clock.now();
                    return Err(Refusal {
                        reason,
                        retry_at: now,
                    });
                }
                Err(_) => lock(&self.inner).wake_decided(clock.now()),
            }
        }
        Ok(permit)
    }

    fn offer(&self, now: Instant, request: &Request) -> Result<Status, Refusal> {
        let mut inner = lock(&self.inner);
        let Inner {
            controller, rng, ..
        } = &mut *inner;
        match controller.offer(now, request, rng) {
            Verdict::Run(permit) => Ok(Status::Running(permit)),
            Verdict::Refuse(refusal) => Err(refusal),
            Verdict::Wait(ticket) => {
                let (sender, decision) = oneshot::channel();
                inner.waiters.insert(ticket, sender);
                Ok(Status::Waiting(ticket, decision))
            }
        }
    }

    /// Returns the numbers of running and of waiting requests.
    #[must_use]
    pub fn load(&self) -> (usize, usize) {
        lock(&self.inner).controller.load()
    }

    /// Returns the figures for the state dump.
    #[must_use]
    pub fn summary(&self) -> Summary {
        lock(&self.inner).controller.summary()
    }
}

impl PermitGuard {
    /// Returns the meter that records the request's progress.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.meter.clone()
    }
}

impl Inner {
    /// Wakes all waiters whose requests have been decided. A waiter that has been
    /// cancelled returns its permit to the controller when its [`PermitGuard`] is dropped.
    fn wake_decided(&mut self, now: Instant) {
        for resolution in self.controller.poll(now, &mut self.rng) {
            let (ticket, decision) = match resolution {
                Resolution::Run(ticket, permit) => (ticket, Ok(permit)),
                Resolution::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            if let Some(sender) = self.waiters.remove(&ticket) {
                let _ = sender.send(decision);
            }
        }
    }
}

impl Drop for PermitGuard {
    fn drop(&mut self) {
        let mut inner = lock(&self.gate.inner);
        let now = self.clock.now();
        match std::mem::replace(&mut self.status, Status::Released) {
            Status::Released => return,
            Status::Running(permit) => {
                inner
                    .controller
                    .finish(now, permit, self.meter.completion());
            }
            Status::Waiting(ticket, mut decision) => {
                inner.waiters.remove(&ticket);
                if inner.controller.cancel(ticket) {
                    return;
                }
                // The decision was sent under this lock but not yet received.
                match decision.try_recv() {
                    Ok(Ok(permit)) => inner.controller.finish(now, permit, Completion::Ignored),
                    Ok(Err(_)) | Err(_) => return,
                }
            }
        }
        inner.wake_decided(now);
    }
}
