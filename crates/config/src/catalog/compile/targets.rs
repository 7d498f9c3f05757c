//! Section `targets`: the classes of work and their quality targets.

use super::super::Class;
use super::{Builder, list_defined};
use crate::file;

/// Fraction of the target's quality used as `bad_quality` when the entry does not set it.
const DEFAULT_BAD_QUALITY_RATIO: f64 = 0.75;
/// Largest share of requests that may explore a version of uncertain quality.
const MAX_EXPLORE_SHARE: f64 = 0.2;

impl Builder<'_> {
    pub(super) fn targets(&mut self) {
        for (name, entry) in &self.merged.file.targets {
            self.target(name, entry);
        }
    }

    fn target(&mut self, name: &str, entry: &file::Target) {
        let path = format!("targets/{name}");
        self.check_share(&format!("{path}/quality"), entry.quality);
        let bad_quality = entry
            .bad_quality
            .unwrap_or(entry.quality * DEFAULT_BAD_QUALITY_RATIO);
        self.check_share(&format!("{path}/bad_quality"), bad_quality);
        if !(0.0..=MAX_EXPLORE_SHARE).contains(&entry.explore) {
            self.report(
                &format!("{path}/explore"),
                format!("must lie between 0 and {MAX_EXPLORE_SHARE}"),
            );
        }
        if entry.deadline_ms == 0 {
            self.report(&format!("{path}/deadline_ms"), "must be at least 1");
        }
        if entry.first_token_ms > entry.deadline_ms {
            self.report(
                &format!("{path}/first_token_ms"),
                format!("must not be over deadline_ms, {}", entry.deadline_ms),
            );
        }
        if entry.models.is_empty() {
            self.report(&format!("{path}/models"), "must name at least one model");
        }
        let mut models = Vec::new();
        for (index, model) in entry.models.iter().enumerate() {
            if let Some(key) = self.known_model(model) {
                models.push(key);
                continue;
            }
            let defined = list_defined(self.merged.file.models.keys());
            self.report(
                &format!("{path}/models/{index}"),
                format!("no model is named {model}; {defined}"),
            );
        }
        let class = self.names.classes.intern(name);
        self.catalog.classes.insert(
            class,
            Class {
                quality: entry.quality,
                models,
                first_token_ms: entry.first_token_ms,
                deadline_ms: entry.deadline_ms,
                long: entry.long,
                cascade: entry.cascade,
                bad_quality,
                explore: entry.explore,
                priority: entry.priority,
            },
        );
    }
}
