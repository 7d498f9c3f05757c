//! `fescuerack check`.

use std::path::PathBuf;

use anyhow::{Context as _, Result, bail};
use clap::Args;
use fescuerack_config::{Catalog, Folder, Merged, Names, Problem};

/// Checks a folder of configuration files and prints every problem.
#[derive(Debug, Args)]
pub struct Check {
    /// Folder of YAML files.
    #[arg(value_name = "DIR")]
    folder: PathBuf,
}

impl Check {
    /// Prints all problems, or what the folder holds.
    ///
    /// # Errors
    ///
    /// When the folder cannot be read or holds a problem.
    pub fn execute(self) -> Result<()> {
        let folder = Folder::read(&self.folder)
            .with_context(|| format!("read {}", self.folder.display()))?;
        match compile(&folder) {
            Ok(catalog) => {
                println!(
                    "ok: {} organisations, {} versions, {} classes of work, {} fleets",
                    catalog.organisations.len(),
                    catalog.versions.len(),
                    catalog.classes.len(),
                    catalog.fleets.len()
                );
                Ok(())
            }
            Err(problems) => {
                for problem in &problems {
                    eprintln!("{problem}");
                }
                bail!("{} problems", problems.len())
            }
        }
    }
}

fn compile(folder: &Folder) -> Result<Catalog, Vec<Problem>> {
    let merged = Merged::new(folder)?;
    Catalog::new(0, &merged, &mut Names::new())
}
