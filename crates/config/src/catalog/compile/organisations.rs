//! Section `organisations`.

use std::collections::BTreeSet;

use super::super::Organisation;
use super::{Builder, list_defined};
use crate::folder::is_digest;
use crate::{file, key};

const MAX_REQUESTS_PER_SECOND: f64 = 1e6;

impl Builder<'_> {
    pub(super) fn organisations(&mut self) {
        for (name, entry) in &self.merged.file.organisations {
            self.organisation(name, entry);
        }
    }

    fn organisation(&mut self, name: &str, entry: &file::Organisation) {
        let path = format!("organisations/{name}");
        let organisation = self.names.organisations.intern(name);
        let allowed = self.allowed_versions(&path, &entry.allow);
        for (index, service) in entry.services.iter().enumerate() {
            if !self.merged.file.services.contains_key(service) {
                let defined = list_defined(self.merged.file.services.keys());
                self.report(
                    &format!("{path}/services/{index}"),
                    format!("no service is named {service}; {defined}"),
                );
            }
        }
        if entry.weight == 0 {
            self.report(&format!("{path}/weight"), "must be at least 1");
        }
        if entry
            .rate
            .is_some_and(|rate| !(rate > 0.0 && rate <= MAX_REQUESTS_PER_SECOND))
        {
            let message = format!("must lie above 0 and at most {MAX_REQUESTS_PER_SECOND}");
            self.report(&format!("{path}/rate"), message);
        }
        self.register_keys(&path, organisation, &entry.keys);
        self.catalog.organisations.insert(
            organisation,
            Organisation {
                allowed,
                services: entry.services.iter().cloned().collect(),
                weight: entry.weight,
                rate: entry.rate,
                below_target: entry.below_target,
            },
        );
    }

    fn allowed_versions(&mut self, path: &str, names: &[String]) -> BTreeSet<key::Version> {
        let mut allowed = BTreeSet::new();
        for (index, name) in names.iter().enumerate() {
            if let Some(version) = self.known_version(name) {
                allowed.insert(version);
            } else if let Some(model) = self.known_model(name) {
                allowed.extend(self.catalog.models[model].iter().copied());
            } else {
                let models = self.merged.file.models.keys();
                let defined = list_defined(models.chain(self.merged.file.versions.keys()));
                self.report(
                    &format!("{path}/allow/{index}"),
                    format!("{name} names no model and no version; {defined}"),
                );
            }
        }
        allowed
    }

    fn register_keys(&mut self, path: &str, organisation: key::Organisation, digests: &[String]) {
        for (index, digest) in digests.iter().enumerate() {
            let path = format!("{path}/keys/{index}");
            if !is_digest(digest) {
                self.report(
                    &path,
                    "a key is kept as its SHA-256 digest, 64 digits in lower-case hex \
                     (`fescuerack digest` makes one)",
                );
            }
            let taken = self
                .catalog
                .organisation_by_key
                .insert(digest.clone(), organisation);
            if let Some(other) = taken.filter(|other| *other != organisation) {
                let other = self.names.organisations.name(other).to_string();
                self.report(
                    &path,
                    format!("the same key belongs to organisation {other}"),
                );
            }
        }
    }
}
