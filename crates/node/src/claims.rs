//! Claims of non-idempotent calls in the store.
//!
//! Blocking threads that run [`fescuerack_core::claim`] take a claim and record
//! its outcome. An outcome that cannot be recorded while the caller waits goes
//! to a backlog. So if the store fails in the middle of a call, the outcome is
//! recorded as soon as the store is back.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use fescuerack_client::Store as _;
use fescuerack_client::drive::{self, Timer as _};
use fescuerack_core::claim::{Claim, Claiming, Name, Outcome, RETENTION_MS, Recording, State};
use fescuerack_core::clock::Instant;

use crate::node_state::{NodeState, lock};
use crate::stop::Stop;

/// Milliseconds for which new claims share a lease. Then a new one is granted,
/// which costs one call per hour and instance.
const LEASE_SHARING_MS: u64 = 3_600_000;
/// Milliseconds for which the caller waits until its answer is recorded.
const RECORD_TIMEOUT_MS: u64 = 1_000;
/// Milliseconds for which the backlog tries to record an outcome after that.
const BACKLOG_RETENTION_MS: u64 = 30 * 60_000;
/// Milliseconds that one attempt of the backlog may take.
const BACKLOG_ATTEMPT_MS: u64 = 1_000;
/// Maximum size of the backlog in bytes.
const MAX_BACKLOG_BYTES: usize = 4 << 20;
/// One in this many permits may be held by requests that wait for a claim while
/// the store is unavailable.
/// The rest is left to requests that need no claim.
const PERMITS_PER_WAITING_CLAIM: usize = 4;

/// A record that is still to be written.
#[derive(Clone, Debug)]
enum Job {
    /// Outcome of a claimed call.
    Outcome { claim: Claim, state: State },
    /// A claim that was given up, but that the store may have taken.
    Unconfirmed {
        name: Name,
        nonce: u64,
        lease: Option<u64>,
    },
}

impl Job {
    fn size(&self) -> usize {
        /// Size in bytes of a job without an answer's body.
        const BASE_BYTES: usize = 512;
        match self {
            Self::Outcome {
                state: State::Done(answer),
                ..
            } => BASE_BYTES + answer.body.len(),
            _ => BASE_BYTES,
        }
    }

    /// Returns the state machine that writes the record.
    fn recording(&self, until: Instant) -> Recording {
        match self {
            Self::Outcome { claim, state } => Recording::new(claim, state.clone(), until),
            Self::Unconfirmed { name, nonce, lease } => {
                Recording::with_unconfirmed(name.clone(), *nonce, *lease, until)
            }
        }
    }
}

/// Backlog of claims in one process, with the lease that new claims share.
#[derive(Debug, Default)]
pub struct Queue {
    /// Lease of new claims, and until when they share it.
    lease: Mutex<Option<(u64, Instant)>>,
    /// Records to write, each with the time when it is given up.
    backlog: Mutex<VecDeque<(Instant, Job)>>,
    added: Condvar,
    /// Number of calls that wait for a claim.
    waiting: AtomicUsize,
}

impl Queue {
    /// Returns the number of records that are still to be written.
    pub fn backlog(&self) -> usize {
        lock(&self.backlog).len()
    }

    fn push(&self, shared: &NodeState, until: Instant, job: Job) {
        let mut backlog = lock(&self.backlog);
        let bytes: usize = backlog.iter().map(|(_, job)| job.size()).sum();
        if bytes + job.size() > MAX_BACKLOG_BYTES {
            // The record in the store stays in the state "running" and later
            // counts as unknown. That is true, although less precise than the
            // outcome.
            shared.metrics.count("claim.backlog_full");
            return;
        }
        backlog.push_back((until, job));
        self.added.notify_one();
    }

    /// Removes the first job; waits up to `wait` for one.
    fn pop(&self, wait: Duration) -> Option<(Instant, Job)> {
        let backlog = lock(&self.backlog);
        let (mut backlog, _) = self
            .added
            .wait_timeout_while(backlog, wait, |backlog| backlog.is_empty())
            .unwrap_or_else(PoisonError::into_inner);
        backlog.pop_front()
    }
}

/// Returns the lease that removes a new claim after its retention.
fn lease(shared: &NodeState) -> Option<u64> {
    let now = shared.wall.now();
    let mut current = lock(&shared.claims.lease);
    if let Some((id, until)) = *current
        && now < until
    {
        return Some(id);
    }
    let ttl = Duration::from_millis(RETENTION_MS + LEASE_SHARING_MS);
    if let Ok(lease) = shared.store.grant(ttl) {
        *current = Some((lease.id, now.plus_millis(LEASE_SHARING_MS)));
    } else {
        shared.metrics.count("claim.lease_failed");
    }
    // If no new lease was granted, the old one is used and the claim is retained
    // for a shorter time.
    current.map(|(id, _)| id)
}

/// Claims `name`; while the store is unavailable, tries until `deadline`.
pub fn claim(shared: &NodeState, name: &Name, deadline: Instant) -> Outcome {
    let max_waiting = (shared.settings.limits.concurrency / PERMITS_PER_WAITING_CLAIM).max(1);
    let waiting = shared.claims.waiting.fetch_add(1, Ordering::SeqCst);
    let outcome = if waiting < max_waiting {
        try_claim(shared, name, deadline)
    } else {
        shared.metrics.count("claim.too_many");
        Outcome::StoreUnavailable { may_be_held: false }
    };
    shared.claims.waiting.fetch_sub(1, Ordering::SeqCst);
    outcome
}

fn try_claim(shared: &NodeState, name: &Name, deadline: Instant) -> Outcome {
    let remaining = deadline.since(shared.now());
    let until = shared.wall.now() + remaining;
    let nonce = shared.random();
    let lease = lease(shared);
    let mut machine = Claiming::new(name.clone(), nonce, until, lease);
    let outcome = drive::run(&shared.store, &shared.wall, &mut machine);
    if let Outcome::StoreUnavailable { may_be_held } = outcome {
        shared.metrics.count("claim.out");
        if may_be_held {
            let name = name.clone();
            let job = Job::Unconfirmed { name, nonce, lease };
            let until = shared.wall.now().plus_millis(BACKLOG_RETENTION_MS);
            shared.claims.push(shared, until, job);
        }
    }
    outcome
}

/// Returns whether a claimed call may still be sent: its deadline has not
/// passed. A process that was paused between claim and send must not send a call
/// whose outcome other instances already report as unknown.
pub fn may_send(shared: &NodeState, claim: &Claim) -> bool {
    shared.wall.now() < claim.record.deadline
}

/// Records the outcome of a claimed call. Returns after [`RECORD_TIMEOUT_MS`] at
/// the latest and leaves a record that was not written to the backlog.
pub fn record(shared: &NodeState, claim: &Claim, state: State) {
    let now = shared.wall.now();
    let mut machine = Recording::new(claim, state.clone(), now.plus_millis(RECORD_TIMEOUT_MS));
    if !drive::run(&shared.store, &shared.wall, &mut machine) {
        shared.metrics.count("claim.record_late");
        let claim = claim.clone();
        let job = Job::Outcome { claim, state };
        shared
            .claims
            .push(shared, now.plus_millis(BACKLOG_RETENTION_MS), job);
    }
}

/// Writes the records of the backlog until `stop` is set.
pub fn run(shared: &Arc<NodeState>, stop: &Stop) {
    while !stop.wait(Duration::ZERO) {
        record_next(shared, Duration::from_millis(BACKLOG_ATTEMPT_MS));
    }
}

/// Tries to write the first record of the backlog, waiting up to `wait` for one;
/// returns whether the backlog is empty.
pub fn record_next(shared: &NodeState, wait: Duration) -> bool {
    let Some((until, job)) = shared.claims.pop(wait) else {
        return true;
    };
    let attempt_end = shared.wall.now().plus_millis(BACKLOG_ATTEMPT_MS);
    let mut machine = job.recording(attempt_end.min(until));
    if !drive::run(&shared.store, &shared.wall, &mut machine) {
        if shared.wall.now() < until {
            shared.claims.push(shared, until, job);
        } else {
            shared.metrics.count("claim.never_recorded");
        }
    }
    shared.claims.backlog() == 0
}
