//! What is known of one key, for it and against it.

use super::blame::{REFUSAL_WEIGHT, Weight};
use super::permit::PERMIT_ENDS;
use super::report::MarkedCrash;
use super::{CRASH_LIMIT, PROOF_MS, RETENTION_MS};
use crate::clock::Instant;

/// Maximum number of crashes that are kept: more than it takes to refuse a key at any weight that
/// tells anything.
const MAX_CRASHES: usize = 16;
/// Maximum number of milliseconds for which a key is refused.
const MAX_REFUSAL_MS: u64 = 3_600_000;
/// Milliseconds after a refusal has begun in which crashes do not prolong it: of runs that had
/// begun before all nodes knew.
const SETTLING_MS: u64 = 10_000;
/// Milliseconds after the first crash in which the owners of a key, who know of all proofs, say what
/// they know of it. Then this node decides by what it has seen itself.
const OWNERS_MS: u64 = 1_500;
/// Milliseconds after which twice as many nodes may make a trial.
pub(super) const TRIAL_STEP_MS: u64 = 2_000;
/// Milliseconds between two trials of a node, in which the first is written on or known to have
/// failed.
const TRIAL_INTERVAL_MS: u64 = 2_000;
/// Trials begin at one node of as many.
const TRIAL_NODES: u64 = 1_024;

/// A crash of a server under a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Crash {
    /// Short identifier of the server's start.
    pub(super) server: u32,
    pub(super) at: Instant,
    pub(super) weight: Weight,
}

/// Whether requests with a key may be sent to servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    /// They may.
    Served,
    /// They may not before the given time.
    Refused(Instant),
    /// A refusal has ended, and nothing has proved the key sound since.
    OnTrial {
        /// How many of [`TRIAL_NODES`] nodes may send one.
        nodes: u64,
        /// When this node may send the next one.
        next_at: Instant,
    },
}

/// What is known of a key.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    /// Crashes of different servers after the latest proof, oldest first.
    pub(super) crashes: Vec<Crash>,
    /// When the latest run began that proves it sound.
    pub(super) proved_at: Option<Instant>,
    /// Whether peers have told of the key, or this node is an owner of it.
    pub(super) is_shared: bool,
    /// How often it has been refused since.
    refusals: u32,
    refused_since: Instant,
    refused_until: Instant,
    /// When this node may make the next trial.
    next_trial_at: Instant,
}

impl Record {
    /// Creates the record of a key of which nothing is known but a proof.
    pub(super) fn new(proved_at: Option<Instant>) -> Self {
        Self {
            proved_at,
            ..Self::default()
        }
    }

    /// Returns when the last server crashed.
    pub(super) fn last_at(&self) -> Instant {
        let times = self.crashes.iter().map(|crash| crash.at);
        times.max().unwrap_or_default()
    }

    /// Whether it has been refused, and nothing has proved it sound since.
    pub(super) const fn was_refused(&self) -> bool {
        self.refusals > 0
    }

    /// Whether nothing of it counts any more, unless it was refused before.
    pub(super) fn is_over(&self, now: Instant) -> bool {
        now >= self.refused_until && now >= self.last_at().plus_millis(RETENTION_MS)
    }

    /// Whether a proof is so recent that the key is not refused.
    pub(super) fn is_just_proved(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now < at.plus_millis(PROOF_MS);
        self.proved_at.is_some_and(is_recent)
    }

    /// Records that a run which began at `began` proves the key sound. Earlier crashes are not its
    /// fault.
    pub(super) fn prove(&mut self, began: Instant) {
        if self.proved_at.is_some_and(|known| began <= known) {
            return;
        }
        self.proved_at = Some(began);
        self.crashes.retain(|crash| crash.at > began);
        if began > self.refused_since {
            self.refusals = 0;
            self.refused_until = Instant::ORIGIN;
        }
    }

    /// Returns the crash of a server that is known already.
    pub(super) fn known(&mut self, server: u32) -> Option<&mut Crash> {
        let mut crashes = self.crashes.iter_mut();
        crashes.find(|crash| crash.server == server)
    }

    /// Inserts a crash of another server than before, or one that says more of it; returns whether it
    /// is one. Several runs of a key may end with one server, and the clearest counts.
    pub(super) fn insert(&mut self, now: Instant, crash: Crash) -> bool {
        if let Some(known) = self.known(crash.server) {
            let says_more = crash.weight > known.weight;
            known.weight = known.weight.max(crash.weight);
            return says_more;
        }
        if self.proved_at.is_some_and(|began| crash.at <= began) {
            return false;
        }
        if self.refusals == 0 {
            let is_kept = |crash: &Crash| now < crash.at.plus_millis(RETENTION_MS);
            self.crashes.retain(is_kept);
        }
        if self.crashes.len() >= MAX_CRASHES {
            let mut crashes = self.crashes.iter();
            let weightless = crashes.position(|crash| crash.weight == Weight::default());
            self.crashes.remove(weightless.unwrap_or_default());
        }
        self.crashes.push(crash);
        true
    }

    /// Begins a refusal if `at` is a crash that calls for one: the last that it takes, or one after
    /// the refusal before.
    pub(super) fn refuse(&mut self, at: Instant, is_convicted: bool) {
        let is_due = if self.refusals == 0 {
            is_convicted
        } else {
            at >= self.refused_since.plus_millis(SETTLING_MS)
        };
        if is_due {
            let refusal_ms = RETENTION_MS << self.refusals.min(16);
            self.refusals += 1;
            self.refused_since = at;
            self.refused_until = at.plus_millis(refusal_ms.min(MAX_REFUSAL_MS));
        }
    }

    /// Returns whether requests may be sent, if the crashes that count `are_enough`.
    pub(super) fn standing(&self, now: Instant, are_enough: bool) -> Standing {
        if self.refusals == 0 || !are_enough || self.is_just_proved(now) {
            return Standing::Served;
        }
        let first_at = self.crashes.first().map(|crash| crash.at);
        let is_awaited = |at: Instant| now < at.plus_millis(OWNERS_MS);
        if !self.is_shared && first_at.is_some_and(is_awaited) {
            return Standing::Served;
        }
        if now < self.refused_until {
            return Standing::Refused(self.refused_until);
        }
        let steps = now.millis_since(self.refused_until) / TRIAL_STEP_MS;
        Standing::OnTrial {
            nodes: 1_u64
                .checked_shl(u32::try_from(steps).unwrap_or(u32::MAX))
                .map_or(TRIAL_NODES, |nodes| nodes.min(TRIAL_NODES)),
            next_at: self.next_trial_at,
        }
    }

    /// Records that this node makes a trial.
    pub(super) fn try_again(&mut self, now: Instant) {
        self.next_trial_at = now.plus_millis(TRIAL_INTERVAL_MS);
    }
}

/// Returns whether crashes are enough to refuse a key. Those without weight only call for permits.
pub(super) fn are_enough(crashes: &[Crash]) -> bool {
    let weights = || crashes.iter().map(|crash| crash.weight);
    let telling = weights().filter(|weight| *weight > Weight::default());
    telling.count() >= CRASH_LIMIT && Weight::sum(weights()) >= REFUSAL_WEIGHT
}

/// Returns the newest `crashes` as peers are told of them: as few as it takes to refuse their key, with the
/// weight of all, or else as few as it takes for runs with it to need permits.
pub(super) fn newest(crashes: &[Crash], now: Instant) -> Vec<MarkedCrash> {
    let is_refused = are_enough(crashes);
    let count = if is_refused { CRASH_LIMIT } else { PERMIT_ENDS };
    let (earlier, newest) = crashes.split_at(crashes.len().saturating_sub(count));
    let mut marked: Vec<MarkedCrash> = newest
        .iter()
        .map(|crash| MarkedCrash {
            server: crash.server,
            age_ms: now.millis_since(crash.at),
            weight: crash.weight,
        })
        .collect();
    if let Some(oldest) = marked.first_mut().filter(|_| is_refused) {
        let earlier = earlier.iter().map(|crash| crash.weight);
        oldest.weight = Weight::sum(earlier.chain([oldest.weight]));
    }
    marked
}

/// Returns whether the node with the hash `node` is among those that may make a trial of a key.
pub(super) const fn may_try(node: u64, key: u64, nodes: u64) -> bool {
    crate::gateway::affinity::mix(node ^ key) % TRIAL_NODES < nodes
}
