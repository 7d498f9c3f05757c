//! Working out the manifest that a wish asks for, and checking it.

use std::collections::BTreeMap;

use bytes::Bytes;
use fescuerack_config::{Catalog, Folder, Merged, Names, Problem, folder};

use super::super::{Change, File, MAX_REASON_BYTES, Manifest};
use super::{Applied, Apply, Phase, encode};
use crate::store::LARGEST_VALUE;

impl Apply {
    pub(super) fn oversize(&self) -> Option<Problem> {
        let mut files = self.change_request.files.iter();
        let (name, content) = files.find(|(_, content)| {
            content
                .as_ref()
                .is_some_and(|content| content.len() > LARGEST_VALUE)
        })?;
        let size = content.as_ref().map_or(0, Bytes::len);
        let message = format!("{size} bytes; a file holds at most {LARGEST_VALUE}, split it");
        Some(Problem::new(name, 0, message))
    }

    pub(super) fn compare(&self) -> Option<Applied> {
        let mut changes = false;
        for (name, content) in &self.change_request.files {
            let stands = self.current.files.get(name);
            let wanted = content.as_ref().map(|content| folder::digest(content));
            if stands.map(|file| &file.digest) == wanted.as_ref() {
                continue;
            }
            changes = true;
            let seen = self.change_request.base.files.get(name);
            if stands.map(|file| &file.digest) != seen.map(|file| &file.digest) {
                return Some(Applied::Conflict {
                    file: name.clone(),
                    theirs: stands.cloned(),
                });
            }
        }
        let revision = self.current.revision;
        (!changes).then_some(Applied::Unchanged { revision })
    }

    /// Goes on once every file is at hand: merges, checks and prepares.
    pub(super) fn fetched(&mut self) {
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
            let wished = self.change_request.files.get(name).cloned().flatten();
            let content = wished.or_else(|| self.contents.get(&file.digest).cloned());
            merged = merged.with_file(name, content.unwrap_or_default());
        }
        let merged = Merged::new(&merged)?;
        Catalog::new(self.next.revision, &merged, &mut Names::new())?;
        let size = encode(&self.next).len();
        if size > LARGEST_VALUE {
            let message = format!("the manifest has {size} bytes, over {LARGEST_VALUE}");
            return Err(vec![Problem::new("", 0, message)]);
        }
        Ok(())
    }
}
