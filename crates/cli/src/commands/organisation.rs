//! `fescuerack organisation`.

use anyhow::Result;
use clap::{Args, Subcommand};
use fescuerack_config::change::{Action, Fields};

use crate::access::{Access, merge};
use crate::change::{self, Record};
use crate::print::{self, Output};

/// Creates, changes and removes organisations.
#[derive(Debug, Args)]
pub struct Organisation {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Debug, Subcommand)]
enum Verb {
    /// Creates an organisation, or changes the fields that are given.
    Set(Set),
    /// Removes an organisation; its callers are refused from then on.
    Remove(Remove),
    /// Lists organisations and what they may use.
    List(List),
}

#[derive(Debug, Args)]
struct Set {
    /// Organisation.
    organisation: String,
    /// File for a new organisation; the one with the others if absent.
    #[arg(long, value_name = "FILE")]
    file: Option<String>,
    /// Models and versions that it may use, such as `mini,max@2`.
    #[arg(long, value_name = "NAMES", value_delimiter = ',')]
    allow: Option<Vec<String>>,
    /// Plain services that it may call.
    #[arg(long, value_name = "NAMES", value_delimiter = ',')]
    services: Option<Vec<String>>,
    /// Share of capacity relative to others.
    #[arg(long, value_name = "N")]
    weight: Option<u32>,
    /// Whether an answer below the target is better than none.
    #[arg(long, value_name = "BOOL")]
    below_target: Option<bool>,
    /// Digests of its callers' keys (`fescuerack digest`), in place of those
    /// that it has.
    #[arg(long, value_name = "DIGESTS", value_delimiter = ',')]
    keys: Option<Vec<String>>,
    #[command(flatten)]
    record: Record,
    #[command(flatten)]
    access: Access,
}

#[derive(Debug, Args)]
struct Remove {
    /// Organisation.
    organisation: String,
    #[command(flatten)]
    record: Record,
    #[command(flatten)]
    access: Access,
}

#[derive(Debug, Args)]
struct List {
    #[command(flatten)]
    access: Access,
}

impl Organisation {
    /// Executes the verb.
    ///
    /// # Errors
    ///
    /// Fails when the change is not accepted, or no instance or store answers.
    pub fn execute(self, output: Output) -> Result<()> {
        match self.verb {
            Verb::Set(set) => {
                let action = Action::OrganisationSet {
                    organisation: set.organisation,
                    fields: Fields {
                        file: set.file,
                        allow: set.allow,
                        services: set.services,
                        weight: set.weight,
                        below_target: set.below_target,
                        keys: set.keys,
                    },
                };
                change::submit_action(&set.access, output, &set.record, action)
            }
            Verb::Remove(remove) => {
                let action = Action::OrganisationRemove {
                    organisation: remove.organisation,
                };
                change::submit_action(&remove.access, output, &remove.record, action)
            }
            Verb::List(list) => list.execute(output),
        }
    }
}

impl List {
    fn execute(self, output: Output) -> Result<()> {
        let configuration = self.access.client()?.configuration()?;
        let merged = merge(configuration)?;
        output.print(&merged.file.organisations, |organisations| {
            let rows = organisations.iter().map(|(name, entry)| {
                [
                    name.clone(),
                    entry.weight.to_string(),
                    entry.allow.join(", "),
                    entry.services.join(", "),
                    entry.keys.len().to_string(),
                    merged
                        .position(&format!("organisations/{name}"))
                        .0
                        .to_owned(),
                ]
            });
            let header = [
                "organisation",
                "weight",
                "allow",
                "services",
                "keys",
                "file",
            ];
            print::table(header, rows.collect())
        })
    }
}
