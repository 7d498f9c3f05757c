//! `fescuerack apply`.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use anyhow::{Context as _, Result, ensure};
use clap::Args;
use fescuerack_config::Folder;
use fescuerack_config::folder::digest;
use fescuerack_wire::admin::Proposal;

use crate::access::{Access, Client};
use crate::change::{self, Record};
use crate::print::Output;

/// File that `show --into` writes to a folder: the digests of the files that it
/// wrote there. A file that somebody else has changed since is a conflict.
pub const SEEN_FILE: &str = ".fescuerack-seen.json";

/// Puts a folder in force and waits until every instance has it.
#[derive(Debug, Args)]
pub struct Apply {
    /// Folder of YAML files; it may hold your files only.
    #[arg(value_name = "DIR")]
    folder: PathBuf,
    /// Removes files that the folder does not hold.
    #[arg(long)]
    remove: bool,
    #[command(flatten)]
    record: Record,
    #[command(flatten)]
    access: Access,
}

impl Apply {
    /// Submits the folder and waits until it is active.
    ///
    /// # Errors
    ///
    /// Fails when the folder is not accepted, or is not active on every instance
    /// within the time given.
    pub fn execute(self, output: Output) -> Result<()> {
        let client = self.access.client()?;
        let proposal = proposal(&client, &self.folder, self.remove)?;
        change::submit(&client, output, &self.record, proposal)?;
        if self.folder.join(SEEN_FILE).exists() {
            // The folder now equals the active configuration: later changes are based on it.
            write_seen(&self.folder, &Folder::read(&self.folder)?)?;
        }
        Ok(())
    }
}

/// Returns a proposal for a folder: the files that differ from the current
/// configuration, and the digests of the files that the folder is based on.
///
/// # Errors
///
/// Fails when the folder or the current configuration cannot be read.
pub fn proposal(client: &Client, path: &Path, remove: bool) -> Result<Proposal> {
    let folder = Folder::read(path).with_context(|| format!("read {}", path.display()))?;
    ensure!(
        !folder.files.is_empty(),
        "{} holds no .yaml file",
        path.display()
    );
    let current = client.configuration()?;
    let mut proposal = Proposal {
        base: read_seen(path)?.unwrap_or_else(|| {
            let files = current.files.iter();
            files
                .map(|(name, file)| (name.clone(), file.digest.clone()))
                .collect()
        }),
        ..Proposal::default()
    };
    for (name, content) in &folder.files {
        let known = current.files.get(name);
        if known.is_some_and(|known| known.digest == digest(content)) {
            continue;
        }
        let text = std::str::from_utf8(content);
        let text = text.with_context(|| format!("{name} is not UTF-8"))?;
        proposal.files.insert(name.clone(), Some(text.to_owned()));
    }
    if remove {
        for name in current.files.keys() {
            if !folder.files.contains_key(name) {
                proposal.files.insert(name.clone(), None);
            }
        }
    }
    Ok(proposal)
}

/// Reads the digests of the files that a folder is based on, if it has them.
fn read_seen(path: &Path) -> Result<Option<BTreeMap<String, String>>> {
    let path = path.join(SEEN_FILE);
    if !path.exists() {
        return Ok(None);
    }
    let text =
        std::fs::read_to_string(&path).with_context(|| format!("read {}", path.display()))?;
    let seen = serde_json::from_str(&text).with_context(|| format!("parse {}", path.display()))?;
    Ok(Some(seen))
}

/// Records in a folder the digests of the files that it is based on.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub fn write_seen(path: &Path, folder: &Folder) -> Result<()> {
    let files = folder.files.iter();
    let seen: BTreeMap<_, _> = files
        .map(|(name, content)| (name, digest(content)))
        .collect();
    let path = path.join(SEEN_FILE);
    std::fs::write(&path, serde_json::to_vec_pretty(&seen)?)
        .with_context(|| format!("write {}", path.display()))
}
