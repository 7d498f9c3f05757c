//! `fescuerack history`.

use anyhow::Result;
use clap::Args;
use fescuerack_wire::admin;

use crate::access::Access;
use crate::print::{self, Output};

/// Shows who changed what, when and why, the newest first.
#[derive(Debug, Args)]
pub struct History {
    /// Changes to show at most.
    #[arg(long, value_name = "N", default_value_t = 20)]
    most: usize,
    #[command(flatten)]
    access: Access,
}

impl History {
    /// Prints the last changes.
    ///
    /// # Errors
    ///
    /// Fails when no instance or store answers.
    pub fn execute(self, output: Output) -> Result<()> {
        let history = self.access.client()?.history(self.most)?;
        output.print(&history, format_table)
    }
}

fn format_table(history: &admin::History) -> String {
    let rows = history.changes.iter().map(|change| {
        let mut files = change.put.clone();
        files.extend(change.removed.iter().map(|name| format!("-{name}")));
        [
            change.revision.to_string(),
            print::time(change.at),
            change.author.clone(),
            change.reason.clone(),
            files.join("\n"),
        ]
    });
    print::table(["revision", "when", "who", "why", "files"], rows.collect())
}
