//! `GET /v1/configuration`, `/v1/history` and `/v1/ledger`.

use fescuerack_client::admin as store;
use fescuerack_client::manifest::File;
use fescuerack_wire::admin::{self, Configuration, Error, History, Kind, Ledger, Source};
use rouille::Request;

use crate::shared::Shared;

/// Changes that are shown when the request names no number.
const DEFAULT_MOST: usize = 20;
/// Changes that are shown at most.
const LARGEST_MOST: usize = 1000;

/// Returns the latest configuration; the copy in force here when the store
/// gives no answer.
///
/// # Errors
///
/// When the store gives no answer and nothing is in force here.
pub fn read(shared: &Shared) -> Result<Configuration, Error> {
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

/// Returns the last changes; `?most=` limits their number.
///
/// # Errors
///
/// When the store gives no answer.
pub fn history(shared: &Shared, request: &Request) -> Result<History, Error> {
    let asked = request.get_param("most");
    let most = asked.map_or(Ok(DEFAULT_MOST), |text| text.parse());
    let Some(most) = most.ok().filter(|most| (1..=LARGEST_MOST).contains(most)) else {
        let message = format!("most: a whole number, 1 to {LARGEST_MOST}");
        return Err(Error::new(Kind::InvalidRequest, message));
    };
    store::history(&shared.store, most)
}

/// Returns the ledger's totals.
///
/// # Errors
///
/// When the store gives no answer.
pub fn ledger(shared: &Shared) -> Result<Ledger, Error> {
    store::totals(&shared.store)
}
