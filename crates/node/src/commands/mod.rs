//! Subcommands of `fescuerackd`.

mod check;
mod gateway;
mod run;

use anyhow::Result;
use clap::{Parser, Subcommand};

/// Model-aware router for versions and cascades: the process on each instance.
#[derive(Debug, Parser)]
#[command(name = "fescuerackd", version, about)]
pub struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs until SIGTERM or SIGINT.
    Run(run::Run),
    /// Routes callers' requests on the users' platform.
    Gateway(gateway::Gateway),
    /// Checks a settings file and exits.
    Check(check::Check),
}

impl Arguments {
    /// Executes the subcommand.
    ///
    /// # Errors
    ///
    /// Returns the error of the subcommand.
    pub fn execute(self) -> Result<()> {
        match self.command {
            Command::Run(run) => run.execute(),
            Command::Gateway(gateway) => gateway.execute(),
            Command::Check(check) => check.execute(),
        }
    }
}
