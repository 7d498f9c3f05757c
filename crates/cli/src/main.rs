//! `fescuerack`: the operators' command line.

mod commands;
mod demo;

use std::process::ExitCode;

use clap::Parser as _;

fn main() -> ExitCode {
    match commands::Arguments::parse().execute() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fescuerack: {error:#}");
            ExitCode::FAILURE
        }
    }
}
