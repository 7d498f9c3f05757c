//! Application of the active configuration.

use fescuerack_config::file::State;
use fescuerack_config::{Catalog, Names, key};

use super::{Entry, Registry, VersionSplit};
use crate::clock::Instant;
use crate::rollout::canary::{Canary, Id};
use crate::rollout::digest::Report;

impl Registry {
    /// Applies the active configuration; must be called after every change of it or of a record.
    pub fn configure(&mut self, now: Instant, catalog: &Catalog, names: &Names) {
        let models = &catalog.models;
        self.entries.retain(|model, _| models.contains_key(model));
        self.withdrawn.clear();
        for (version, entry) in &catalog.versions {
            if entry.state == State::Withdrawn {
                self.withdrawn.insert(version, ());
            }
        }
        for model in catalog.models.keys() {
            self.configure_model(now, catalog, names, model);
        }
        let entries = self.entries.values();
        let canaries: Vec<_> = entries.filter_map(|entry| entry.canary.as_ref()).collect();
        let is_running = |report: &Report| canaries.iter().any(|canary| canary.id == report.canary);
        self.reports_to_relay.retain(is_running);
    }

    fn configure_model(
        &mut self,
        now: Instant,
        catalog: &Catalog,
        names: &Names,
        model: key::Model,
    ) {
        let name = names.models.name(model).to_string();
        let record = self.records.get(&name).cloned().unwrap_or_default();
        let Some(rollout) = catalog.rollouts.get(model) else {
            self.entries.remove(model);
            for version in &catalog.models[model] {
                if record.halted(names.versions.name(*version), 0).is_some() {
                    self.withdrawn.insert(*version, ());
                }
            }
            return;
        };
        let is_named = |version| rollout.candidate == Some(version) || rollout.current == version;
        let halted = |version: key::Version| {
            // A higher generation clears the halts of the versions that the roll-out names, and of
            // no others.
            let word = if is_named(version) { rollout.word } else { 0 };
            record.halted(names.versions.name(version), word)
        };
        // An operator who makes a halted candidate the current version without raising the
        // generation has not seen the halt, so the fallback of the halt stays current.
        let current = halted(rollout.current)
            .and_then(|halt| names.versions.get(&halt.fallback))
            .filter(|version| catalog.versions.contains_key(*version))
            .unwrap_or(rollout.current);
        for version in &catalog.models[model] {
            if halted(*version).is_some() {
                self.withdrawn.insert(*version, ());
            }
        }
        let previous = self.entries.remove(model);
        let mut entry = Entry {
            split: None,
            stages: rollout.stages.clone(),
            canary: None,
            accepts_sessions: false,
            is_held_by_operator: true,
            unrated: previous.as_ref().map_or(0, |entry| entry.unrated),
        };
        if let Some(candidate) = rollout.candidate {
            let id = Id {
                model: name,
                current: names.versions.name(current).to_string(),
                candidate: names.versions.name(candidate).to_string(),
                word: rollout.word,
            };
            let mut canary = previous
                .and_then(|entry| entry.canary)
                .filter(|canary| canary.id == id)
                .unwrap_or_else(|| {
                    entry.unrated = 0;
                    Canary::new(id.clone(), current, candidate, now)
                });
            canary.exposure = rollout.exposure;
            let stage = record
                .stage(&id.candidate, id.word)
                .unwrap_or(rollout.stage)
                .max(rollout.stage)
                .min(rollout.stages.len().saturating_sub(1));
            canary.enter_stage(now, stage);
            entry.accepts_sessions = catalog.versions[candidate].state == State::Open;
            entry.is_held_by_operator = rollout.paused || !entry.accepts_sessions;
            let share = rollout
                .stages
                .get(stage)
                .copied()
                .filter(|_| entry.accepts_sessions);
            entry.split = Some(VersionSplit {
                current,
                candidate: Some((candidate, share.unwrap_or(0.0))),
            });
            entry.canary = Some(canary);
        }
        entry.split = entry.split.or(Some(VersionSplit {
            current,
            candidate: None,
        }));
        self.entries.insert(model, entry);
    }
}
