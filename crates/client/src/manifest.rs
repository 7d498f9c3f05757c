//! The configuration in the store: files under their digests, and one manifest
//! that names them.
//!
//! The manifest is swapped in one key, so all files of a change come into
//! force together or not at all. The protocol is [`fescuerack_core::activation`];
//! this module runs it over a [`Store`].
//!
//! An operator's tool reads the manifest ([`read`]), works out what it would
//! change ([`Plan`]), shows it, and puts it in force ([`apply`]). The manifest
//! that the plan was made on goes with the wish: a file that somebody else has
//! changed since then is a conflict.

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

/// Time within which a change is put in force or given up.
const DEADLINE: Duration = Duration::from_secs(10);

/// Reads the manifest; `None` when none has ever been accepted.
///
/// # Errors
///
/// When the store gives no answer or the manifest is malformed.
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
/// When a file is missing or its content does not match its digest.
pub fn fetch(store: &dyn Store, manifest: &Manifest) -> Result<Folder> {
    fetch_with(store, manifest, &Folder::new())
}

/// Reads of one file before it counts as missing.
const FILE_READS: u32 = 3;

/// Like [`fetch`], but reads only files that `have` does not hold.
///
/// # Errors
///
/// When a file is missing or its content does not match its digest.
pub fn fetch_with(store: &dyn Store, manifest: &Manifest, have: &Folder) -> Result<Folder> {
    let mut result = Folder::new();
    for (name, file) in &manifest.files {
        let held = have.files.get(name);
        if let Some(content) = held.filter(|content| folder::digest(content) == file.digest) {
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
/// A file is written before the manifest that names it and never goes, so one
/// that is missing was looked for in a copy of the store that lags. Beginning
/// again with the manifest could meet the same copies in the same order for
/// ever; the file alone is read again.
fn read_file(store: &dyn Store, digest: &str) -> Result<Bytes> {
    for _ in 0..FILE_READS {
        if let Some(value) = store.get(&blob_key(digest))? {
            return Ok(value.bytes);
        }
    }
    bail!("it is missing in the store")
}

/// Verifies that a folder is exactly what a manifest names.
///
/// # Errors
///
/// When a file is missing, left over, or does not match its digest.
pub fn verify(manifest: &Manifest, files: &Folder) -> Result<()> {
    for (name, file) in &manifest.files {
        let content = files.files.get(name);
        let content = content.with_context(|| format!("file {name} is missing"))?;
        if folder::digest(content) != file.digest {
            bail!("file {name} does not match its digest");
        }
    }
    if files.files.len() != manifest.files.len() {
        bail!("files are left over that the manifest does not name");
    }
    Ok(())
}

/// What a folder would change in a manifest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Files that would be new.
    pub added: Vec<String>,
    /// Files whose content would change.
    pub changed: Vec<String>,
    /// Files that would go.
    pub removed: Vec<String>,
}

impl Plan {
    /// Compares a folder with the manifest in force. Files that the folder
    /// does not have go only when `remove` is set: a team that owns one file
    /// brings only that one.
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
            let gone = manifest.files.keys();
            let gone = gone.filter(|name| !files.files.contains_key(*name));
            plan.removed = gone.cloned().collect();
        }
        plan
    }

    /// Returns whether nothing would change.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.changed.is_empty() && self.removed.is_empty()
    }

    /// Returns the wish that the plan stands for; author, reason and request
    /// are left to be filled in.
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

/// Returns wall-clock time in seconds since 1970.
#[must_use]
pub fn unix_seconds() -> u64 {
    WallClock::new().now().0 / 1_000_000
}

/// Puts a wish in force. The same request may be sent again after
/// [`Applied::Unknown`].
pub fn apply(store: &dyn Store, change_request: ChangeRequest) -> Applied {
    let timer = WallClock::new();
    let seed = timer.now().0;
    let mut machine = Apply::new(change_request, timer.now() + DEADLINE, seed);
    drive::run(store, &timer, &mut machine)
}

/// Reads the last changes, the newest first, at most `most` of them.
///
/// # Errors
///
/// When the store gives no answer.
pub fn history(store: &dyn Store, most: usize) -> Result<Vec<Change>> {
    let Some((_, manifest)) = read(store)? else {
        return Ok(Vec::new());
    };
    let mut changes = vec![manifest.change.clone()];
    let newest = manifest.revision / CHANGES_PER_CHUNK;
    let oldest = newest.saturating_sub(CHUNK_COUNT - 1);
    for round in (oldest..=newest).rev() {
        if changes.len() >= most {
            break;
        }
        let Some(value) = store.get(&chunk_key(round * CHANGES_PER_CHUNK))? else {
            continue;
        };
        let chunk: Chunk = parse(&value).context("parse the history")?;
        let older = chunk.changes.into_iter().rev();
        let in_round = older.filter(|change| change.revision / CHANGES_PER_CHUNK == round);
        changes.extend(in_round.filter(|change| change.revision < manifest.revision));
    }
    changes.truncate(most);
    Ok(changes)
}

/// Puts a whole folder in force and returns its revision.
///
/// # Errors
///
/// When the change is refused, conflicts, or the store gives no answer.
pub fn publish(store: &dyn Store, files: &Folder, author: &str) -> Result<u64> {
    let (_, seen) = read(store)?.unwrap_or_default();
    let plan = Plan::new(&seen, files, true);
    let change_request = ChangeRequest {
        author: author.to_owned(),
        request: format!("publish-{author}-{}", WallClock::new().now().0),
        ..plan.change_request(seen, files)
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

/// Returns the digests of a manifest by file name.
#[must_use]
pub fn digests(manifest: &Manifest) -> BTreeMap<String, String> {
    let files = manifest.files.iter();
    files
        .map(|(name, file)| (name.clone(), file.digest.clone()))
        .collect()
}
