//! Keeps claims in the store.
//!
//! A claim is taken and recorded by blocking threads that run
//! [`fescuerack_core::claim`]. What cannot be recorded while the caller waits
//! goes to a backlog, so that an outage of the store that begins in the middle
//! of a run leaves its record behind as soon as it ends.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use fescuerack_client::Store as _;
use fescuerack_client::drive::{self, Timer as _};
use fescuerack_core::claim::{Claim, Claiming, Name, Outcome, RETENTION_MS, Recording, State};
use fescuerack_core::clock::Instant;

use crate::shared::{Shared, lock};
use crate::stop::Stop;

/// Milliseconds for which a new claim takes the lease at hand; after that a
/// new lease is granted, which costs the fleet one call an hour and instance.
const LEASE_USE_MS: u64 = 3_600_000;
/// Milliseconds for which the caller waits for its answer to be recorded.
const RECORD_MS: u64 = 1_000;
/// Milliseconds for which recording is tried after that.
const BACKLOG_MS: u64 = 30 * 60_000;
/// Milliseconds that one try of the backlog takes.
const SLICE_MS: u64 = 1_000;
/// Bytes of the backlog.
const LARGEST_BACKLOG: usize = 4 << 20;
/// One in so many places may wait for a claim while the store is out. The rest
/// is left to requests that need no claim.
const WAITING_SHARE: usize = 4;

/// What is still to be recorded.
#[derive(Clone, Debug)]
enum Job {
    /// How a run ended.
    End { claim: Claim, state: State },
    /// A claim that was given up and may stand.
    Lost {
        name: Name,
        nonce: u64,
        lease: Option<u64>,
    },
}

impl Job {
    fn size(&self) -> usize {
        const FIELDS: usize = 512;
        match self {
            Self::End {
                state: State::Done(answer),
                ..
            } => FIELDS + answer.body.len(),
            _ => FIELDS,
        }
    }

    fn machine(&self, until: Instant) -> Recording {
        match self {
            Self::End { claim, state } => Recording::new(claim, state.clone(), until),
            Self::Lost { name, nonce, lease } => {
                Recording::with_unconfirmed(name.clone(), *nonce, *lease, until)
            }
        }
    }
}

/// State of claims in one process.
#[derive(Debug, Default)]
pub struct Queue {
    lease: Mutex<Option<(u64, Instant)>>,
    backlog: Mutex<VecDeque<(Instant, Job)>>,
    added: Condvar,
    waiting: AtomicUsize,
}

impl Queue {
    /// Returns how many ends are still to be recorded.
    pub fn backlog(&self) -> usize {
        lock(&self.backlog).len()
    }

    fn push(&self, shared: &Shared, until: Instant, job: Job) {
        let mut backlog = lock(&self.backlog);
        let bytes: usize = backlog.iter().map(|(_, job)| job.size()).sum();
        if bytes + job.size() > LARGEST_BACKLOG {
            // The record stays running and counts as unknown: true, only less
            // than could be said.
            shared.metrics.count("claim.backlog_full");
            return;
        }
        backlog.push_back((until, job));
        self.added.notify_one();
    }

    fn pop(&self, wait: Duration) -> Option<(Instant, Job)> {
        let backlog = lock(&self.backlog);
        let (mut backlog, _) = self
            .added
            .wait_timeout_while(backlog, wait, |backlog| backlog.is_empty())
            .unwrap_or_else(PoisonError::into_inner);
        backlog.pop_front()
    }
}

/// Returns the lease with which a new claim vanishes after its retention.
fn lease(shared: &Shared) -> Option<u64> {
    let now = shared.wall.now();
    let mut held = lock(&shared.claims.lease);
    if let Some((id, until)) = *held
        && now < until
    {
        return Some(id);
    }
    let ttl = Duration::from_millis(RETENTION_MS + LEASE_USE_MS);
    if let Ok(lease) = shared.store.grant(ttl) {
        *held = Some((lease.id, now.plus_millis(LEASE_USE_MS)));
    } else {
        shared.metrics.count("claim.lease_failed");
    }
    // Without a fresh one the old one serves: the claim is kept shorter.
    held.map(|(id, _)| id)
}

/// Claims `name`, waiting while the store is out, until `deadline`.
pub fn claim(shared: &Shared, name: &Name, deadline: Instant) -> Outcome {
    let most = (shared.settings.limits.concurrency / WAITING_SHARE).max(1);
    let waiting = shared.claims.waiting.fetch_add(1, Ordering::SeqCst);
    let outcome = if waiting < most {
        take(shared, name, deadline)
    } else {
        shared.metrics.count("claim.too_many");
        Outcome::StoreUnavailable { may_be_held: false }
    };
    shared.claims.waiting.fetch_sub(1, Ordering::SeqCst);
    outcome
}

fn take(shared: &Shared, name: &Name, deadline: Instant) -> Outcome {
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
            let job = Job::Lost { name, nonce, lease };
            let until = shared.wall.now().plus_millis(BACKLOG_MS);
            shared.claims.push(shared, until, job);
        }
    }
    outcome
}

/// Returns whether a claim may still be sent: its deadline is ahead. A process
/// that was paused between claim and send must not send what others already
/// take for unknown.
pub fn may_send(shared: &Shared, claim: &Claim) -> bool {
    shared.wall.now() < claim.record.deadline
}

/// Records how a claimed request ended; returns at the latest after a second
/// and leaves the rest to the backlog.
pub fn record(shared: &Shared, claim: &Claim, state: State) {
    let now = shared.wall.now();
    let mut machine = Recording::new(claim, state.clone(), now.plus_millis(RECORD_MS));
    if !drive::run(&shared.store, &shared.wall, &mut machine) {
        shared.metrics.count("claim.record_late");
        let claim = claim.clone();
        let job = Job::End { claim, state };
        shared.claims.push(shared, now.plus_millis(BACKLOG_MS), job);
    }
}

/// Works off the backlog until `stop` is set.
pub fn run(shared: &Arc<Shared>, stop: &Stop) {
    while !stop.wait(Duration::ZERO) {
        record_next(shared, Duration::from_millis(SLICE_MS));
    }
}

/// Tries the first item of the backlog, waiting for one; returns whether the
/// backlog is empty.
pub fn record_next(shared: &Shared, wait: Duration) -> bool {
    let Some((until, job)) = shared.claims.pop(wait) else {
        return true;
    };
    let slice = shared.wall.now().plus_millis(SLICE_MS);
    let mut machine = job.machine(slice.min(until));
    if !drive::run(&shared.store, &shared.wall, &mut machine) {
        if shared.wall.now() < until {
            shared.claims.push(shared, until, job);
        } else {
            shared.metrics.count("claim.never_recorded");
        }
    }
    shared.claims.backlog() == 0
}
