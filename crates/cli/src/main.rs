//! `fescuerack`: the operators' command line.
//!
//! Each subcommand is one file in `commands`. Subcommands read the configuration
//! through [`access`], change it through [`change`], print through [`mod@print`]
//! and exit with one of the codes in [`exit`].

mod access;
mod change;
mod commands;
mod demo;
mod exit;
mod live;
mod print;
mod timeline;

use std::process::ExitCode;

use clap::Parser as _;

fn main() -> ExitCode {
    match commands::Arguments::parse().execute() {
        Ok(()) => ExitCode::SUCCESS,
        // The reader closed the pipe, as `head` does; this is not a failure.
        Err(error) if is_broken_pipe(&error) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fescuerack: {error:#}");
            exit::code(&error)
        }
    }
}

/// Returns whether an error is a write to a closed pipe.
fn is_broken_pipe(error: &anyhow::Error) -> bool {
    let cause = error.downcast_ref::<std::io::Error>();
    cause.is_some_and(|cause| cause.kind() == std::io::ErrorKind::BrokenPipe)
}
