//! `fescuerack replay`.

use std::path::PathBuf;

use anyhow::{Context as _, Result, bail};
use clap::Args;
use fescuerack_replay::{Scenario, plot, run, table};

/// Replays a description of load through the decisions and prints what callers
/// would get.
#[derive(Debug, Args)]
pub struct Replay {
    /// Description of the load in YAML.
    #[arg(value_name = "FILE")]
    load: PathBuf,
    /// Seed of all randomness; that of the description if left out.
    #[arg(long, value_name = "N")]
    seed: Option<u64>,
    /// Limit to try, as `name=value`; repeatable.
    #[arg(long = "limit", value_name = "NAME=VALUE")]
    limits: Vec<String>,
    /// File for a plot in SVG.
    #[arg(long, value_name = "FILE")]
    plot: Option<PathBuf>,
}

impl Replay {
    /// Prints the figures as a table.
    ///
    /// # Errors
    ///
    /// Fails when the description is invalid or the plot cannot be written.
    pub fn execute(self) -> Result<()> {
        let mut scenario = Scenario::read(&self.load)?;
        scenario.seed = self.seed.unwrap_or(scenario.seed);
        for limit in &self.limits {
            let Some((name, value)) = limit.split_once('=') else {
                bail!("--limit {limit}: write it as name=value");
            };
            let value = value
                .parse()
                .with_context(|| format!("--limit {limit}: no number"))?;
            scenario.policy.limits.insert(name.to_owned(), value);
        }
        scenario.check()?;
        let figures = run(&scenario);
        print!("{}", table(&figures));
        if let Some(path) = self.plot {
            std::fs::write(&path, plot(&figures)?)
                .with_context(|| format!("write {}", path.display()))?;
        }
        Ok(())
    }
}
