//! `fescuerackd check`.

use std::path::PathBuf;

use anyhow::Result;
use clap::Args;

use crate::Settings;

/// Checks a settings file.
#[derive(Debug, Args)]
pub struct Check {
    /// Settings file in YAML.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

impl Check {
    /// Prints `ok` if the file is valid.
    ///
    /// # Errors
    ///
    /// Returns every problem of the file, with its line.
    pub fn execute(self) -> Result<()> {
        Settings::read(&self.settings)?;
        println!("{}: ok", self.settings.display());
        Ok(())
    }
}
