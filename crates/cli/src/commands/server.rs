//! `fescuerack server`.

use anyhow::{Context as _, Result};
use clap::{Args, Subcommand};
use fescuerack_config::change::Action;
use serde_json::Value;

use crate::access::{Access, read_states};
use crate::change::{self, Record};
use crate::print::{self, Output};

/// Retires backend servers and takes them back.
#[derive(Debug, Args)]
pub struct Server {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Debug, Subcommand)]
enum Verb {
    /// Takes a retired server back. A new server needs no command: it takes
    /// work once the platform lists it.
    Add(Named),
    /// Lets a server finish its work and take no more.
    Retire(Named),
    /// Shows the servers as the named instances see them.
    Status(Status),
}

#[derive(Debug, Args)]
struct Named {
    /// Fleet: an entry of `backends`.
    fleet: String,
    /// Identifier of the server in the platform's list.
    server: String,
    #[command(flatten)]
    record: Record,
    #[command(flatten)]
    access: Access,
}

#[derive(Debug, Args)]
struct Status {
    #[command(flatten)]
    access: Access,
}

impl Server {
    /// Executes the verb.
    ///
    /// # Errors
    ///
    /// Fails when the change is not accepted, or no instance or store answers.
    pub fn execute(self, output: Output) -> Result<()> {
        match self.verb {
            Verb::Add(named) => {
                let Named { fleet, server, .. } = named;
                let action = Action::ServerAdd { fleet, server };
                change::submit_action(&named.access, output, &named.record, action)
            }
            Verb::Retire(named) => {
                let Named { fleet, server, .. } = named;
                let action = Action::ServerRetire { fleet, server };
                change::submit_action(&named.access, output, &named.record, action)
            }
            Verb::Status(status) => status.execute(output),
        }
    }
}

impl Status {
    fn execute(self, output: Output) -> Result<()> {
        let mut states = Vec::new();
        let mut failure = None;
        for (address, state) in read_states(&self.access)? {
            match state {
                Ok(state) => states.push(state),
                Err(error) => {
                    eprintln!("{address}: {error:#}");
                    failure = Some(error);
                }
            }
        }
        if let (true, Some(error)) = (states.is_empty(), failure) {
            return Err(error);
        }
        let mut rows = Vec::new();
        for state in &states {
            let servers = state["route"]["servers"].as_array();
            let servers = servers.context("the state holds no route.servers")?;
            rows.extend(
                servers
                    .iter()
                    .map(|server| (cell_text(&state["instance"]), server)),
            );
        }
        output.print(&rows, |rows| {
            let rows = rows.iter().map(|(instance, server)| {
                [
                    cell_text(&server["id"]),
                    cell_text(&server["zone"]),
                    cell_text(&server["address"]),
                    cell_text(&server["state"]),
                    cell_text(&server["in_flight"]),
                    instance.clone(),
                ]
            });
            let header = ["server", "zone", "address", "state", "in flight", "seen by"];
            print::table(header, rows.collect())
        })
    }
}

/// Formats a JSON value as the text of a table cell; empty for `null`.
fn cell_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}
