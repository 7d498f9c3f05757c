//! `fescuerackd run`.

use std::io::Write as _;
use std::path::PathBuf;

use anyhow::{Context as _, Result};
use clap::Args;
use flexi_logger::Logger;
use serde_json::json;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::{Logs, Node, Settings};

/// Runs the process.
#[derive(Debug, Args)]
pub struct Run {
    /// Settings file in YAML.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

impl Run {
    /// Runs until a signal asks for a graceful shutdown.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are invalid or a port cannot be bound.
    pub fn execute(self) -> Result<()> {
        let settings = Settings::read(&self.settings)?;
        let _logger = start_logger(&settings.logs)?;
        let mut signals = Signals::new([SIGTERM, SIGINT]).context("register signals")?;
        let node = Node::new(settings)?;
        print_addresses(&node)?;
        signals.forever().next();
        node.shutdown();
        Ok(())
    }
}

/// Prints the bound addresses, because a settings file may name port 0.
fn print_addresses(node: &Node) -> Result<()> {
    let addresses = json!({
        "callers": node.callers(),
        "operators": node.operators(),
        "peers": node.peers(),
    });
    let mut stdout = std::io::stdout();
    writeln!(stdout, "{addresses}").context("print the addresses")?;
    stdout.flush().context("print the addresses")
}

fn start_logger(logs: &Logs) -> Result<flexi_logger::LoggerHandle> {
    let logger = Logger::try_with_str(&logs.level)
        .with_context(|| format!("logs.level: `{}` is no level", logs.level))?
        .log_to_stderr();
    let logger = if logs.json {
        logger.format(flexi_logger::json_format)
    } else {
        logger.format(flexi_logger::detailed_format)
    };
    logger.start().context("start the logger")
}
