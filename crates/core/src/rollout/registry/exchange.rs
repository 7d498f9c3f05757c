//! What peers are told and what they tell.

use std::collections::BTreeMap;

use super::Registry;
use crate::clock::Instant;
use crate::member::Replica;
use crate::rollout::counters::PairedCounters;
use crate::rollout::digest::{Digest, Report};
use crate::rollout::record::Record;

/// Reports of one digest: four take about 1 KB, and a message of peers carries
/// little more. Own ones and relayed ones take turns.
const MOST_REPORTS: usize = 4;

impl Registry {
    /// Returns what peers are told.
    pub fn digest(&mut self) -> Digest {
        let mut own = Vec::new();
        for entry in self.entries.values() {
            if let Some(trial) = &entry.trial {
                let pair = trial.source(&self.source);
                if pair != PairedCounters::default() {
                    own.push(Report {
                        canary: trial.id.clone(),
                        source: self.source.clone(),
                        pair,
                    });
                }
            }
        }
        let mut reports = take_turns(&own, self.turn, MOST_REPORTS / 2);
        let room = MOST_REPORTS - reports.len();
        reports.extend(take_turns(&self.relay, self.turn, room));
        // By one, and not by as many as were taken: not every digest is sent,
        // and with larger strides the same reports could be left out for ever.
        self.turn = self.turn.wrapping_add(1);
        Digest {
            informed: self.informed,
            reports,
        }
    }

    /// Returns the halts and steps that all instances should hold alike. With
    /// more models or longer names than a message holds, steps are left to the
    /// store: a halt must get through.
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

    /// Takes over a record that a peer holds; returns whether a halt or a step
    /// was news: then [`Registry::configure`] must follow.
    pub fn merge_peer_record(&mut self, now: Instant, model: &str, record: &Record) -> bool {
        let known = self.records.entry(model.to_owned()).or_default();
        let news = known.merge(record);
        self.enforce(now);
        news
    }

    /// Takes over what a peer tells; repeated, reordered and old messages
    /// change nothing.
    pub fn merge(&mut self, now: Instant, digest: &Digest) {
        self.informed |= digest.informed;
        for report in &digest.reports {
            self.hear(now, report);
        }
        self.enforce(now);
    }

    fn hear(&mut self, now: Instant, report: &Report) {
        let trials = self.entries.values_mut();
        let known = trials
            .filter_map(|entry| entry.trial.as_mut())
            .find(|trial| trial.id == report.canary);
        let Some(trial) = known else {
            return;
        };
        let before = trial.source(&report.source);
        // An instance that forgot a trial resumes its own counters from what
        // its peers heard of them.
        trial.learn(now, &report.source, report.pair);
        if trial.source(&report.source) != before && report.source != self.source {
            self.relay
                .retain(|told| told.source != report.source || told.canary != report.canary);
            self.relay.push(report.clone());
        }
    }
}

/// Returns up to `most` of the reports, beginning at `turn`.
fn take_turns(reports: &[Report], turn: usize, most: usize) -> Vec<Report> {
    let count = reports.len();
    let start = turn.checked_rem(count).unwrap_or(0);
    let turns = reports.iter().cycle().skip(start);
    turns.take(count.min(most)).cloned().collect()
}
