//! What all nodes observe of each model engine: how many requests wait there, and how fast it is.
//!
//! Engines of one service differ in speed, and one may slow down while it runs. Given equal work, a
//! slow engine holds its callers longest. The pace of an engine is the ratio of the observed times
//! to first token to those that its load makes expected, and work on it counts by its pace. A node
//! alone sends an engine a request every few seconds, so the samples of all nodes are summed, with
//! the [load](super::load).
//!
//! An engine without samples, or whose samples have expired, has the usual pace.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::load::{Amount, Sums};
use crate::clock::Instant;

/// Milliseconds in a unit of the times that nodes exchange.
const UNIT_MS: f64 = 4.0;
/// Parts of a sample in the numbers of samples that nodes exchange, since old samples count for less
/// than one.
const SAMPLE_PARTS: f64 = 100.0;
/// Half-life in milliseconds of the samples of an engine.
const HALF_LIFE_MS: f64 = 2_000.0;
/// Expected milliseconds of the samples that weigh as much as the assumption that an engine has the
/// usual pace: a few prompts on a busy engine.
const PRIOR_MS: f64 = 1_000.0;
/// Bounds of a pace. A slower engine is left to [`health`](super::health).
const MAX_PACE: f64 = 16.0;
/// Longest expected time of a sample in milliseconds. A longer one is a fault of the estimate, and
/// would outweigh all others.
const MAX_EXPECTED_MS: f64 = 60_000.0;

/// What nodes observe of one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that wait for their first token.
    pub reading: u32,
    /// Number of times to first token, in hundredths.
    samples: u32,
    /// Sum of the expected times to first token, in units.
    expected: u32,
    /// Sum of the observed times to first token, in units.
    observed: u32,
}

impl Amount for Load {
    fn add(&mut self, other: Self) {
        self.reading = self.reading.saturating_add(other.reading);
        self.samples = self.samples.saturating_add(other.samples);
        self.expected = self.expected.saturating_add(other.expected);
        self.observed = self.observed.saturating_add(other.observed);
    }

    fn weight(&self) -> u32 {
        self.reading.saturating_add(self.observed)
    }
}

impl Load {
    /// Returns the mean milliseconds to the first token, with the weight of the samples.
    #[must_use]
    pub fn first_token_ms(&self) -> Option<Mean> {
        let count = f64::from(self.samples) / SAMPLE_PARTS;
        (count > 0.0).then(|| Mean {
            millis: f64::from(self.observed) * UNIT_MS / count,
            count,
        })
    }
}

/// A mean of decayed samples.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mean {
    /// The mean, in milliseconds.
    pub millis: f64,
    /// Number of samples.
    pub count: f64,
}

/// Times to first token on one engine, with older ones decayed.
#[derive(Clone, Copy, Debug, Default)]
struct Samples {
    count: f64,
    expected_ms: f64,
    observed_ms: f64,
    at: Instant,
}

impl Samples {
    fn decayed(self, now: Instant) -> Self {
        let age_ms = now.since(self.at).as_secs_f64() * 1_000.0;
        let kept = 0.5_f64.powf(age_ms / HALF_LIFE_MS);
        Self {
            count: self.count * kept,
            expected_ms: self.expected_ms * kept,
            observed_ms: self.observed_ms * kept,
            at: now,
        }
    }
}

/// Paces of engines, by the short identifiers of these.
#[derive(Clone, Debug, Default)]
pub struct Paces {
    local: HashMap<u32, Samples>,
    peers: HashMap<u32, Samples>,
}

impl Paces {
    /// Records that the first token was expected after `expected_ms` and received after
    /// `observed_ms`. Times that no engine can have are ignored, since one that is not a number would
    /// stay in the sums.
    pub fn observe(&mut self, now: Instant, server: u32, expected_ms: f64, observed_ms: f64) {
        let is_valid = expected_ms > 0.0 && expected_ms <= MAX_EXPECTED_MS && observed_ms >= 0.0;
        if !is_valid || observed_ms.is_infinite() {
            return;
        }
        let samples = self.local.get(&server).copied().unwrap_or_default();
        let mut samples = samples.decayed(now);
        samples.count += 1.0;
        samples.expected_ms += expected_ms;
        samples.observed_ms += observed_ms.min(expected_ms * MAX_PACE);
        self.local.insert(server, samples);
    }

    /// Returns what this node reports: the numbers of waiting requests in `reading`, and its samples.
    pub fn report(
        &mut self,
        now: Instant,
        reading: impl Iterator<Item = (u32, u32)>,
    ) -> Sums<Load> {
        self.local
            .retain(|_, samples| rounded(samples.decayed(now).count * SAMPLE_PARTS) > 0);
        let mut loads: HashMap<u32, Load> = HashMap::new();
        for (server, samples) in &self.local {
            let samples = samples.decayed(now);
            let load = loads.entry(*server).or_default();
            load.samples = rounded(samples.count * SAMPLE_PARTS);
            load.expected = rounded(samples.expected_ms / UNIT_MS);
            load.observed = rounded(samples.observed_ms / UNIT_MS);
        }
        for (server, count) in reading {
            loads.entry(server).or_default().reading = count;
        }
        let mut sums: Sums<Load> = loads.into_iter().collect();
        sums.sort_unstable_by_key(|(server, _)| *server);
        sums
    }

    /// Records the sums of all other nodes, which replace the previous ones.
    pub fn receive(&mut self, now: Instant, peers: &[(u32, Load)]) {
        let samples = peers.iter().map(|(server, load)| {
            let samples = Samples {
                count: f64::from(load.samples) / SAMPLE_PARTS,
                expected_ms: f64::from(load.expected) * UNIT_MS,
                observed_ms: f64::from(load.observed) * UNIT_MS,
                at: now,
            };
            (*server, samples)
        });
        self.peers = samples.collect();
    }

    /// Returns the time that a unit of work takes on an engine, relative to the usual time.
    #[must_use]
    pub fn pace(&self, now: Instant, server: u32) -> f64 {
        let sources = [self.local.get(&server), self.peers.get(&server)];
        let (mut expected, mut observed) = (PRIOR_MS, PRIOR_MS);
        for samples in sources.into_iter().flatten() {
            let samples = samples.decayed(now);
            expected += samples.expected_ms;
            observed += samples.observed_ms;
        }
        (observed / expected).clamp(MAX_PACE.recip(), MAX_PACE)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and amounts are never negative"
)]
fn rounded(amount: f64) -> u32 {
    amount.round() as u32
}
