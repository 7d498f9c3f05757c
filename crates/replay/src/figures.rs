//! Figures of a run, as seen by callers.

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
    /// Number of requests. A refused request that returns is not counted again.
    pub offered: u64,
    /// Number of answers within their deadline.
    pub good: u64,
    /// Number of requests that ran and were not answered in time.
    pub late: u64,
    /// Number of requests that were refused and did not return.
    pub refused: u64,
    /// Number of requests that ended with an error of the servers.
    pub failed: u64,
    /// Number of refusals, including those of requests that returned.
    pub refusals: u64,
    /// Number of attempts at servers.
    pub attempts: u64,
    /// Number of started attempts whose prefix was in the cache of the server.
    pub hits: u64,
    /// Number of started attempts whose prompt has a recurring prefix.
    pub prefixed: u64,
    /// Slot time spent on answers within their deadline, in milliseconds.
    pub useful_ms: u64,
    /// Time from arrival to the first token, in microseconds.
    pub first_token_us: Histogram<u64>,
    /// Time from arrival to the end of answers within their deadline, in microseconds.
    pub answer_us: Histogram<u64>,
}

/// Figures of one run.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Figures by stream.
    pub rows: Vec<Row>,
    /// Duration of the measured period, in seconds.
    pub seconds: f64,
    /// Slot time of all servers in the measured period, in milliseconds.
    pub capacity_ms: f64,
    /// Slot time used, by server, in milliseconds.
    pub servers: Vec<f64>,
    /// Number of answers within their deadline, by second and stream.
    pub good_by_second: Vec<Vec<u64>>,
    /// Sum of the times to the first token in microseconds and their count, by second and stream.
    pub first_tokens_by_second: Vec<Vec<(u64, u64)>>,
    /// Sum of the concurrency limits of all nodes, by second.
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
            first_token_us: histogram().expect("the bounds are valid"),
            answer_us: histogram().expect("the bounds are valid"),
        }
    }

    /// Returns a quantile of the time to the first token, in milliseconds.
    #[must_use]
    pub fn first_token_ms(&self, quantile: f64) -> f64 {
        to_f64(self.first_token_us.value_at_quantile(quantile)) / 1000.0
    }

    /// Returns a quantile of the time to the complete answer, in milliseconds.
    #[must_use]
    pub fn answer_ms(&self, quantile: f64) -> f64 {
        to_f64(self.answer_us.value_at_quantile(quantile)) / 1000.0
    }

    /// Returns the share of requests that were answered in time.
    #[must_use]
    pub fn good_share(&self) -> f64 {
        ratio(self.good, self.offered)
    }

    /// Returns the mean number of attempts per request that reached a server.
    #[must_use]
    pub fn attempts_per_request(&self) -> f64 {
        ratio(self.attempts, self.good + self.late + self.failed)
    }

    /// Returns the cache hit rate of recurring prefixes.
    #[must_use]
    pub fn hit_rate(&self) -> f64 {
        ratio(self.hits, self.prefixed)
    }
}

impl Figures {
    /// Returns the share of capacity that was used for answers in time.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        let useful: u64 = self.rows.iter().map(|row| row.useful_ms).sum();
        to_f64(useful) / self.capacity_ms.max(1.0)
    }

    /// Returns Jain's fairness index of [`Self::shares`]. It is 1 when all organisations get the same
    /// part of their fair shares.
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

    /// Returns, by organisation, its answers in time divided by its fair share: the smaller of its
    /// requests and its weighted share of all answers in time. The result is at most 1.
    #[must_use]
    pub fn shares(&self) -> BTreeMap<&str, f64> {
        let mut counts: BTreeMap<&str, (u64, u64, u32)> = BTreeMap::new();
        for row in &self.rows {
            let entry = counts
                .entry(&row.organisation)
                .or_insert((0, 0, row.weight));
            entry.0 += row.good;
            entry.1 += row.offered;
        }
        let total_weight: u32 = counts.values().map(|(_, _, weight)| *weight).sum();
        let total_good: u64 = counts.values().map(|(good, _, _)| *good).sum();
        let share = |(good, offered, weight): (u64, u64, u32)| {
            let weighted = to_f64(total_good) * f64::from(weight) / f64::from(total_weight.max(1));
            let fair = weighted.min(to_f64(offered)).max(1.0);
            (to_f64(good) / fair).min(1.0)
        };
        counts
            .into_iter()
            .map(|(name, count)| (name, share(count)))
            .collect()
    }

    /// Returns the figures of a stream.
    ///
    /// # Panics
    ///
    /// Panics when no stream has this name.
    #[must_use]
    pub fn row(&self, name: &str) -> &Row {
        let found = self.rows.iter().find(|row| row.name == name);
        found.expect("the scenario has this stream")
    }
}

/// Returns a count as a floating-point number; counts beyond `u32` saturate.
pub(crate) fn to_f64(count: u64) -> f64 {
    float(usize::try_from(count).unwrap_or(usize::MAX))
}

fn ratio(part: u64, total: u64) -> f64 {
    if total == 0 {
        return 0.0;
    }
    to_f64(part) / to_f64(total)
}
