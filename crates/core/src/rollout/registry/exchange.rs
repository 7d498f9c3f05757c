//! Gossip with peers: the digests that an instance sends and receives.

use std::collections::BTreeMap;

use super::Registry;
use crate::clock::Instant;
use crate::member::Replica;
use crate::rollout::counters::PairedCounters;
use crate::rollout::digest::{Digest, Report};
use crate::rollout::record::Record;

/// Maximum number of reports in one digest: four take about 1 KB, and a message between peers
/// carries little more. Local and forwarded reports rotate through these places.
const MAX_REPORTS: usize = 4;

impl Registry {
    /// Returns the digest for a peer: a rotating selection of local and received reports.
    pub fn digest(&mut self) -> Digest {
        let mut local = Vec::new();
        for entry in self.entries.values() {
            if let Some(canary) = &entry.canary {
                let pair = canary.counters_of(&self.source);
                if pair != PairedCounters::default() {
                    local.push(Report {
                        canary: canary.id.clone(),
                        source: self.source.clone(),
                        pair,
                    });
                }
            }
        }
        let mut reports = rotate_reports(&local, self.next_report, MAX_REPORTS / 2);
        let room = MAX_REPORTS - reports.len();
        reports.extend(rotate_reports(
            &self.reports_to_relay,
            self.next_report,
            room,
        ));
        // Advances by one rather than by the number of reports taken: not every digest is sent,
        // and a larger stride could omit the same reports from every digest that is.
        self.next_report = self.next_report.wrapping_add(1);
        Digest {
            informed: self.has_records,
            reports,
        }
    }

    /// Returns the halts and steps that are replicated to all instances.
    ///
    /// When they exceed the size of a message, because of many models or long names, the steps are
    /// omitted and spread by the store alone, so that halts still reach every peer.
    #[must_use]
    pub fn records(&self) -> BTreeMap<String, Record> {
        let mut records = self.records.clone();
        records.retain(|_, record| *record != Record::default());
        let bytes = serde_json::to_string(&records).map_or(0, |text| text.len());
        if bytes > Replica::MAX_STATE_BYTES {
            for record in records.values_mut() {
                record.steps.clear();
            }
        }
        records
    }

    /// Merges a record that a peer holds.
    ///
    /// Returns whether it changed anything; if so, the caller must call [`Registry::configure`].
    pub fn merge_peer_record(&mut self, now: Instant, model: &str, record: &Record) -> bool {
        let known = self.records.entry(model.to_owned()).or_default();
        let changed = known.merge(record);
        self.enforce(now);
        changed
    }

    /// Merges the digest of a peer; repeated, reordered and old digests change nothing.
    pub fn merge(&mut self, now: Instant, digest: &Digest) {
        self.has_records |= digest.informed;
        for report in &digest.reports {
            self.merge_report(now, report);
        }
        self.enforce(now);
    }

    fn merge_report(&mut self, now: Instant, report: &Report) {
        let entries = self.entries.values_mut();
        let known = entries
            .filter_map(|entry| entry.canary.as_mut())
            .find(|canary| canary.id == report.canary);
        let Some(canary) = known else {
            return;
        };
        let before = canary.counters_of(&report.source);
        // An instance that has lost its state of a canary resumes its own counters from the
        // values that its peers received.
        canary.merge_counters(now, &report.source, report.pair);
        if canary.counters_of(&report.source) != before && report.source != self.source {
            self.reports_to_relay.retain(|earlier| {
                earlier.source != report.source || earlier.canary != report.canary
            });
            self.reports_to_relay.push(report.clone());
        }
    }
}

/// Returns up to `limit` of the reports, starting at position `first`.
fn rotate_reports(reports: &[Report], first: usize, limit: usize) -> Vec<Report> {
    let count = reports.len();
    let start = first.checked_rem(count).unwrap_or(0);
    let rotated = reports.iter().cycle().skip(start);
    rotated.take(count.min(limit)).cloned().collect()
}
