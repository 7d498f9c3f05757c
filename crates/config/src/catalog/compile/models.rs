//! Sections `models` and `versions`.

use slotmap::SecondaryMap;

use super::super::{Cost, Version};
use super::{Builder, list_defined};
use crate::file;

/// Expected quality of a version whose entry has no `default`.
const DEFAULT_QUALITY: f64 = 0.5;
/// Name in `quality` that applies to all classes without an entry of their own.
const DEFAULT_CLASS: &str = "default";

impl Builder<'_> {
    pub(super) fn models(&mut self) {
        for name in self.merged.file.models.keys() {
            let model = self.names.models.intern(name);
            self.catalog.models.insert(model, Vec::new());
        }
        for name in self.merged.file.targets.keys() {
            self.names.classes.intern(name);
        }
    }

    pub(super) fn versions(&mut self) {
        for (name, entry) in &self.merged.file.versions {
            self.version(name, entry);
        }
    }

    fn version(&mut self, name: &str, entry: &file::Version) {
        let path = format!("versions/{name}");
        let model = name
            .split_once('@')
            .and_then(|(model, _)| self.known_model(model));
        let Some(model) = model else {
            let defined = list_defined(self.merged.file.models.keys());
            self.report(
                &path,
                format!("the part before `@` must name a model; {defined}"),
            );
            return;
        };
        let quality_by_class = self.quality_by_class(&path, entry);
        if !entry.prior_weight.is_finite() || entry.prior_weight < 0.0 {
            self.report(
                &format!("{path}/prior_weight"),
                "must be a number of 0 or more",
            );
        }
        let key = self.names.versions.intern(name);
        self.catalog.models[model].push(key);
        let quality = entry.quality.get(DEFAULT_CLASS).copied();
        self.catalog.versions.insert(
            key,
            Version {
                model,
                cost: Cost {
                    input: entry.cost_input,
                    output: entry.cost_output,
                },
                quality_by_class,
                quality: quality.unwrap_or(DEFAULT_QUALITY),
                prior_weight: entry.prior_weight,
                state: entry.state,
                fleets: Vec::new(),
            },
        );
    }

    fn quality_by_class(
        &mut self,
        path: &str,
        entry: &file::Version,
    ) -> SecondaryMap<crate::key::Class, f64> {
        let mut by_class = SecondaryMap::new();
        for (class, quality) in &entry.quality {
            let path = format!("{path}/quality/{class}");
            self.check_share(&path, *quality);
            if class == DEFAULT_CLASS {
                continue;
            }
            if !self.merged.file.targets.contains_key(class) {
                let defined = list_defined(self.merged.file.targets.keys());
                self.report(&path, format!("no target is named {class}; {defined}"));
            } else if let Some(class) = self.names.classes.get(class) {
                by_class.insert(class, *quality);
            }
        }
        by_class
    }
}
