//! Subcommands of `fescuerack`, one file each.

mod check;
mod demo;
mod dump;
mod replay;

use anyhow::Result;
use clap::{Parser, Subcommand};

/// Operators' command line of fescuerack, the model-aware router for versions
/// and cascades.
#[derive(Debug, Parser)]
#[command(name = "fescuerack", version, about)]
pub struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Checks a folder of configuration files without any server.
    Check(check::Check),
    /// Starts stand-ins and instances on this machine, to try the product.
    Demo(demo::Demo),
    /// Prints the state of a process.
    Dump(dump::Dump),
    /// Replays a load through the decisions, to try a threshold.
    Replay(replay::Replay),
}

impl Arguments {
    /// Executes the subcommand.
    ///
    /// # Errors
    ///
    /// Whatever keeps the subcommand from succeeding.
    pub fn execute(self) -> Result<()> {
        match self.command {
            Command::Check(check) => check.execute(),
            Command::Demo(demo) => demo.execute(),
            Command::Dump(dump) => dump.execute(),
            Command::Replay(replay) => replay.execute(),
        }
    }
}
