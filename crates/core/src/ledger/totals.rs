//! Totals of the ledger by organisation and version, without duplicates.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::Entry;

/// Usage and cost of one organisation for one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sum {
    /// Number of requests.
    pub requests: u64,
    /// Input tokens.
    pub input_tokens: u64,
    /// Output tokens.
    pub output_tokens: u64,
    /// Cost in micro-euro.
    pub cost: u64,
}

impl Sum {
    /// Adds another sum to this one.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.input_tokens += other.input_tokens;
        self.output_tokens += other.output_tokens;
        self.cost += other.cost;
    }
}

/// Totals of the entries that were read so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Sum by organisation and version.
    pub sums: BTreeMap<String, BTreeMap<String, Sum>>,
    /// Number of entries dropped because their request was counted before.
    pub duplicates: u64,
    /// Identities of the requests that were counted.
    seen: BTreeSet<String>,
}

impl Totals {
    /// Returns empty totals.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an entry unless its request was counted before. Returns whether it
    /// was added.
    pub fn add(&mut self, entry: &Entry) -> bool {
        if !self.seen.insert(entry.request.clone()) {
            self.duplicates += 1;
            return false;
        }
        let sum = Sum {
            requests: entry.requests,
            input_tokens: entry.input_tokens,
            output_tokens: entry.output_tokens,
            cost: entry.cost,
        };
        self.add_sum(&entry.organisation, &entry.version, &sum);
        true
    }

    /// Adds a sum that was computed elsewhere, without deduplication.
    pub fn add_sum(&mut self, organisation: &str, version: &str, sum: &Sum) {
        let versions = self.sums.entry(organisation.to_owned()).or_default();
        versions.entry(version.to_owned()).or_default().add(sum);
    }

    /// Returns the sum for an organisation over all versions.
    #[must_use]
    pub fn organisation(&self, name: &str) -> Sum {
        let mut total = Sum::default();
        for sum in self.sums.get(name).into_iter().flat_map(BTreeMap::values) {
            total.add(sum);
        }
        total
    }

    /// Returns the sum over all organisations and versions.
    #[must_use]
    pub fn total(&self) -> Sum {
        let mut total = Sum::default();
        for sum in self.sums.values().flat_map(BTreeMap::values) {
            total.add(sum);
        }
        total
    }
}
