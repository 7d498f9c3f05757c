//! `GET /v1/configuration`, `GET /v1/history` and `GET /v1/ledger`.

use fescuerack_client::admin as store;
use fescuerack_client::manifest::File;
use fescuerack_wire::admin::{self, Configuration, Error, History, Kind, Ledger, Source};
use rouille::Request;

use crate::node_state::NodeState;

/// Number of changes that are returned if the request has no `?most=`.
const DEFAULT_HISTORY: usize = 20;
/// Maximum number of changes that are returned.
const MAX_HISTORY: usize = 1000;

/// Returns the latest configuration from the store, or the active configuration
/// of this instance if the store does not answer.
///
/// # Errors
///
/// Returns an error if the store does not answer and this instance has no active
/// configuration.
pub fn read(shared: &NodeState) -> Result<Configuration, Error> {
    let error = match store::configuration(&shared.store) {
        Ok(configuration) => return Ok(configuration),
        Err(error) => error,
    };
    let Some(manifest) = shared.configuration.manifest() else {
        return Err(error);
    };
    let files = manifest.files.into_iter().filter_map(|(name, file)| {
        let text = shared.configuration.file(&file.digest)?;
        let File {
            digest,
            author,
            revision,
        } = file;
        let file = admin::File {
            digest,
            author,
            revision,
            text,
        };
        Some((name, file))
    });
    Ok(Configuration {
        source: Source::Instance,
        revision: manifest.revision,
        files: files.collect(),
    })
}

/// Returns the latest changes. `?most=` limits their number.
///
/// # Errors
///
/// Returns an error if `most` is invalid or the store does not answer.
pub fn history(shared: &NodeState, request: &Request) -> Result<History, Error> {
    let parameter = request.get_param("most");
    let count = parameter.map_or(Ok(DEFAULT_HISTORY), |text| text.parse());
    let Some(count) = count.ok().filter(|count| (1..=MAX_HISTORY).contains(count)) else {
        let message = format!("most: a whole number, 1 to {MAX_HISTORY}");
        return Err(Error::new(Kind::InvalidRequest, message));
    };
    store::history(&shared.store, count)
}

/// Returns the ledger's totals.
///
/// # Errors
///
/// Returns an error if the store does not answer.
pub fn ledger(shared: &NodeState) -> Result<Ledger, Error> {
    store::totals(&shared.store)
}
