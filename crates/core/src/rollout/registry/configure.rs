//! Taking over the configuration in force.

use fescuerack_config::file::State;
use fescuerack_config::{Catalog, Names, key};

use super::{Entry, Registry, Share};
use crate::clock::Instant;
use crate::rollout::canary::{Canary, Id};
use crate::rollout::digest::Report;

impl Registry {
    /// Takes over the configuration in force; call it after every change.
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
        let trials: Vec<_> = entries.filter_map(|entry| entry.trial.as_ref()).collect();
        let is_running = |report: &Report| trials.iter().any(|trial| trial.id == report.canary);
        self.relay.retain(is_running);
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
            // A newer word clears the halt of a version that it names, and of
            // no other.
            let word = if is_named(version) { rollout.word } else { 0 };
            record.halted(names.versions.name(version), word)
        };
        // An operator who makes a halted candidate the version of today
        // without a newer word has not seen the halt.
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
            share: None,
            stages: rollout.stages.clone(),
            trial: None,
            open: false,
            steady: true,
            unrated: previous.as_ref().map_or(0, |entry| entry.unrated),
        };
        if let Some(candidate) = rollout.candidate {
            let id = Id {
                model: name,
                current: names.versions.name(current).to_string(),
                candidate: names.versions.name(candidate).to_string(),
                word: rollout.word,
            };
            let mut trial = previous
                .and_then(|entry| entry.trial)
                .filter(|trial| trial.id == id)
                .unwrap_or_else(|| {
                    entry.unrated = 0;
                    Canary::new(id.clone(), current, candidate, now)
                });
            trial.exposure = rollout.exposure;
            let stage = record
                .stage(&id.candidate, id.word)
                .unwrap_or(rollout.stage)
                .max(rollout.stage)
                .min(rollout.stages.len().saturating_sub(1));
            trial.enter(now, stage);
            entry.open = catalog.versions[candidate].state == State::Open;
            entry.steady = rollout.paused || !entry.open;
            let part = rollout.stages.get(stage).copied().filter(|_| entry.open);
            entry.share = Some(Share {
                current,
                candidate: Some((candidate, part.unwrap_or(0.0))),
            });
            entry.trial = Some(trial);
        }
        entry.share = entry.share.or(Some(Share {
            current,
            candidate: None,
        }));
        self.entries.insert(model, entry);
    }
}
