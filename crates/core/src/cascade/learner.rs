//! Learning of quality, latency and length by class and version.

use std::collections::BTreeMap;

use fescuerack_config::{Catalog, Names, key};
use serde::{Deserialize, Serialize};

use super::estimate::{Estimate, bin};
use crate::clock::Instant;

/// Reports of one digest; with more classes and versions they take turns.
const MOST_REPORTS: usize = 2;
/// Weight of a new measurement of latency or length.
const SMOOTHING: f64 = 0.1;
/// Output tokens that are expected before any answer of a class has ended.
const OUTPUT_TOKENS: f64 = 300.0;
/// Failed ratings in a row after which the service counts as down.
const FAILURES: u32 = 3;
/// Milliseconds after which a service that is down is tried again.
const PROBE_MS: u64 = 5_000;
/// Milliseconds that a rating takes before any has come.
const RATING_MS: f64 = 200.0;

/// Ratings of one version in one class, as one incarnation counted them: they
/// only rise, so that repeated and old messages change nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Class of work.
    pub class: String,
    /// Version.
    pub version: String,
    /// Number and sum (in thousandths) of the ratings in each interval.
    pub bins: BTreeMap<usize, (u32, u64)>,
}

/// What one instance tells a peer of quality.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Digest {
    /// Incarnation that counted.
    pub source: String,
    /// Its counts.
    pub reports: Vec<Report>,
}

type Pair = (key::Class, key::Version);
type Bins = BTreeMap<usize, (u32, u64)>;

/// A smoothed measurement with its mean deviation.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Smooth {
    mean: f64,
    deviation: f64,
    seen: bool,
}

impl Smooth {
    fn add(&mut self, value: f64) {
        if self.seen {
            let error = value - self.mean;
            self.mean += SMOOTHING * error;
            self.deviation += SMOOTHING * (error.abs() - self.deviation);
        } else {
            self.mean = value;
            self.deviation = value / 4.0;
            self.seen = true;
        }
    }

    /// A value that about 95 of 100 stay below.
    fn high(&self) -> f64 {
        self.mean + 2.0 * self.deviation
    }
}

/// What has been learnt.
#[derive(Clone, Debug, Default)]
pub struct Learner {
    source: String,
    estimates: BTreeMap<Pair, Estimate>,
    own: BTreeMap<Pair, Bins>,
    heard: BTreeMap<(String, Pair), Bins>,
    latency: BTreeMap<Pair, Smooth>,
    output: BTreeMap<key::Class, Smooth>,
    rating: Smooth,
    failures: u32,
    probe_at: Instant,
    turn: usize,
}

impl Learner {
    /// Most counts of peers that are remembered.
    const MOST_HEARD: usize = 8192;

    /// Creates a learner of one incarnation.
    #[must_use]
    pub fn new(source: &str) -> Self {
        Self {
            source: source.to_owned(),
            ..Self::default()
        }
    }

    /// Returns what is known of a version in a class.
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

    /// Adds a rating.
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
        let own = self.own.entry((class, version)).or_default();
        let (count, sum) = own.entry(bin).or_default();
        *count = count.saturating_add(1);
        *sum = sum.saturating_add(u64::from(thousandths(quality)));
    }

    fn estimate_mut(&mut self, catalog: &Catalog, pair: Pair) -> &mut Estimate {
        self.estimates
            .entry(pair)
            .or_insert_with(|| prior(catalog, pair.0, pair.1))
    }

    /// Notes that a rating came after `millis`.
    pub fn record_rating_ms(&mut self, millis: f64) {
        self.rating.add(millis);
        self.failures = 0;
    }

    /// Notes that a rating failed or was turned away.
    pub fn record_rating_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        self.probe_at = now.plus_millis(PROBE_MS);
    }

    /// Returns whether a rating can be counted on.
    #[must_use]
    pub fn can_rate(&self, now: Instant) -> bool {
        self.failures < FAILURES || now >= self.probe_at
    }

    /// Returns the milliseconds within which a rating is expected.
    #[must_use]
    pub fn expected_rating_ms(&self) -> f64 {
        if self.rating.seen {
            self.rating.high()
        } else {
            RATING_MS
        }
    }

    /// Notes how long a whole answer took and how many tokens it had.
    pub fn record_answer(
        &mut self,
        class: key::Class,
        version: key::Version,
        millis: f64,
        output_tokens: u32,
    ) {
        self.latency
            .entry((class, version))
            .or_default()
            .add(millis);
        let output = self.output.entry(class).or_default();
        output.add(f64::from(output_tokens));
    }

    /// Returns the milliseconds within which a whole answer is expected; 0
    /// before any has come.
    #[must_use]
    pub fn expected_answer_ms(&self, class: key::Class, version: key::Version) -> f64 {
        let known = self.latency.get(&(class, version));
        known.map_or(0.0, Smooth::high)
    }

    /// Returns the output tokens that are expected of a class.
    #[must_use]
    pub fn expected_output_tokens(&self, class: key::Class) -> f64 {
        let known = self.output.get(&class);
        known.map_or(OUTPUT_TOKENS, |output| output.mean)
    }

    /// Returns what peers are told.
    pub fn digest(&mut self, names: &Names) -> Digest {
        let count = self.own.len();
        let start = if count > MOST_REPORTS {
            self.turn % count
        } else {
            0
        };
        self.turn = start + MOST_REPORTS;
        let turns = self.own.iter().cycle().skip(start);
        let reports = turns
            .take(count.min(MOST_REPORTS))
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

    /// Takes over what a peer tells; repeated, reordered and old messages
    /// change nothing.
    pub fn merge(&mut self, catalog: &Catalog, names: &Names, digest: &Digest) {
        if digest.source == self.source {
            return;
        }
        for report in &digest.reports {
            let class = names.classes.get(&report.class);
            let version = names.versions.get(&report.version);
            if let (Some(class), Some(version)) = (class, version) {
                self.hear(catalog, &digest.source, (class, version), &report.bins);
            }
        }
    }

    fn hear(&mut self, catalog: &Catalog, source: &str, pair: Pair, bins: &Bins) {
        let place = (source.to_owned(), pair);
        if !self.heard.contains_key(&place) && self.heard.len() >= Self::MOST_HEARD {
            return;
        }
        let known = self.heard.entry(place).or_default();
        let mut news = Vec::new();
        for (bin, (count, sum)) in bins {
            let before = known.entry(*bin).or_default();
            if *bin < super::BINS && *count > before.0 {
                let milli = u32::try_from(sum.saturating_sub(before.1)).unwrap_or(u32::MAX);
                news.push((*bin, count - before.0, f64::from(milli) / 1000.0));
                *before = (*count, *sum);
            }
        }
        let estimate = self.estimate_mut(catalog, pair);
        for (bin, count, sum) in news {
            estimate.add(bin, count, sum);
        }
    }
}

fn prior(catalog: &Catalog, class: key::Class, version: key::Version) -> Estimate {
    let weight = catalog.versions.get(version);
    let weight = weight.map_or(1.0, |entry| entry.prior_weight.max(1.0));
    Estimate::new(catalog.quality(version, class), weight)
}

fn thousandths(quality: f64) -> u16 {
    let target = quality * 1000.0;
    // The nearest whole number, without a cast that could lose the sign.
    (0..=1000)
        .find(|milli| f64::from(*milli) + 0.5 > target)
        .unwrap_or(1000)
}
