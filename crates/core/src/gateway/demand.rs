//! What each organisation sends, compared with its usual, and what it may send while there is little
//! room.
//!
//! One organisation may suddenly send many times its usual. Strict priorities would let it take the
//! room of all others, and fair queueing alone would fill the queue with requests that are refused
//! later. So while there is little room, such an organisation is limited to its max-min fair share of
//! the capacity, its most urgent requests first. An organisation that sends its usual is not limited
//! here, whatever its size.

use std::collections::BTreeMap;
use std::f64::consts::LN_2;

use crate::clock::Instant;
use crate::num::float;

/// Half-life in milliseconds of what counts as recent: longer than the gaps between the requests of
/// an organisation at one node, shorter than a burst.
const RECENT_HALF_LIFE_MS: f64 = 2_000.0;
/// Half-life in milliseconds of what counts as usual.
const USUAL_HALF_LIFE_MS: f64 = 300_000.0;
/// Multiple of its usual from which an organisation is limited. The traffic of a route may more than
/// double within a day.
const EXCESS_FACTOR: f64 = 4.0;
/// Recent requests by which an organisation must exceed that multiple. Few requests differ by chance.
const MIN_EXCESS: f64 = 4.0;
/// Least weight in its usual of a request of an organisation that is limited, so that lasting growth
/// becomes its usual.
const MIN_WEIGHT: f64 = 0.05;
/// Milliseconds for which a computed fair share is kept.
const LEVEL_TTL_MS: u64 = 100;
/// Usual requests below which an organisation is forgotten.
const MIN_USUAL: f64 = 0.01;

/// Rate of events, in which old ones count for less.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    half_life_ms: f64,
    since: Instant,
    at: Instant,
    count: f64,
}

impl Rate {
    /// Age in milliseconds that a rate has at least: one event at its start is no rate.
    const MIN_AGE_MS: f64 = 1_000.0;

    /// Creates a rate of events that are counted since `since`.
    #[must_use]
    pub const fn new(since: Instant, half_life_ms: f64) -> Self {
        Self {
            half_life_ms,
            since,
            at: since,
            count: 0.0,
        }
    }

    /// Creates a rate that follows changes within seconds.
    #[must_use]
    pub const fn recent(since: Instant) -> Self {
        Self::new(since, RECENT_HALF_LIFE_MS)
    }

    /// Counts an event by `weight`.
    pub fn add(&mut self, now: Instant, weight: f64) {
        self.count = self.count(now) + weight;
        self.at = self.at.max(now);
    }

    /// Returns the number of events, of which old ones count for less.
    #[must_use]
    pub fn count(&self, now: Instant) -> f64 {
        self.count * self.kept(millis(now, self.at))
    }

    /// Returns the events per second.
    #[must_use]
    pub fn per_s(&self, now: Instant) -> f64 {
        self.count(now) / self.window_s(now)
    }

    /// Returns the seconds of events at a constant rate that [`Self::count`] holds.
    fn window_s(&self, now: Instant) -> f64 {
        let age_ms = millis(now, self.since).max(Self::MIN_AGE_MS);
        (1.0 - self.kept(age_ms)) * self.half_life_ms / (LN_2 * 1_000.0)
    }

    fn kept(&self, age_ms: f64) -> f64 {
        0.5_f64.powf(age_ms / self.half_life_ms)
    }
}

fn millis(now: Instant, earlier: Instant) -> f64 {
    now.since(earlier).as_secs_f64() * 1_000.0
}

/// Requests of one organisation.
#[derive(Clone, Debug)]
struct Organisation {
    recent: Rate,
    usual: Rate,
    /// Recent requests by rank.
    ranks: BTreeMap<u8, Rate>,
}

impl Organisation {
    fn new(started: Instant) -> Self {
        Self {
            recent: Rate::recent(started),
            usual: Rate::new(started, USUAL_HALF_LIFE_MS),
            ranks: BTreeMap::new(),
        }
    }

    fn is_excessive(&self, now: Instant) -> bool {
        let expected = self.usual.per_s(now) * self.recent.window_s(now);
        self.recent.count(now) > expected * EXCESS_FACTOR + MIN_EXCESS
    }

    fn observe(&mut self, now: Instant, started: Instant, rank: u8) {
        self.recent.add(now, 1.0);
        let by_rank = self.ranks.entry(rank);
        by_rank
            .or_insert_with(|| Rate::recent(started))
            .add(now, 1.0);
        let weight = if self.is_excessive(now) {
            let ratio = self.usual.per_s(now) / self.recent.per_s(now).max(f64::MIN_POSITIVE);
            ratio.clamp(MIN_WEIGHT, 1.0)
        } else {
            1.0
        };
        self.usual.add(now, weight);
    }

    /// Returns the part of the requests of `rank` that `level` requests per second cover, if more
    /// urgent ones are covered first.
    fn covered(&self, now: Instant, rank: u8, level: f64) -> f64 {
        let before = self.ranks.range(..rank);
        let before: f64 = before.map(|(_, rate)| rate.per_s(now)).sum();
        let of_rank = self.ranks.get(&rank).map_or(0.0, |rate| rate.per_s(now));
        ((level - before) / of_rank.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0)
    }
}

/// What the organisations send to one service through one node.
#[derive(Clone, Debug)]
pub struct Demand {
    started: Instant,
    organisations: BTreeMap<u64, Organisation>,
    /// Fair share in requests per second, and until when it is kept.
    level: (f64, Instant),
}

impl Demand {
    /// Creates a record that begins at `now`.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            started: now,
            organisations: BTreeMap::new(),
            level: (f64::INFINITY, Instant::ORIGIN),
        }
    }

    /// Counts a request of an organisation.
    pub fn observe(&mut self, now: Instant, organisation: u64, rank: u8) {
        let started = self.started;
        let entry = self.organisations.entry(organisation);
        let organisation = entry.or_insert_with(|| Organisation::new(started));
        organisation.observe(now, started, rank);
    }

    /// Returns the part of its requests of `rank` that an organisation may send if `capacity_per_s`
    /// requests can be served.
    pub fn part(&mut self, now: Instant, organisation: u64, rank: u8, capacity_per_s: f64) -> f64 {
        let is_excessive = |found: &Organisation| found.is_excessive(now);
        if !self
            .organisations
            .get(&organisation)
            .is_some_and(is_excessive)
        {
            return 1.0;
        }
        if now >= self.level.1 {
            self.organisations
                .retain(|_, organisation| organisation.usual.count(now) >= MIN_USUAL);
            let demands = self.organisations.values();
            let demands = demands.map(|organisation| organisation.recent.per_s(now));
            let level = fair_share(demands.collect(), capacity_per_s);
            self.level = (level, now.plus_millis(LEVEL_TTL_MS));
        }
        let found = self.organisations.get(&organisation);
        found.map_or(1.0, |found| found.covered(now, rank, self.level.0))
    }
}

/// Returns the max-min fair share: no demand gets more, and what smaller demands leave is divided
/// among the others.
#[must_use]
pub fn fair_share(mut demands: Vec<f64>, capacity: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut left = capacity;
    for (index, demand) in demands.iter().enumerate() {
        let share = left / float(demands.len() - index);
        if *demand > share {
            return share;
        }
        left -= demand;
    }
    f64::INFINITY
}
