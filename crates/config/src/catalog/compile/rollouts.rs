//! Section `rollouts`.

use super::super::Rollout;
use super::{Builder, list_defined};
use crate::{file, key};

impl Builder<'_> {
    pub(super) fn rollouts(&mut self) {
        for (name, entry) in &self.merged.file.rollouts {
            self.rollout(name, entry);
        }
    }

    fn rollout(&mut self, name: &str, entry: &file::Rollout) {
        let path = format!("rollouts/{name}");
        let Some(model) = self.known_model(name) else {
            let defined = list_defined(self.merged.file.models.keys());
            self.report(&path, format!("no model has this name; {defined}"));
            return;
        };
        self.check_stages(&path, entry);
        let current = self.version_of_model(&format!("{path}/current"), name, &entry.current);
        let candidate = entry
            .candidate
            .as_ref()
            .and_then(|version| self.version_of_model(&format!("{path}/candidate"), name, version));
        if candidate.is_some() && candidate == current {
            self.report(
                &format!("{path}/candidate"),
                "must be another version than current",
            );
        }
        let Some(current) = current else {
            return;
        };
        self.catalog.rollouts.insert(
            model,
            Rollout {
                current,
                candidate,
                stages: entry.stages.clone(),
                stage: entry.stage,
                paused: entry.paused,
                word: entry.word,
                exposure: entry.exposure,
            },
        );
    }

    fn check_stages(&mut self, path: &str, entry: &file::Rollout) {
        let is_rising = entry.stages.windows(2).all(|pair| pair[0] < pair[1]);
        let is_share = |share: &f64| *share > 0.0 && *share <= 1.0;
        if entry.stages.is_empty() || !is_rising || !entry.stages.iter().all(is_share) {
            self.report(
                &format!("{path}/stages"),
                "shares must rise, each over 0 and at most 1",
            );
        } else if entry.stage >= entry.stages.len() {
            let last = entry.stages.len() - 1;
            self.report(
                &format!("{path}/stage"),
                format!("{} must be a position in stages, 0 to {last}", entry.stage),
            );
        }
    }

    fn version_of_model(&mut self, path: &str, model: &str, name: &str) -> Option<key::Version> {
        let model_key = self.known_model(model)?;
        let found = self
            .known_version(name)
            .filter(|key| self.catalog.versions[*key].model == model_key);
        if found.is_none() {
            let versions = &self.merged.file.versions;
            let is_of_model =
                |version: &&String| version.split_once('@').is_some_and(|(of, _)| of == model);
            let defined = list_defined(versions.keys().filter(is_of_model));
            self.report(path, format!("{name} is no version of {model}; {defined}"));
        }
        found
    }
}
