//! `fescuerack`: the operators' command line.
//!
//! Each subcommand is one file of `commands`. They reach the configuration
//! through [`access`], change it through [`change`], print through [`mod@print`],
//! and end with one of the codes of [`exit`].

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
        // Whoever read the output has seen enough.
        Err(error) if is_broken_pipe(&error) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fescuerack: {error:#}");
            exit::code(&error)
        }
    }
}

fn is_broken_pipe(error: &anyhow::Error) -> bool {
    let cause = error.downcast_ref::<std::io::Error>();
    cause.is_some_and(|cause| cause.kind() == std::io::ErrorKind::BrokenPipe)
}
