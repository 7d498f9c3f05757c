//! `fescuerack dump`.

use anyhow::Result;
use clap::Args;

use crate::access::{Access, read_states};
use crate::exit::Failed;
use crate::print;

/// Prints the whole state of the named processes as JSON: one document, or a
/// list when several are named.
#[derive(Debug, Args)]
pub struct Dump {
    #[command(flatten)]
    access: Access,
}

impl Dump {
    /// Prints the state.
    ///
    /// # Errors
    ///
    /// Fails when a named process does not answer.
    pub fn execute(self) -> Result<()> {
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
        match states.as_slice() {
            [] if failure.is_none() => {
                return Err(Failed::usage("name an instance by --node").into());
            }
            [] => {}
            [one] => print::line(&serde_json::to_string_pretty(one)?)?,
            all => print::line(&serde_json::to_string_pretty(all)?)?,
        }
        failure.map_or(Ok(()), Err)
    }
}
