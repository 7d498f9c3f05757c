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

/// File that `show --into` leaves in a folder: digests of the files that it
/// wrote. A file that somebody else changed since then is a conflict.
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
    /// Puts the folder in force.
    ///
    /// # Errors
    ///
    /// Why it was not accepted, or that it is not in force everywhere.
    pub fn execute(self, output: Output) -> Result<()> {
        let client = self.access.client()?;
        let proposal = proposal(&client, &self.folder, self.remove)?;
        change::submit(&client, output, &self.record, proposal)?;
        if self.folder.join(SEEN_FILE).exists() {
            // From now on the folder is what is in force.
            write_seen(&self.folder, &Folder::read(&self.folder)?)?;
        }
        Ok(())
    }
}

/// Returns what a folder proposes: its files, and which files it was made on.
///
/// # Errors
///
/// When the folder or the configuration in force cannot be read.
pub fn proposal(client: &Client, path: &Path, remove: bool) -> Result<Proposal> {
    let folder = Folder::read(path).with_context(|| format!("read {}", path.display()))?;
    ensure!(
        !folder.files.is_empty(),
        "{} holds no .yaml file",
        path.display()
    );
    let current = client.configuration()?;
    let mut proposal = Proposal {
        seen: read_seen(path)?.unwrap_or_else(|| {
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

/// Notes in a folder what it was made from.
///
/// # Errors
///
/// When the note cannot be written.
pub fn write_seen(path: &Path, folder: &Folder) -> Result<()> {
    let files = folder.files.iter();
    let seen: BTreeMap<_, _> = files
        .map(|(name, content)| (name, digest(content)))
        .collect();
    let path = path.join(SEEN_FILE);
    std::fs::write(&path, serde_json::to_vec_pretty(&seen)?)
        .with_context(|| format!("write {}", path.display()))
}
