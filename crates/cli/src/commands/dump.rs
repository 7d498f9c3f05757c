//! `fescuerack dump`.

use anyhow::{Context as _, Result, ensure};
use clap::Args;
use fescuerack_platform::agent;

/// Prints the whole state of a process as JSON.
#[derive(Debug, Args)]
pub struct Dump {
    /// Operators' port of the process, as `host:port`.
    #[arg(long, value_name = "ADDRESS")]
    node: String,
}

impl Dump {
    /// Prints the state.
    ///
    /// # Errors
    ///
    /// When the process gives no answer.
    pub fn execute(self) -> Result<()> {
        let mut response = agent(1)
            .get(format!("http://{}/state", self.node))
            .call()
            .with_context(|| format!("ask {}", self.node))?;
        ensure!(
            response.status() == 200,
            "{} answered {}",
            self.node,
            response.status()
        );
        let state: serde_json::Value = response.body_mut().read_json()?;
        println!("{}", serde_json::to_string_pretty(&state)?);
        Ok(())
    }
}
