//! The configuration in the store: files under their digests, and one manifest
//! that names them.
//!
//! The manifest is swapped in one key, so all files of a change come into
//! force together or not at all.

use std::collections::BTreeMap;

use anyhow::{Context as _, Result, bail};
use bytes::Bytes;
use fescuerack_config::{Folder, folder};
use serde::{Deserialize, Serialize};

use crate::{Store, Swap};

/// Key of the manifest.
pub const KEY: &str = "config/manifest";

/// Which files are in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Rises by one with every accepted change.
    pub revision: u64,
    /// Digest of each file's content.
    pub files: BTreeMap<String, String>,
    /// Who made the change.
    pub author: String,
}

fn blob_key(digest: &str) -> String {
    format!("config/file/{digest}")
}

/// Reads the manifest; `None` when none has ever been accepted.
///
/// # Errors
///
/// When the store gives no answer or the manifest is malformed.
pub fn read(store: &dyn Store) -> Result<Option<(u64, Manifest)>> {
    let Some(value) = store.get(KEY).context("read the manifest")? else {
        return Ok(None);
    };
    let manifest = serde_json::from_slice(&value.bytes).context("parse the manifest")?;
    Ok(Some((value.version, manifest)))
}

/// Reads the files that a manifest names and verifies their digests.
///
/// # Errors
///
/// When a file is missing or its content does not match its digest.
pub fn fetch(store: &dyn Store, manifest: &Manifest) -> Result<Folder> {
    let mut result = Folder::new();
    for (name, digest) in &manifest.files {
        let value = store
            .get(&blob_key(digest))
            .with_context(|| format!("read file {name}"))?
            .with_context(|| format!("file {name} is missing in the store"))?;
        if folder::digest(&value.bytes) != *digest {
            bail!("file {name} does not match its digest");
        }
        result = result.with_file(name, value.bytes);
    }
    Ok(result)
}

/// Puts a whole folder in force and returns its revision.
///
/// # Errors
///
/// When the store gives no answer or another operator was faster.
pub fn publish(store: &dyn Store, files: &Folder, author: &str) -> Result<u64> {
    let (version, before) = read(store)?.unwrap_or_default();
    let mut manifest = Manifest {
        revision: before.revision + 1,
        files: BTreeMap::new(),
        author: author.to_owned(),
    };
    for (name, content) in &files.files {
        let digest = folder::digest(content);
        store
            .swap(&blob_key(&digest), 0, content.clone(), None)
            .with_context(|| format!("write file {name}"))?;
        manifest.files.insert(name.clone(), digest);
    }
    let bytes = Bytes::from(serde_json::to_vec(&manifest)?);
    match store.swap(KEY, version, bytes, None)? {
        Swap::Swapped(_) => Ok(manifest.revision),
        Swap::Conflict(_) => bail!("another operator changed the configuration meanwhile"),
    }
}
