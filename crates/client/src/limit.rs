//! Rate limit, adaptive time-out and counters of calls to the key-value service.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use fescuerack_core::clock::Instant;
use fescuerack_core::store::{Budget, Lane, Rate};

use crate::Fault;

/// Minimum time-out of a call. A healthy service answers well within this time.
const MIN_TIMEOUT_MS: u64 = 2_000;
/// Maximum time-out of a call. A degraded service that answers after 5 s must remain usable: with a
/// time-out below its latency, calls would take effect, but none could be confirmed.
const MAX_TIMEOUT_MS: u64 = 10_000;
/// Maximum time that a call waits for its token.
const MAX_TOKEN_WAIT: Duration = Duration::from_secs(2);

/// Numbers of calls, by kind and result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct CallCounts {
    /// Reads, watches and leases.
    pub reads: u64,
    /// Writes, including those of the ledger.
    pub writes: u64,
    /// Calls that were delayed or rejected for lack of a token.
    pub held_back: u64,
    /// Calls without an HTTP response.
    pub failed: u64,
}

/// State shared by all clones of one client of the service.
#[derive(Debug)]
pub struct CallLimiter {
    started: std::time::Instant,
    budget: Mutex<Option<Budget>>,
    timeout_ms: AtomicU64,
    reads: AtomicU64,
    writes: AtomicU64,
    held_back: AtomicU64,
    failed: AtomicU64,
}

impl CallLimiter {
    /// Creates a limiter without a rate limit, as operators' tools use it.
    pub fn new() -> Self {
        Self {
            started: std::time::Instant::now(),
            budget: Mutex::new(None),
            timeout_ms: AtomicU64::new(MIN_TIMEOUT_MS),
            reads: AtomicU64::new(0),
            writes: AtomicU64::new(0),
            held_back: AtomicU64::new(0),
            failed: AtomicU64::new(0),
        }
    }

    fn now(&self) -> Instant {
        Instant::ORIGIN + self.started.elapsed()
    }

    /// Limits the rate to the share of one of `nodes` instances.
    pub fn set_node_count(&self, nodes: u32) {
        let now = self.now();
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget
            .get_or_insert_with(|| Budget::new(Rate::FLEET, nodes, now))
            .set_node_count(nodes);
    }

    /// Waits for a token and counts the call.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::NotSent`] if no token becomes available within `MAX_TOKEN_WAIT`.
    pub fn acquire(&self, lane: Lane) -> Result<(), Fault> {
        let now = self.now();
        let at = {
            let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
            let Some(budget) = budget.as_mut() else {
                self.count(lane);
                return Ok(());
            };
            let at = budget.take(now, lane);
            if at.since(now) > MAX_TOKEN_WAIT {
                budget.give_back(lane);
                self.held_back.fetch_add(1, Ordering::Relaxed);
                return Err(Fault::NotSent(
                    "rate limit of this instance exceeded".to_owned(),
                ));
            }
            at
        };
        if at > now {
            self.held_back.fetch_add(1, Ordering::Relaxed);
            std::thread::sleep(at.since(now));
        }
        self.count(lane);
        Ok(())
    }

    fn count(&self, lane: Lane) {
        let counter = match lane {
            Lane::Read => &self.reads,
            Lane::Write | Lane::Ledger => &self.writes,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the time-out of the next call.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms.load(Ordering::Relaxed))
    }

    /// Adapts the time-out to a call that took `elapsed`; `is_answered` is whether a response was
    /// received.
    ///
    /// The time-out doubles after a call that timed out, and is halved after a call that was
    /// answered in less than an eighth of it.
    pub fn record_call(&self, elapsed: Duration, is_answered: bool) {
        let timeout = self.timeout_ms.load(Ordering::Relaxed);
        let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        let next = if is_answered && elapsed_ms * 8 < timeout {
            timeout / 2
        } else if !is_answered && elapsed_ms >= timeout {
            timeout * 2
        } else {
            timeout
        };
        let next = next.clamp(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS);
        self.timeout_ms.store(next, Ordering::Relaxed);
        if !is_answered {
            self.failed.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the numbers of calls so far.
    pub fn call_counts(&self) -> CallCounts {
        CallCounts {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            held_back: self.held_back.load(Ordering::Relaxed),
            failed: self.failed.load(Ordering::Relaxed),
        }
    }
}
