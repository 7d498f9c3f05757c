//! `fescuerack plan`.

use std::fmt::Write as _;
use std::path::PathBuf;

use anyhow::Result;
use clap::Args;
use fescuerack_wire::admin;

use super::apply;
use crate::access::Access;
use crate::print::{self, Output};

/// Says what a folder would change: files, who gains or loses which version,
/// and what moves. Changes nothing.
#[derive(Debug, Args)]
pub struct Plan {
    /// Folder of YAML files; it may hold your files only.
    #[arg(value_name = "DIR")]
    folder: PathBuf,
    /// Removes files that the folder does not hold.
    #[arg(long)]
    remove: bool,
    #[command(flatten)]
    access: Access,
}

impl Plan {
    /// Prints what would change.
    ///
    /// # Errors
    ///
    /// Fails when the folder would not be accepted, or no instance or store answers.
    pub fn execute(self, output: Output) -> Result<()> {
        let client = self.access.client()?;
        let proposal = apply::proposal(&client, &self.folder, self.remove)?;
        let plan = client.plan(&proposal)?;
        output.print(&plan, format_table)
    }
}

fn format_table(plan: &admin::Plan) -> String {
    let mut text = format!("compared with revision {}:\n", plan.revision);
    let files = [
        ("new file", &plan.added),
        ("changed file", &plan.changed),
        ("removed file", &plan.removed),
    ];
    if files.iter().all(|(_, names)| names.is_empty()) {
        text.push_str("  nothing would change\n");
    }
    for (what, names) in files {
        for name in names {
            writeln!(text, "  {what} {name}").expect("text grows");
        }
    }
    text.push_str(&print::effects(&plan.effects));
    text
}
