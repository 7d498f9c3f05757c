//! Operators' access to the store: configuration, history and ledger.
//!
//! The administration API uses these functions, and so does the command line with `--store`, which
//! bypasses the API for the first configuration and when no instance answers. Every change is
//! therefore activated by the same steps: draft, validation, permission check and compare-and-swap
//! ([`crate::manifest`]).

mod draft;
mod submit;

pub use draft::Draft;
pub use submit::submit;

use fescuerack_wire::admin::{
    Change, Configuration, Error, File, History, Kind, Ledger, Source, Sum,
};

use crate::{Store, ledger, manifest};

fn store_unavailable(error: &anyhow::Error) -> Error {
    let message = format!("the store gives no answer; nothing was changed ({error:#})");
    Error::new(Kind::StoreUnavailable, message)
}

/// Reads the configuration that was accepted last, or an empty one if there is none.
///
/// # Errors
///
/// Returns [`Kind::StoreUnavailable`] if the configuration cannot be read from the store.
pub fn configuration(store: &dyn Store) -> Result<Configuration, Error> {
    let read = manifest::read(store).map_err(|error| store_unavailable(&error))?;
    let Some((_, manifest)) = read else {
        return Ok(Configuration::default());
    };
    let folder = manifest::fetch(store, &manifest).map_err(|error| store_unavailable(&error))?;
    let files = manifest.files.into_iter().map(|(name, file)| {
        let content = folder.files.get(&name).cloned().unwrap_or_default();
        let file = File {
            digest: file.digest,
            author: file.author,
            revision: file.revision,
            text: String::from_utf8_lossy(&content).into_owned(),
        };
        (name, file)
    });
    Ok(Configuration {
        source: Source::Store,
        revision: manifest.revision,
        files: files.collect(),
    })
}

/// Reads the latest changes, newest first, up to `max_changes` of them.
///
/// # Errors
///
/// Returns [`Kind::StoreUnavailable`] if the history cannot be read from the store.
pub fn history(store: &dyn Store, max_changes: usize) -> Result<History, Error> {
    let changes =
        manifest::history(store, max_changes).map_err(|error| store_unavailable(&error))?;
    let changes = changes.into_iter().map(|change| {
        let (put, removed): (Vec<_>, Vec<_>) = change
            .files
            .into_iter()
            .partition(|(_, digest)| digest.is_some());
        let names = |files: Vec<(String, _)>| files.into_iter().map(|(name, _)| name).collect();
        Change {
            revision: change.revision,
            author: change.author,
            reason: change.reason,
            at: change.at,
            request: change.request,
            put: names(put),
            removed: names(removed),
        }
    });
    Ok(History {
        changes: changes.collect(),
    })
}

/// Reads the totals of the ledger.
///
/// # Errors
///
/// Returns [`Kind::StoreUnavailable`] if the ledger cannot be read from the store.
pub fn totals(store: &dyn Store) -> Result<Ledger, Error> {
    let totals = ledger::totals(store).map_err(|error| store_unavailable(&error))?;
    let mut sums = Vec::new();
    for (organisation, versions) in &totals.sums {
        for (version, sum) in versions {
            sums.push(Sum {
                organisation: organisation.clone(),
                version: version.clone(),
                requests: sum.requests,
                input_tokens: sum.input_tokens,
                output_tokens: sum.output_tokens,
                cost: sum.cost,
            });
        }
    }
    Ok(Ledger {
        sums,
        duplicates: totals.duplicates,
    })
}
