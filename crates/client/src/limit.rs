//! Rate, deadline and counts of calls to the key-value service.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use fescuerack_core::clock::Instant;
use fescuerack_core::store::{Budget, Lane, Rate};

use crate::Fault;

/// Time within which a call is answered by a service in good order, with a
/// wide margin.
const LEAST_TIMEOUT_MS: u64 = 2_000;
/// Longest time that a call waits. A slow service that answers after 5 s must
/// still be usable: with a fixed time-out every call would take effect and
/// none would ever be known to.
const LARGEST_TIMEOUT_MS: u64 = 10_000;
/// Longest time that a call waits for its token.
const LONGEST_WAIT: Duration = Duration::from_secs(2);

/// Calls that were made, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct CallCounts {
    /// Reads, watches and leases.
    pub reads: u64,
    /// Writes, the ledger's included.
    pub writes: u64,
    /// Calls that were held back for lack of a token.
    pub held_back: u64,
    /// Calls without a usable answer.
    pub failed: u64,
}

/// What all users of one client share.
#[derive(Debug)]
pub struct Limit {
    started: std::time::Instant,
    budget: Mutex<Option<Budget>>,
    timeout_ms: AtomicU64,
    reads: AtomicU64,
    writes: AtomicU64,
    held_back: AtomicU64,
    failed: AtomicU64,
}

impl Limit {
    /// Returns no limit of the rate: for an operator's tool.
    pub fn new() -> Self {
        Self {
            started: std::time::Instant::now(),
            budget: Mutex::new(None),
            timeout_ms: AtomicU64::new(LEAST_TIMEOUT_MS),
            reads: AtomicU64::new(0),
            writes: AtomicU64::new(0),
            held_back: AtomicU64::new(0),
            failed: AtomicU64::new(0),
        }
    }

    fn now(&self) -> Instant {
        Instant::ORIGIN + self.started.elapsed()
    }

    /// Keeps to the share of one of `nodes` instances.
    pub fn set_node_count(&self, nodes: u32) {
        let now = self.now();
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget
            .get_or_insert_with(|| Budget::new(Rate::FLEET, nodes, now))
            .set_node_count(nodes);
    }

    /// Waits for a token.
    pub fn enter(&self, lane: Lane) -> Result<(), Fault> {
        let now = self.now();
        let at = {
            let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
            let Some(budget) = budget.as_mut() else {
                self.count(lane);
                return Ok(());
            };
            let at = budget.take(now, lane);
            if at.since(now) > LONGEST_WAIT {
                budget.give_back(lane);
                self.held_back.fetch_add(1, Ordering::Relaxed);
                return Err(Fault::NotSent("over the rate of this instance".to_owned()));
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

    /// Returns the time within which the next call must be answered.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms.load(Ordering::Relaxed))
    }

    /// Learns from a call that took `took`; `answered` says whether an answer
    /// came.
    pub fn learn(&self, took: Duration, answered: bool) {
        let timeout = self.timeout_ms.load(Ordering::Relaxed);
        let took_ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
        let next = if answered && took_ms * 8 < timeout {
            timeout / 2
        } else if !answered && took_ms >= timeout {
            timeout * 2
        } else {
            timeout
        };
        let next = next.clamp(LEAST_TIMEOUT_MS, LARGEST_TIMEOUT_MS);
        self.timeout_ms.store(next, Ordering::Relaxed);
        if !answered {
            self.failed.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the calls that were made.
    pub fn call_counts(&self) -> CallCounts {
        CallCounts {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            held_back: self.held_back.load(Ordering::Relaxed),
            failed: self.failed.load(Ordering::Relaxed),
        }
    }
}
