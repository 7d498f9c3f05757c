//! Computation and validation of the manifest that a change request results in.

use std::collections::BTreeMap;

use bytes::Bytes;
use fescuerack_config::{Catalog, Folder, Merged, Names, Problem, folder};

use super::super::{Change, File, MAX_REASON_BYTES, Manifest};
use super::{Applied, Apply, Phase, encode};
use crate::store::MAX_VALUE_BYTES;

impl Apply {
    /// Returns a problem if a file of the request is too large for the store.
    pub(super) fn find_oversized_file(&self) -> Option<Problem> {
        let mut files = self.change_request.files.iter();
        let (name, content) = files.find(|(_, content)| {
            content
                .as_ref()
                .is_some_and(|content| content.len() > MAX_VALUE_BYTES)
        })?;
        let size = content.as_ref().map_or(0, Bytes::len);
        let message = format!("{size} bytes; a file holds at most {MAX_VALUE_BYTES}, split it");
        Some(Problem::new(name, 0, message))
    }

    /// Compares the request with the current manifest. Returns a conflict, or
    /// that there is nothing to change, or `None` if the change can be applied.
    pub(super) fn compare(&self) -> Option<Applied> {
        let mut has_changes = false;
        for (name, content) in &self.change_request.files {
            let current = self.current.files.get(name);
            let wanted = content.as_ref().map(|content| folder::digest(content));
            if current.map(|file| &file.digest) == wanted.as_ref() {
                continue;
            }
            has_changes = true;
            let base = self.change_request.base.files.get(name);
            if current.map(|file| &file.digest) != base.map(|file| &file.digest) {
                return Some(Applied::Conflict {
                    file: name.clone(),
                    theirs: current.cloned(),
                });
            }
        }
        let revision = self.current.revision;
        (!has_changes).then_some(Applied::Unchanged { revision })
    }

    /// Once every unchanged file is fetched, builds the next manifest, validates
    /// the merged configuration and continues with writing the files.
    pub(super) fn prepare_if_fetched(&mut self) {
        if !self.missing.is_empty() {
            return;
        }
        let revision = self.current.revision + 1;
        let mut files = self.current.files.clone();
        let mut digests = BTreeMap::new();
        for (name, content) in &self.change_request.files {
            let digest = content.as_ref().map(|content| folder::digest(content));
            digests.insert(name.clone(), digest.clone());
            let Some(digest) = digest else {
                files.remove(name);
                continue;
            };
            let file = File {
                digest,
                author: self.change_request.author.clone(),
                revision,
            };
            files.insert(name.clone(), file);
        }
        let mut reason = self.change_request.reason.clone();
        reason.truncate(reason.floor_char_boundary(MAX_REASON_BYTES));
        self.next = Manifest {
            revision,
            files,
            change: Change {
                revision,
                author: self.change_request.author.clone(),
                reason,
                at: self.change_request.at,
                request: self.change_request.request.clone(),
                files: digests,
            },
        };
        self.phase = match self.check() {
            Ok(()) => Phase::Blobs,
            Err(problems) => self.confirmed(Applied::Refused(problems)),
        };
        self.blobs = self
            .change_request
            .files
            .values()
            .flatten()
            .cloned()
            .collect();
    }

    fn check(&self) -> Result<(), Vec<Problem>> {
        let mut merged = Folder::new();
        for (name, file) in &self.next.files {
            let requested = self.change_request.files.get(name).cloned().flatten();
            let content = requested.or_else(|| self.contents.get(&file.digest).cloned());
            merged = merged.with_file(name, content.unwrap_or_default());
        }
        let merged = Merged::new(&merged)?;
        Catalog::new(self.next.revision, &merged, &mut Names::new())?;
        let size = encode(&self.next).len();
        if size > MAX_VALUE_BYTES {
            let message = format!("the manifest has {size} bytes, over {MAX_VALUE_BYTES}");
            return Err(vec![Problem::new("", 0, message)]);
        }
        Ok(())
    }
}
