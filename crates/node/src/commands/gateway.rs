//! `fescuerackd gateway`.

use std::path::PathBuf;
use std::sync::Arc;

use anyhow::Result;
use clap::Args;
use fescuerack_gateway::process;
use fescuerack_platform::{Adapter, SETTINGS_FILE_ENV, read_settings};

/// Routes callers' requests on the users' platform.
#[derive(Debug, Args)]
pub struct Gateway {
    /// Settings file of the machine, in the platform's format.
    #[arg(long, value_name = "FILE", env = SETTINGS_FILE_ENV)]
    settings: PathBuf,
}

impl Gateway {
    /// Runs until a signal asks for a graceful shutdown.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are invalid or a port cannot be bound.
    pub fn execute(self) -> Result<()> {
        process::run(Arc::new(Adapter::new()), || read_settings(&self.settings))
    }
}
