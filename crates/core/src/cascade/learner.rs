//! Estimates of quality, latency and output length by class and version.

use std::collections::BTreeMap;

use fescuerack_config::{Catalog, Names, key};
use serde::{Deserialize, Serialize};

use super::estimate::{Estimate, bin};
use crate::clock::Instant;

/// Maximum number of reports in one digest; with more classes and versions, they rotate.
const MAX_REPORTS: usize = 2;
/// Weight of a new sample in the moving averages of latency and output length.
const EWMA_WEIGHT: f64 = 0.1;
/// Output tokens that are expected before any answer of a class is complete.
const DEFAULT_OUTPUT_TOKENS: f64 = 300.0;
/// Consecutive failed ratings after which the rating service counts as down.
const MAX_RATING_FAILURES: u32 = 3;
/// Time after which a rating service that is down is probed again.
const RATING_PROBE_MS: u64 = 5_000;
/// Latency of a rating that is assumed before the first one.
const DEFAULT_RATING_MS: f64 = 200.0;

/// Ratings of one version in one class, as one incarnation counted them.
///
/// The counts only increase, so repeated and old messages change nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the class of work.
    pub class: String,
    /// Name of the version.
    pub version: String,
    /// Number of the ratings in each interval and their sum in thousandths.
    pub bins: BTreeMap<usize, (u32, u64)>,
}

/// The ratings that one instance sends to a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Digest {
    /// Incarnation that counted.
    pub source: String,
    /// Counts of that incarnation.
    pub reports: Vec<Report>,
}

type Pair = (key::Class, key::Version);
/// Number of the ratings in each interval and their sum in thousandths.
type Bins = BTreeMap<usize, (u32, u64)>;

/// An exponentially weighted moving average with its mean deviation.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct MovingAverage {
    mean: f64,
    deviation: f64,
    #[serde(rename = "seen")]
    has_samples: bool,
}

impl MovingAverage {
    fn add(&mut self, value: f64) {
        if self.has_samples {
            let error = value - self.mean;
            self.mean += EWMA_WEIGHT * error;
            self.deviation += EWMA_WEIGHT * (error.abs() - self.deviation);
        } else {
            self.mean = value;
            self.deviation = value / 4.0;
            self.has_samples = true;
        }
    }

    /// Returns an estimate of the 95th percentile.
    fn p95(&self) -> f64 {
        self.mean + 2.0 * self.deviation
    }
}

/// The estimates of one instance.
#[derive(Clone, Debug, Default)]
pub struct Learner {
    source: String,
    estimates: BTreeMap<Pair, Estimate>,
    /// Ratings counted by this incarnation.
    local: BTreeMap<Pair, Bins>,
    /// Ratings counted by the incarnations of peers.
    received: BTreeMap<(String, Pair), Bins>,
    answer_ms: BTreeMap<Pair, MovingAverage>,
    output_tokens: BTreeMap<key::Class, MovingAverage>,
    rating_ms: MovingAverage,
    /// Consecutive failed ratings.
    failures: u32,
    /// Time from which a rating service that is down is probed again.
    probe_at: Instant,
    /// Position in `local`, modulo its length, of the first report of the next digest.
    next_report: usize,
}

impl Learner {
    /// Maximum number of combinations of incarnation, class and version whose counts by peers are
    /// kept. Reports of further combinations are ignored.
    const MAX_RECEIVED: usize = 8192;

    /// Creates the learner of one incarnation.
    #[must_use]
    pub fn new(source: &str) -> Self {
        Self {
            source: source.to_owned(),
            ..Self::default()
        }
    }

    /// Returns the estimate of the quality of a version in a class.
    #[must_use]
    pub fn estimate(
        &self,
        catalog: &Catalog,
        class: key::Class,
        version: key::Version,
    ) -> Estimate {
        let known = self.estimates.get(&(class, version));
        known
            .cloned()
            .unwrap_or_else(|| prior(catalog, class, version))
    }

    /// Records a local rating.
    pub fn record_rating(
        &mut self,
        catalog: &Catalog,
        class: key::Class,
        version: key::Version,
        quality: f64,
    ) {
        let quality = quality.clamp(0.0, 1.0);
        let bin = bin(quality);
        self.estimate_mut(catalog, (class, version))
            .add(bin, 1, quality);
        let local = self.local.entry((class, version)).or_default();
        let (count, sum) = local.entry(bin).or_default();
        *count = count.saturating_add(1);
        *sum = sum.saturating_add(u64::from(thousandths(quality)));
    }

    fn estimate_mut(&mut self, catalog: &Catalog, pair: Pair) -> &mut Estimate {
        self.estimates
            .entry(pair)
            .or_insert_with(|| prior(catalog, pair.0, pair.1))
    }

    /// Records that a rating took `millis` milliseconds; the rating service is up.
    pub fn record_rating_ms(&mut self, millis: f64) {
        self.rating_ms.add(millis);
        self.failures = 0;
    }

    /// Records that a rating failed or was refused.
    pub fn record_rating_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        self.probe_at = now.plus_millis(RATING_PROBE_MS);
    }

    /// Returns whether the rating service is expected to respond: it is up, or due for a probe.
    #[must_use]
    pub fn can_rate(&self, now: Instant) -> bool {
        self.failures < MAX_RATING_FAILURES || now >= self.probe_at
    }

    /// Returns the expected latency of a rating in milliseconds, at the 95th percentile.
    #[must_use]
    pub fn expected_rating_ms(&self) -> f64 {
        if self.rating_ms.has_samples {
            self.rating_ms.p95()
        } else {
            DEFAULT_RATING_MS
        }
    }

    /// Records the latency and the number of output tokens of a complete answer.
    pub fn record_answer(
        &mut self,
        class: key::Class,
        version: key::Version,
        millis: f64,
        output_tokens: u32,
    ) {
        self.answer_ms
            .entry((class, version))
            .or_default()
            .add(millis);
        let output = self.output_tokens.entry(class).or_default();
        output.add(f64::from(output_tokens));
    }

    /// Returns the expected latency of a complete answer in milliseconds, at the 95th percentile; 0
    /// before the first answer.
    #[must_use]
    pub fn expected_answer_ms(&self, class: key::Class, version: key::Version) -> f64 {
        let known = self.answer_ms.get(&(class, version));
        known.map_or(0.0, MovingAverage::p95)
    }

    /// Returns the expected number of output tokens of an answer in a class.
    #[must_use]
    pub fn expected_output_tokens(&self, class: key::Class) -> f64 {
        let known = self.output_tokens.get(&class);
        known.map_or(DEFAULT_OUTPUT_TOKENS, |output| output.mean)
    }

    /// Returns the digest for a peer: a rotating selection of the local counts.
    pub fn digest(&mut self, names: &Names) -> Digest {
        let count = self.local.len();
        let start = if count > MAX_REPORTS {
            self.next_report % count
        } else {
            0
        };
        self.next_report = start + MAX_REPORTS;
        let rotated = self.local.iter().cycle().skip(start);
        let reports = rotated
            .take(count.min(MAX_REPORTS))
            .map(|((class, version), bins)| Report {
                class: names.classes.name(*class).to_string(),
                version: names.versions.name(*version).to_string(),
                bins: bins.clone(),
            });
        Digest {
            source: self.source.clone(),
            reports: reports.collect(),
        }
    }

    /// Merges the digest of a peer; repeated, reordered and old digests change nothing.
    pub fn merge(&mut self, catalog: &Catalog, names: &Names, digest: &Digest) {
        if digest.source == self.source {
            return;
        }
        for report in &digest.reports {
            let class = names.classes.get(&report.class);
            let version = names.versions.get(&report.version);
            if let (Some(class), Some(version)) = (class, version) {
                self.merge_report(catalog, &digest.source, (class, version), &report.bins);
            }
        }
    }

    fn merge_report(&mut self, catalog: &Catalog, source: &str, pair: Pair, bins: &Bins) {
        let key = (source.to_owned(), pair);
        if !self.received.contains_key(&key) && self.received.len() >= Self::MAX_RECEIVED {
            return;
        }
        let known = self.received.entry(key).or_default();
        let mut added = Vec::new();
        for (bin, (count, sum)) in bins {
            let before = known.entry(*bin).or_default();
            if *bin < super::RATING_HISTOGRAM_BINS && *count > before.0 {
                let milli = u32::try_from(sum.saturating_sub(before.1)).unwrap_or(u32::MAX);
                added.push((*bin, count - before.0, f64::from(milli) / 1000.0));
                *before = (*count, *sum);
            }
        }
        let estimate = self.estimate_mut(catalog, pair);
        for (bin, count, sum) in added {
            estimate.add(bin, count, sum);
        }
    }
}

/// Returns the estimate from the configuration alone.
fn prior(catalog: &Catalog, class: key::Class, version: key::Version) -> Estimate {
    let weight = catalog.versions.get(version);
    let weight = weight.map_or(1.0, |entry| entry.prior_weight.max(1.0));
    Estimate::new(catalog.quality(version, class), weight)
}

fn thousandths(quality: f64) -> u16 {
    let target = quality * 1000.0;
    // Rounds to the nearest integer without a cast that could lose the sign.
    (0..=1000)
        .find(|milli| f64::from(*milli) + 0.5 > target)
        .unwrap_or(1000)
}
