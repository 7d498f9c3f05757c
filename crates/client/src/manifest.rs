//! The configuration in the store: files, stored under their digests, and one manifest that names
//! them.
//!
//! The manifest is a single key that is replaced by compare-and-swap, so all files of a change
//! become active together or not at all. The protocol is [`fescuerack_core::activation`]; this
//! module runs it over a [`Store`].
//!
//! An operator's tool reads the manifest ([`read`]), computes the changes ([`Plan`]), shows them,
//! and activates them ([`apply`]). The [`ChangeRequest`] contains the manifest on which the plan is
//! based: if another operator has changed one of its files since then, the change is a conflict.

use std::collections::BTreeMap;
use std::time::Duration;

use anyhow::{Context as _, Result, bail};
use bytes::Bytes;
use fescuerack_config::{Folder, folder};
use fescuerack_core::activation::{
    Apply, CHANGES_PER_CHUNK, CHUNK_COUNT, Chunk, blob_key, chunk_key,
};

pub use fescuerack_core::activation::{Applied, Change, ChangeRequest, File, KEY, Manifest};

use crate::drive::{self, Timer as _, WallClock};
use crate::{Store, Value};

/// Time after which an attempt to activate a change is abandoned.
const APPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads the manifest and its version in the store, or `None` if no configuration has ever been
/// accepted.
///
/// # Errors
///
/// Returns an error if the store does not answer or the manifest is malformed.
pub fn read(store: &dyn Store) -> Result<Option<(u64, Manifest)>> {
    let Some(value) = store.get(KEY).context("read the manifest")? else {
        return Ok(None);
    };
    let manifest = parse(&value).context("parse the manifest")?;
    Ok(Some((value.version, manifest)))
}

fn parse<T: serde::de::DeserializeOwned>(value: &Value) -> Result<T> {
    Ok(serde_json::from_slice(&value.bytes)?)
}

/// Reads the files that a manifest names and verifies their digests.
///
/// # Errors
///
/// Returns an error if the store does not answer, or if a file is missing or its content does not
/// match its digest.
pub fn fetch(store: &dyn Store, manifest: &Manifest) -> Result<Folder> {
    fetch_with(store, manifest, &Folder::new())
}

/// Number of times that a file is read before it counts as missing; a replica of the store that
/// lags may lack it (see [`read_file`]).
const MAX_FILE_READS: u32 = 3;

/// Like [`fetch`], but takes files with the right digest from `cached` instead of the store.
///
/// # Errors
///
/// Returns an error if the store does not answer, or if a file is missing or its content does not
/// match its digest.
pub fn fetch_with(store: &dyn Store, manifest: &Manifest, cached: &Folder) -> Result<Folder> {
    let mut result = Folder::new();
    for (name, file) in &manifest.files {
        let cached_content = cached.files.get(name);
        if let Some(content) =
            cached_content.filter(|content| folder::digest(content) == file.digest)
        {
            result = result.with_file(name, content.clone());
            continue;
        }
        let content = read_file(store, &file.digest);
        let content = content.with_context(|| format!("read file {name}"))?;
        result = result.with_file(name, content);
    }
    verify(manifest, &result)?;
    Ok(result)
}

/// Reads a file that a manifest names.
///
/// A file is written before the manifest that names it and is never deleted, so a missing file
/// means that the read was served by a replica of the store that lags. Only the file is read again:
/// starting over with the manifest could reach the same replicas in the same order every time.
fn read_file(store: &dyn Store, digest: &str) -> Result<Bytes> {
    for _ in 0..MAX_FILE_READS {
        if let Some(value) = store.get(&blob_key(digest))? {
            return Ok(value.bytes);
        }
    }
    bail!("it is missing in the store")
}

/// Verifies that a folder contains exactly the files that a manifest names.
///
/// # Errors
///
/// Returns an error if a file is missing, does not match its digest, or is not in the manifest.
pub fn verify(manifest: &Manifest, files: &Folder) -> Result<()> {
    for (name, file) in &manifest.files {
        let content = files.files.get(name);
        let content = content.with_context(|| format!("file {name} is missing"))?;
        if folder::digest(content) != file.digest {
            bail!("file {name} does not match its digest");
        }
    }
    if files.files.len() != manifest.files.len() {
        bail!("the folder contains files that the manifest does not name");
    }
    Ok(())
}

/// Changes that a folder would make to a manifest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Files that would be added.
    pub added: Vec<String>,
    /// Files whose content would change.
    pub changed: Vec<String>,
    /// Files that would be removed.
    pub removed: Vec<String>,
}

impl Plan {
    /// Compares a folder with the active manifest.
    ///
    /// Files that are missing from the folder are removed only if `remove` is set, because a team
    /// that owns one file submits only that file.
    #[must_use]
    pub fn new(manifest: &Manifest, files: &Folder, remove: bool) -> Self {
        let mut plan = Self::default();
        for (name, content) in &files.files {
            match manifest.files.get(name) {
                None => plan.added.push(name.clone()),
                Some(file) if file.digest != folder::digest(content) => {
                    plan.changed.push(name.clone());
                }
                Some(_) => {}
            }
        }
        if remove {
            let missing = manifest.files.keys();
            let missing = missing.filter(|name| !files.files.contains_key(*name));
            plan.removed = missing.cloned().collect();
        }
        plan
    }

    /// Returns whether the plan contains no changes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.changed.is_empty() && self.removed.is_empty()
    }

    /// Returns the change request for this plan, based on the manifest `base`. The caller fills in
    /// author, reason and request.
    #[must_use]
    pub fn change_request(&self, base: Manifest, files: &Folder) -> ChangeRequest {
        let put = self.added.iter().chain(&self.changed);
        let put = put.map(|name| (name.clone(), files.files.get(name).cloned()));
        let removed = self.removed.iter().map(|name| (name.clone(), None));
        ChangeRequest {
            base,
            files: put.chain(removed).collect(),
            at: unix_seconds(),
            ..ChangeRequest::default()
        }
    }
}

/// Returns the wall-clock time in seconds since the Unix epoch.
#[must_use]
pub fn unix_seconds() -> u64 {
    WallClock::new().now().0 / 1_000_000
}

/// Activates a change request. The same request may be sent again after [`Applied::Unknown`].
pub fn apply(store: &dyn Store, change_request: ChangeRequest) -> Applied {
    let timer = WallClock::new();
    let seed = timer.now().0;
    let mut machine = Apply::new(change_request, timer.now() + APPLY_TIMEOUT, seed);
    drive::run(store, &timer, &mut machine)
}

/// Reads the latest changes, newest first, up to `max_changes` of them.
///
/// # Errors
///
/// Returns an error if the store does not answer or the history is malformed.
pub fn history(store: &dyn Store, max_changes: usize) -> Result<Vec<Change>> {
    let Some((_, manifest)) = read(store)? else {
        return Ok(Vec::new());
    };
    let mut changes = vec![manifest.change.clone()];
    let newest = manifest.revision / CHANGES_PER_CHUNK;
    let oldest = newest.saturating_sub(CHUNK_COUNT - 1);
    for index in (oldest..=newest).rev() {
        if changes.len() >= max_changes {
            break;
        }
        let Some(value) = store.get(&chunk_key(index * CHANGES_PER_CHUNK))? else {
            continue;
        };
        let chunk: Chunk = parse(&value).context("parse the history")?;
        // The ring of chunks reuses keys, so the chunk may hold revisions of another round.
        let newest_first = chunk.changes.into_iter().rev();
        let in_chunk = newest_first.filter(|change| change.revision / CHANGES_PER_CHUNK == index);
        changes.extend(in_chunk.filter(|change| change.revision < manifest.revision));
    }
    changes.truncate(max_changes);
    Ok(changes)
}

/// Replaces the whole configuration by a folder and returns the new revision.
///
/// # Errors
///
/// Returns an error if the change is refused or conflicts, or if the store does not answer.
pub fn publish(store: &dyn Store, files: &Folder, author: &str) -> Result<u64> {
    let (_, base) = read(store)?.unwrap_or_default();
    let plan = Plan::new(&base, files, true);
    let change_request = ChangeRequest {
        author: author.to_owned(),
        request: format!("publish-{author}-{}", WallClock::new().now().0),
        ..plan.change_request(base, files)
    };
    match apply(store, change_request) {
        Applied::Accepted { revision } | Applied::Unchanged { revision } => Ok(revision),
        Applied::Conflict { file, theirs } => {
            let by = theirs.map_or_else(String::new, |file| format!(" by {}", file.author));
            bail!("{file} was changed{by} meanwhile")
        }
        Applied::Refused(problems) => {
            let problems: Vec<_> = problems.iter().map(ToString::to_string).collect();
            bail!("{}", problems.join("\n"))
        }
        Applied::Broken(what) => bail!("{what}"),
        Applied::Unknown => bail!("no answer from the store; the change may be in force"),
        Applied::Unavailable => bail!("no answer from the store; nothing was changed"),
    }
}

/// Returns the digest of each file of a manifest, by file name.
#[must_use]
pub fn digests(manifest: &Manifest) -> BTreeMap<String, String> {
    let files = manifest.files.iter();
    files
        .map(|(name, file)| (name.clone(), file.digest.clone()))
        .collect()
}
