//! Outlier detection across nodes: ejects servers that fail part of their requests.
//!
//! A server may fail four in ten requests while it reports itself healthy. When each of eighty
//! nodes sends it one request every two seconds, a single node needs several requests to
//! distinguish this from chance, and every failed request that must not be repeated is lost.
//!
//! Nodes therefore publish, together with their [`load`](super::load), how many attempts on each
//! server ended and how many failed within the last [`WINDOW_MS`]. A server whose failure share is
//! significantly above that of the **other servers of its service and version in the same
//! window** is ejected by all nodes, for a time that doubles with each ejection. A service that
//! fails on all servers causes no ejection. Missing answers do not count as failures: a busy server
//! does not answer either, and ejecting it would overload the others in the same way.

use std::collections::{BTreeMap, HashMap, VecDeque};

use super::load::Table;
use crate::clock::Instant;

/// Length of the window in which attempts are counted, in milliseconds. It is long enough to
/// contain the few attempts of a small service, and short compared with the time for which a server
/// keeps failing.
pub const WINDOW_MS: u64 = 3_000;
/// Length of one slot of the window, in milliseconds.
const SLOT_MS: u64 = 250;
/// Minimum number of failures for an ejection.
const MIN_FAILURES: u32 = 4;
/// Minimum difference between the failure share of a server and that of the others for an ejection.
const MIN_SHARE_DIFFERENCE: f64 = 0.1;
/// Standard errors that the difference must also exceed. With four servers and an evaluation every
/// quarter of a second, a healthy server is ejected at most once in ten minutes.
const MIN_STANDARD_ERRORS: f64 = 4.0;
/// Duration of the first ejection, in milliseconds. It equals the window, so that only attempts
/// after its return decide on the next ejection.
const BASE_EJECTION_MS: u64 = 3_000;
/// Longest duration of an ejection, in milliseconds.
const MAX_EJECTION_MS: u64 = 12_000;
/// Milliseconds after its return from which a server's next ejection has the base duration again.
const RESET_MS: u64 = 10_000;
/// At most one of this many servers is ejected at a time; the others must take over its load.
const SERVERS_PER_EJECTION: usize = 3;

/// Number of low bits of a packed value that hold the attempts; the failures are above them. The
/// planned 5,000 requests a second are 15,000 in a window, for all servers together.
const ATTEMPT_BITS: u32 = 16;

/// Counts of attempts on one server.
///
/// Both counts are packed into one table value, so that the sum of packed values is the packed
/// value of the sums.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Attempts that ended, including failed ones.
    pub all: u32,
    /// Attempts that failed.
    pub failed: u32,
}

impl AttemptCounts {
    /// Packs the counts into a table value. Each count saturates at its maximum.
    #[must_use]
    pub fn pack(self) -> u32 {
        let max = (1 << ATTEMPT_BITS) - 1;
        (self.failed.min(max) << ATTEMPT_BITS) + self.all.min(max)
    }

    /// Whether these are enough failures for an ejection. Fleets have thousands of servers, so the
    /// counts of all are compared only if there are such.
    #[must_use]
    pub const fn may_be_outlier(&self) -> bool {
        self.failed >= MIN_FAILURES
    }

    /// Unpacks a table value.
    #[must_use]
    pub const fn unpack(value: u32) -> Self {
        Self {
            all: value & ((1 << ATTEMPT_BITS) - 1),
            failed: value >> ATTEMPT_BITS,
        }
    }
}

/// Attempts that the local node made within the window.
#[derive(Clone, Debug, Default)]
pub struct Window {
    slots: VecDeque<(Instant, HashMap<u32, AttemptCounts>)>,
}

impl Window {
    /// Records the end of an attempt.
    pub fn observe(&mut self, now: Instant, server: u32, is_failure: bool) {
        let is_open = |slot: &(Instant, _)| now < slot.0.plus_millis(SLOT_MS);
        if !self.slots.back().is_some_and(is_open) {
            self.slots.push_back((now, HashMap::new()));
        }
        if let Some((_, slot)) = self.slots.back_mut() {
            let counts = slot.entry(server).or_default();
            counts.all += 1;
            counts.failed += u32::from(is_failure);
        }
    }

    /// Returns the packed counts within the window, by server.
    pub fn table(&mut self, now: Instant) -> Table {
        let is_expired = |slot: &(Instant, _)| now >= slot.0.plus_millis(WINDOW_MS);
        while self.slots.front().is_some_and(is_expired) {
            self.slots.pop_front();
        }
        let mut sums: BTreeMap<u32, AttemptCounts> = BTreeMap::new();
        for (&server, counts) in self.slots.iter().flat_map(|(_, slot)| slot) {
            let sum = sums.entry(server).or_default();
            sum.all += counts.all;
            sum.failed += counts.failed;
        }
        sums.into_iter()
            .map(|(server, counts)| (server, counts.pack()))
            .collect()
    }
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    until: Instant,
    duration_ms: u64,
}

/// Detector of outliers, with the servers that it has ejected.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    ejections: HashMap<u32, Ejection>,
}

impl Detector {
    /// Evaluates the servers of one service and version by the counts of all nodes, and returns the
    /// servers that are newly ejected.
    pub fn detect(
        &mut self,
        now: Instant,
        servers: &[u32],
        seen: &HashMap<u32, AttemptCounts>,
    ) -> Vec<u32> {
        self.ejections
            .retain(|_, ejection| now < ejection.until.plus_millis(RESET_MS));
        let total = servers.iter().filter_map(|server| seen.get(server));
        let total = total.fold(AttemptCounts::default(), |sum, counts| AttemptCounts {
            all: sum.all + counts.all,
            failed: sum.failed + counts.failed,
        });
        let mut capacity = servers.len() / SERVERS_PER_EJECTION;
        capacity = capacity.saturating_sub(
            servers
                .iter()
                .filter(|one| self.is_ejected(now, **one))
                .count(),
        );
        let mut ejected = Vec::new();
        for &server in servers {
            let Some(&own) = seen.get(&server) else {
                continue;
            };
            let others = AttemptCounts {
                all: total.all - own.all,
                failed: total.failed - own.failed,
            };
            if ejected.len() < capacity && !self.is_ejected(now, server) && is_worse(own, others) {
                self.eject(now, server);
                ejected.push(server);
            }
        }
        ejected
    }

    /// Whether a server is ejected.
    #[must_use]
    pub fn is_ejected(&self, now: Instant, server: u32) -> bool {
        self.ejections
            .get(&server)
            .is_some_and(|ejection| now < ejection.until)
    }

    fn eject(&mut self, now: Instant, server: u32) {
        let previous_ms = self
            .ejections
            .get(&server)
            .map_or(0, |ejection| ejection.duration_ms);
        let duration_ms = (previous_ms * 2).clamp(BASE_EJECTION_MS, MAX_EJECTION_MS);
        let until = now.plus_millis(duration_ms);
        self.ejections
            .insert(server, Ejection { until, duration_ms });
    }
}

fn is_worse(own: AttemptCounts, others: AttemptCounts) -> bool {
    if !own.may_be_outlier() || others.all == 0 {
        return false;
    }
    // One failure in ten attempts is added to those of the others, so that even a small share does
    // not become significant when the others have no failure.
    let own_all = f64::from(own.all);
    let others_all = f64::from(others.all) + 10.0;
    let usual = (f64::from(others.failed) + 1.0) / others_all;
    let share = f64::from(own.failed) / own_all;
    // The null hypothesis is that both have the same failure share, estimated from all attempts.
    let common = (usual * others_all + f64::from(own.failed)) / (own_all + others_all);
    let error = (common * (1.0 - common) * (1.0 / own_all + 1.0 / others_all)).sqrt();
    share - usual > MIN_SHARE_DIFFERENCE.max(MIN_STANDARD_ERRORS * error)
}
