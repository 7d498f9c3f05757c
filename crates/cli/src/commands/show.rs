//! `fescuerack show`.

use std::path::{Path, PathBuf};

use anyhow::{Context as _, Result};
use bytes::Bytes;
use clap::Args;
use fescuerack_config::Folder;
use fescuerack_wire::admin::{Configuration, Source};

use super::apply;
use crate::access::Access;
use crate::print::{self, Output};

/// Shows the configuration, one of its files, or writes it to a folder.
#[derive(Debug, Args)]
pub struct Show {
    /// File whose text is printed.
    #[arg(value_name = "FILE")]
    file: Option<String>,
    /// Folder to write all files to, as a start for changes: `apply` then
    /// tells of files that somebody else changed meanwhile.
    #[arg(long, value_name = "DIR", conflicts_with = "file")]
    into: Option<PathBuf>,
    #[command(flatten)]
    access: Access,
}

impl Show {
    /// Prints or writes the configuration.
    ///
    /// # Errors
    ///
    /// Fails when no instance or store answers, no file has the given name, or
    /// the folder cannot be written.
    pub fn execute(self, output: Output) -> Result<()> {
        let configuration = self.access.client()?.configuration()?;
        if configuration.source == Source::Instance {
            eprintln!(
                "the store gives no answer: this is what is in force on the instance that was \
                 asked; a later change may have been accepted"
            );
        }
        if let Some(name) = &self.file {
            let file = configuration.files.get(name);
            let file = file.with_context(|| format!("no file is named {name}"))?;
            return print::line(file.text.trim_end_matches('\n'));
        }
        if let Some(path) = &self.into {
            return write_folder(path, &configuration);
        }
        output.print(&configuration, format_table)
    }
}

/// Writes the files of a configuration to a folder, with their digests.
fn write_folder(path: &Path, configuration: &Configuration) -> Result<()> {
    std::fs::create_dir_all(path).with_context(|| format!("create {}", path.display()))?;
    let mut folder = Folder::new();
    for (name, file) in &configuration.files {
        let target = path.join(name);
        std::fs::write(&target, &file.text)
            .with_context(|| format!("write {}", target.display()))?;
        folder = folder.with_file(name, Bytes::from(file.text.clone()));
    }
    apply::write_seen(path, &folder)?;
    print::line(&format!(
        "revision {}: {} files in {}",
        configuration.revision,
        folder.files.len(),
        path.display()
    ))
}

fn format_table(configuration: &Configuration) -> String {
    const DIGEST_PREFIX_CHARS: usize = 12;
    let rows = configuration.files.iter().map(|(name, file)| {
        [
            name.clone(),
            file.revision.to_string(),
            file.author.clone(),
            file.text.lines().count().to_string(),
            file.digest.chars().take(DIGEST_PREFIX_CHARS).collect(),
        ]
    });
    let header = ["file", "changed in", "by", "lines", "digest"];
    let table = print::table(header, rows.collect());
    format!("revision {}\n{table}", configuration.revision)
}
