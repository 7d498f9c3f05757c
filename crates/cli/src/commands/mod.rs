//! Subcommands of `fescuerack`, one file each.

mod apply;
mod check;
mod completions;
mod demo;
mod digest;
mod dump;
mod explain;
mod history;
mod ledger;
mod organisation;
mod plan;
mod replay;
mod rollout;
mod server;
mod show;
mod top;

use anyhow::Result;
use clap::{Parser, Subcommand};

use crate::exit;
use crate::print::Output;

/// Operators' command line of fescuerack, the model-aware router for versions
/// and cascades.
#[derive(Debug, Parser)]
#[command(name = "fescuerack", version, about, after_help = exit::HELP)]
pub struct Arguments {
    /// Form of the output.
    #[arg(long, global = true, value_enum, default_value_t)]
    output: Output,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Checks a folder of configuration files without any server.
    Check(check::Check),
    /// Says what a folder would change, in words; changes nothing.
    Plan(plan::Plan),
    /// Puts a folder in force and waits until every instance has it.
    Apply(apply::Apply),
    /// Shows the configuration, or writes it to a folder.
    Show(show::Show),
    /// Shows who changed what, when and why.
    History(history::History),
    /// Opens, steps, pauses, closes and withdraws roll-outs.
    Rollout(rollout::Rollout),
    /// Retires backend servers and takes them back.
    Server(server::Server),
    /// Creates, changes and removes organisations.
    Organisation(organisation::Organisation),
    /// Shows what each organisation owes.
    Ledger(ledger::Ledger),
    /// Shows load, refusals and revisions of instances, again and again.
    Top(top::Top),
    /// Prints the whole state of a process as JSON.
    Dump(dump::Dump),
    /// Shows what happened to one request, from the log lines of instances.
    Explain(explain::Explain),
    /// Prints the digest of a key or a token, or makes a new one.
    Digest(digest::Digest),
    /// Replays a load through the decisions, to try a threshold.
    Replay(replay::Replay),
    /// Starts stand-ins and instances on this machine, to try the product.
    Demo(demo::Demo),
    /// Prints completions for a shell.
    Completions(completions::Completions),
}

impl Arguments {
    /// Executes the subcommand.
    ///
    /// # Errors
    ///
    /// Returns the error of the subcommand; [`exit::code`] gives its exit code.
    pub fn execute(self) -> Result<()> {
        let output = self.output;
        match self.command {
            Command::Check(check) => check.execute(output),
            Command::Plan(plan) => plan.execute(output),
            Command::Apply(apply) => apply.execute(output),
            Command::Show(show) => show.execute(output),
            Command::History(history) => history.execute(output),
            Command::Rollout(rollout) => rollout.execute(output),
            Command::Server(server) => server.execute(output),
            Command::Organisation(organisation) => organisation.execute(output),
            Command::Ledger(ledger) => ledger.execute(output),
            Command::Top(top) => top.execute(output),
            Command::Dump(dump) => dump.execute(),
            Command::Explain(explain) => explain.execute(),
            Command::Digest(digest) => digest.execute(),
            Command::Replay(replay) => replay.execute(),
            Command::Demo(demo) => demo.execute(),
            Command::Completions(completions) => {
                completions.execute();
                Ok(())
            }
        }
    }
}
