//! `fescuerack demo`.

use std::io::Write as _;
use std::path::PathBuf;

use anyhow::{Context as _, Result, ensure};
use clap::Args;
use flexi_logger::Logger;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::demo::{Deployment, once};

/// Starts stand-ins of the platform and of backend servers, and instances of
/// the real router, in one process on loopback.
#[derive(Debug, Args)]
pub struct Demo {
    /// Folder of configuration files.
    #[arg(long, value_name = "DIR", default_value = "examples/hoivapolku")]
    config: PathBuf,
    /// Number of instances.
    #[arg(long, value_name = "N", default_value_t = 3)]
    instances: usize,
    /// IP number to listen on.
    #[arg(long, value_name = "ADDR", default_value = "127.0.0.1")]
    listen: String,
    /// File to write shell variables to: addresses, an operator's token and a
    /// caller's key of the demo.
    #[arg(long, value_name = "FILE")]
    env: Option<PathBuf>,
    /// Logs changes of state too, not only what goes wrong.
    #[arg(long)]
    verbose: bool,
    /// Sends one request of each kind, prints a table and exits.
    #[arg(long)]
    once: bool,
}

impl Demo {
    /// Runs until SIGTERM or SIGINT or, with `--once`, sends one request of each kind.
    ///
    /// # Errors
    ///
    /// Fails when something cannot be started or, with `--once`, when an outcome
    /// is not the expected one.
    pub fn execute(self) -> Result<()> {
        ensure!(self.instances > 0, "--instances must be at least 1");
        let _logger = Logger::try_with_str(if self.verbose { "info" } else { "warn" })?
            .log_to_stderr()
            .start()
            .context("start the logger")?;
        let mut signals = Signals::new([SIGTERM, SIGINT]).context("register signals")?;
        let deployment = Deployment::new(&self.config, self.instances, &self.listen)?;
        let result = if self.once {
            once::run(deployment.ready())
        } else {
            if let Some(path) = &self.env {
                std::fs::write(path, deployment.ready().variables())
                    .with_context(|| format!("write {}", path.display()))?;
            }
            println!("{}", serde_json::to_string(deployment.ready())?);
            std::io::stdout().flush()?;
            signals.forever().next();
            Ok(())
        };
        deployment.shutdown();
        result
    }
}
