//! Sections `backends` and `services`.

use super::super::{Fleet, Service};
use super::{Builder, list_defined};
use crate::file::Kind;
use crate::{file, key};

impl Builder<'_> {
    pub(super) fn backends(&mut self) {
        for (name, entry) in &self.merged.file.backends {
            self.backend(name, entry);
        }
    }

    fn backend(&mut self, name: &str, entry: &file::Backend) {
        let path = format!("backends/{name}");
        let fleet = self.names.fleets.intern(name);
        let versions = self.served_versions(&path, fleet, &entry.versions);
        if entry.kind == Kind::Service && !entry.versions.is_empty() {
            self.report(
                &format!("{path}/versions"),
                "only a fleet of kind `engine` serves versions",
            );
        }
        if entry.slots == 0 {
            self.report(&format!("{path}/slots"), "must be at least 1");
        }
        self.catalog.fleets.insert(
            fleet,
            Fleet {
                kind: entry.kind,
                versions,
                slots: entry.slots,
                fences: entry.fences,
                retired: entry.retired.iter().cloned().collect(),
            },
        );
    }

    fn served_versions(
        &mut self,
        path: &str,
        fleet: key::Fleet,
        names: &[String],
    ) -> Vec<key::Version> {
        let mut versions = Vec::new();
        for (index, name) in names.iter().enumerate() {
            let path = format!("{path}/versions/{index}");
            let Some(key) = self.known_version(name) else {
                let defined = list_defined(self.merged.file.versions.keys());
                self.report(&path, format!("no version is named {name}; {defined}"));
                continue;
            };
            if versions.contains(&key) {
                self.report(&path, format!("{name} stands here twice"));
                continue;
            }
            self.catalog.versions[key].fleets.push(fleet);
            versions.push(key);
        }
        versions
    }

    pub(super) fn services(&mut self) {
        for (name, entry) in &self.merged.file.services {
            self.service(name, entry);
        }
    }

    fn service(&mut self, name: &str, entry: &file::Service) {
        let path = format!("services/{name}");
        let fleet = self.names.fleets.get(&entry.backend);
        let fleet = fleet.and_then(|key| Some((key, self.catalog.fleets.get(key)?.kind)));
        let Some((fleet, kind)) = fleet else {
            let defined = list_defined(self.merged.file.backends.keys());
            let message = format!("no backend is named {}; {defined}", entry.backend);
            self.report(&format!("{path}/backend"), message);
            return;
        };
        if kind != Kind::Service {
            let message = format!("{} must be a backend of kind `service`", entry.backend);
            self.report(&format!("{path}/backend"), message);
        }
        if entry.deadline_ms == 0 {
            self.report(&format!("{path}/deadline_ms"), "must be at least 1");
        }
        self.catalog.services.insert(
            name.to_owned(),
            Service {
                fleet,
                idempotent: entry.idempotent,
                keyless: entry.keyless,
                deadline_ms: entry.deadline_ms,
            },
        );
    }
}
