//! `fescuerackd`: the process on each instance.

use std::process::ExitCode;

use clap::Parser as _;
use fescuerack_node::commands;

fn main() -> ExitCode {
    match commands::Arguments::parse().execute() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fescuerackd: {error:#}");
            ExitCode::FAILURE
        }
    }
}
