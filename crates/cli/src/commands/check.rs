//! `fescuerack check`.

use std::path::PathBuf;

use anyhow::{Context as _, Result, ensure};
use clap::Args;
use fescuerack_config::{Catalog, Folder, Merged, Names, Problem};
use serde::Serialize;

use crate::exit::Failed;
use crate::print::Output;

/// Checks a folder of configuration files and prints every problem.
///
/// The folder must hold every file: a reference to an entry that only another
/// team's file holds counts as a problem. `plan` checks a single file against
/// what is in force.
#[derive(Debug, Args)]
pub struct Check {
    /// Folder of YAML files.
    #[arg(value_name = "DIR")]
    folder: PathBuf,
}

#[derive(Debug, Default, Serialize)]
struct Report {
    ok: bool,
    problems: Vec<Problem>,
    organisations: usize,
    versions: usize,
    targets: usize,
    backends: usize,
}

impl Check {
    /// Prints all problems, or what the folder holds.
    ///
    /// # Errors
    ///
    /// Fails when the folder cannot be read, is empty or holds a problem.
    pub fn execute(self, output: Output) -> Result<()> {
        let folder = Folder::read(&self.folder)
            .with_context(|| format!("read {}", self.folder.display()))?;
        let shown = self.folder.display();
        ensure!(!folder.files.is_empty(), "{shown} holds no .yaml file");
        match compile_folder(&folder) {
            Ok(catalog) => output.print(&Report::new(&catalog), |report| {
                format!(
                    "ok: {} organisations, {} versions, {} targets, {} backends",
                    report.organisations, report.versions, report.targets, report.backends
                )
            }),
            Err(problems) => {
                if output == Output::Json {
                    let report = Report {
                        problems: problems.clone(),
                        ..Report::default()
                    };
                    output.print(&report, |_| String::new())?;
                }
                Err(Failed::problems(problems).into())
            }
        }
    }
}

impl Report {
    fn new(catalog: &Catalog) -> Self {
        Self {
            ok: true,
            problems: Vec::new(),
            organisations: catalog.organisations.len(),
            versions: catalog.versions.len(),
            targets: catalog.classes.len(),
            backends: catalog.fleets.len(),
        }
    }
}

fn compile_folder(folder: &Folder) -> Result<Catalog, Vec<Problem>> {
    let merged = Merged::new(folder)?;
    Catalog::new(0, &merged, &mut Names::new())
}
