//! Section `operators`.

use std::sync::Arc;

use super::super::Operator;
use super::{Builder, list_defined};
use crate::file;
use crate::folder::is_digest;
use crate::permission::{Scope, WILDCARD};

impl Builder<'_> {
    pub(super) fn operators(&mut self) {
        for (name, entry) in &self.merged.file.operators {
            self.operator(name, entry);
        }
    }

    fn operator(&mut self, name: &str, entry: &file::Operator) {
        let path = format!("operators/{name}");
        for (index, organisation) in entry.organisations.iter().enumerate() {
            let known = self.merged.file.organisations.contains_key(organisation);
            if organisation != WILDCARD && !known {
                let defined = list_defined(self.merged.file.organisations.keys());
                self.report(
                    &format!("{path}/organisations/{index}"),
                    format!("no organisation is named {organisation}; `*` means all; {defined}"),
                );
            }
        }
        let operator = Arc::new(Operator {
            name: name.to_owned(),
            files: Scope::new(&entry.files),
            organisations: Scope::new(&entry.organisations),
            admin: entry.admin,
        });
        for (index, digest) in entry.tokens.iter().enumerate() {
            let path = format!("{path}/tokens/{index}");
            if !is_digest(digest) {
                self.report(
                    &path,
                    "a token is kept as its SHA-256 digest, 64 digits in lower-case hex \
                     (`fescuerack digest` makes one)",
                );
            }
            if self.catalog.organisation_by_key.contains_key(digest) {
                self.report(&path, "the same text is the key of an organisation");
            }
            let taken = self
                .catalog
                .operator_by_token
                .insert(digest.clone(), Arc::clone(&operator));
            if let Some(other) = taken.filter(|other| other.name != name) {
                self.report(
                    &path,
                    format!("the same token belongs to operator {}", other.name),
                );
            }
        }
    }
}
