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
mod print;

use std::process::ExitCode;

use clap::Parser as _;

fn main() -> ExitCode {
    match commands::Arguments::parse().execute() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fescuerack: {error:#}");
            exit::code(&error)
        }
    }
}
