//! The gate before the core's admission queue: wakes those who wait.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use fescuerack_core::admission::{Queue, Ticket, Verdict};
use fescuerack_core::clock::Instant;
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::shared::lock;

/// Lets requests in.
#[derive(Clone, Debug)]
pub struct Gate {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug)]
struct Inner {
    queue: Queue,
    waiters: BTreeMap<Ticket, oneshot::Sender<()>>,
}

/// A place of a running request; dropping it lets the next one in.
#[derive(Debug)]
pub struct Place {
    gate: Gate,
    clock: Clock,
    waiting: Option<Ticket>,
}

impl Gate {
    /// Creates a gate before `places` places.
    #[must_use]
    pub fn new(places: usize) -> Self {
        Self {
            inner: Arc::new(Mutex::new(Inner {
                queue: Queue::new(places),
                waiters: BTreeMap::new(),
            })),
        }
    }

    /// Waits for a place.
    ///
    /// # Errors
    ///
    /// The time at which the caller may return.
    pub async fn enter(&self, clock: Clock, deadline: Instant) -> Result<Place, Instant> {
        let now = clock.now();
        let (verdict, turn) = self.offer(now, deadline);
        let mut place = Place {
            gate: self.clone(),
            clock,
            waiting: None,
        };
        match verdict {
            Verdict::Run => Ok(place),
            Verdict::Refuse(retry) => {
                std::mem::forget(place);
                Err(retry)
            }
            Verdict::Wait(ticket) => {
                // From here on dropping the place gives the ticket back, also
                // when the caller goes away while it waits.
                place.waiting = Some(ticket);
                match tokio::time::timeout_at(clock.tokio(deadline), turn).await {
                    Ok(Ok(())) => {
                        place.waiting = None;
                        Ok(place)
                    }
                    Ok(Err(_)) | Err(_) => Err(clock.now()),
                }
            }
        }
    }

    fn offer(&self, now: Instant, deadline: Instant) -> (Verdict, oneshot::Receiver<()>) {
        let (waker, turn) = oneshot::channel();
        let mut inner = lock(&self.inner);
        let verdict = inner.queue.offer(now, deadline);
        if let Verdict::Wait(ticket) = verdict {
            inner.waiters.insert(ticket, waker);
        }
        (verdict, turn)
    }

    /// Returns how many requests run and how many wait.
    #[must_use]
    pub fn load(&self) -> (usize, usize) {
        lock(&self.inner).queue.load()
    }
}

impl Inner {
    /// Frees a place and wakes whoever takes it. A waiter that has gone passes
    /// its turn on when its [`Place`] is dropped.
    fn finish(&mut self, now: Instant) {
        if let Some(ticket) = self.queue.finish(now)
            && let Some(waker) = self.waiters.remove(&ticket)
        {
            let _ = waker.send(());
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut inner = lock(&self.gate.inner);
        if let Some(ticket) = self.waiting {
            inner.waiters.remove(&ticket);
            if inner.queue.cancel(ticket) {
                return;
            }
        }
        inner.finish(self.clock.now());
    }
}
