//! What callers got.

use std::collections::BTreeMap;

use fescuerack_core::num::float;
use hdrhistogram::Histogram;

/// Figures of one stream.
#[derive(Clone, Debug)]
pub struct Row {
    /// Name of the stream.
    pub name: String,
    /// Organisation that sent it.
    pub organisation: String,
    /// Weight of the organisation.
    pub weight: u32,
    /// Requests, returns not counted again.
    pub offered: u64,
    /// Answers within their deadline.
    pub good: u64,
    /// Requests that ran and were not answered in time.
    pub late: u64,
    /// Requests turned away for good.
    pub refused: u64,
    /// Requests that ended with an error of the servers.
    pub failed: u64,
    /// Refusals, of returns too.
    pub refusals: u64,
    /// Attempts at servers.
    pub attempts: u64,
    /// Prompts that met their prefix in the cache.
    pub hits: u64,
    /// Prompts whose prefix recurs.
    pub prefixed: u64,
    /// Work done in time, in milliseconds of a slot.
    pub useful_ms: u64,
    /// Microseconds from arrival to the first token.
    pub first: Histogram<u64>,
    /// Microseconds from arrival to the end of answers within their deadline.
    pub whole: Histogram<u64>,
}

/// Figures of one run.
#[derive(Clone, Debug)]
pub struct Figures {
    /// By stream.
    pub rows: Vec<Row>,
    /// Seconds that were counted.
    pub seconds: f64,
    /// Milliseconds of slots that there were.
    pub capacity_ms: f64,
    /// Work per server, in milliseconds of a slot.
    pub servers: Vec<f64>,
    /// Answers within their deadline, by second and stream.
    pub timeline: Vec<Vec<u64>>,
    /// First tokens: sum of microseconds and count, by second and stream.
    pub firsts: Vec<Vec<(u64, u64)>>,
    /// Sum of the instances' limits, by second.
    pub limits: Vec<u64>,
}

impl Row {
    pub(crate) fn new(name: &str, organisation: &str, weight: u32) -> Self {
        let histogram = || Histogram::new_with_bounds(1, 3_600_000_000, 3);
        Self {
            name: name.to_owned(),
            organisation: organisation.to_owned(),
            weight,
            offered: 0,
            good: 0,
            late: 0,
            refused: 0,
            failed: 0,
            refusals: 0,
            attempts: 0,
            hits: 0,
            prefixed: 0,
            useful_ms: 0,
            first: histogram().expect("the bounds are valid"),
            whole: histogram().expect("the bounds are valid"),
        }
    }

    /// Returns a quantile of the time to the first token, in milliseconds.
    #[must_use]
    pub fn first_token_ms(&self, quantile: f64) -> f64 {
        number(self.first.value_at_quantile(quantile)) / 1000.0
    }

    /// Returns a quantile of the time to the whole answer, in milliseconds.
    #[must_use]
    pub fn answer_ms(&self, quantile: f64) -> f64 {
        number(self.whole.value_at_quantile(quantile)) / 1000.0
    }

    /// Returns the share of requests that were answered in time.
    #[must_use]
    pub fn good_share(&self) -> f64 {
        ratio(self.good, self.offered)
    }

    /// Returns attempts per request that reached a server.
    #[must_use]
    pub fn attempts_per_request(&self) -> f64 {
        ratio(self.attempts, self.good + self.late + self.failed)
    }

    /// Returns the share of recurring prefixes that were in the cache.
    #[must_use]
    pub fn hit_rate(&self) -> f64 {
        ratio(self.hits, self.prefixed)
    }
}

impl Figures {
    /// Returns the share of capacity that went into answers in time.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        let useful: u64 = self.rows.iter().map(|row| row.useful_ms).sum();
        number(useful) / self.capacity_ms.max(1.0)
    }

    /// Returns the Jain index of the organisations' answers in time over their
    /// weighted fair shares: 1 when all get the same part of what they may
    /// have.
    #[must_use]
    pub fn jain_index(&self) -> f64 {
        let shares = self.shares();
        let sum: f64 = shares.values().sum();
        let squares: f64 = shares.values().map(|share| share * share).sum();
        if squares <= 0.0 {
            return 1.0;
        }
        sum * sum / (float(shares.len()) * squares)
    }

    /// Returns, by organisation, the answers in time over the lesser of what it
    /// asked for and its weighted share of all that were given.
    #[must_use]
    pub fn shares(&self) -> BTreeMap<&str, f64> {
        let mut all: BTreeMap<&str, (u64, u64, u32)> = BTreeMap::new();
        for row in &self.rows {
            let entry = all.entry(&row.organisation).or_insert((0, 0, row.weight));
            entry.0 += row.good;
            entry.1 += row.offered;
        }
        let weights: u32 = all.values().map(|(_, _, weight)| *weight).sum();
        let given: u64 = all.values().map(|(good, _, _)| *good).sum();
        let share = |(good, offered, weight): (u64, u64, u32)| {
            let fair = number(given) * f64::from(weight) / f64::from(weights.max(1));
            let due = fair.min(number(offered)).max(1.0);
            (number(good) / due).min(1.0)
        };
        all.into_iter()
            .map(|(name, counts)| (name, share(counts)))
            .collect()
    }

    /// Returns the row of a stream.
    ///
    /// # Panics
    ///
    /// When no stream has this name.
    #[must_use]
    pub fn row(&self, name: &str) -> &Row {
        let found = self.rows.iter().find(|row| row.name == name);
        found.expect("the scenario has this stream")
    }
}

pub(crate) fn number(count: u64) -> f64 {
    float(usize::try_from(count).unwrap_or(usize::MAX))
}

fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    number(part) / number(whole)
}
