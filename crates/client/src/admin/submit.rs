//! Activation of a proposal.

use fescuerack_config::change::Action;
use fescuerack_config::{Operator, folder};
use fescuerack_wire::admin::{Accepted, Error, Kind, Proposal};

use super::draft::check_record;
use super::{Draft, store_unavailable};
use crate::Store;
use crate::manifest::{self, Applied, ChangeRequest};

/// Number of latest changes that are searched for an earlier submission of the same request.
const SEARCHED_CHANGES: usize = 64;
/// Number of hexadecimal digits of a proposal's digest in the recorded identifier.
const DIGEST_DIGITS: usize = 16;
/// Maximum number of attempts to activate a proposal while other operators change the same files.
const MAX_ATTEMPTS: u32 = 8;

/// Activates a proposal in the name of `author`.
///
/// `operator` is `None` where access to the store implies permission for every change.
///
/// The same proposal under the same identifier is accepted only once: a second submission finds the
/// first in the history and returns its revision. The recorded identifier contains the author and a
/// digest of the proposal. Identifiers of different operators therefore cannot collide, and one
/// identifier cannot denote two proposals.
///
/// # Errors
///
/// Returns the reason why the proposal was not accepted, or [`Kind::OutcomeUnknown`] if it may have
/// been accepted.
pub fn submit(
    store: &dyn Store,
    proposal: &Proposal,
    author: &str,
    operator: Option<&Operator>,
) -> Result<Accepted, Error> {
    check_record(proposal)?;
    let request = identifier(proposal, author);
    if let Some(accepted) = find_earlier(store, proposal, author, &request)? {
        return Ok(accepted);
    }
    for _ in 0..MAX_ATTEMPTS {
        let draft = Draft::new(store, proposal, operator)?;
        if draft.files.is_empty() {
            return Ok(Accepted {
                revision: draft.manifest.revision,
                unchanged: true,
                effects: Vec::new(),
            });
        }
        let change_request = ChangeRequest {
            base: draft.manifest.clone(),
            files: draft.files.clone(),
            author: author.to_owned(),
            reason: proposal.reason.clone(),
            at: manifest::unix_seconds(),
            request: request.clone(),
        };
        match manifest::apply(store, change_request) {
            Applied::Accepted { revision } => {
                return Ok(Accepted {
                    revision,
                    unchanged: false,
                    effects: draft.effects,
                });
            }
            // Another operator has changed the same file since the draft was made. A new draft
            // reports a conflict only if the file differs from the one that the sender read.
            Applied::Conflict { .. } => {}
            other => return accepted_or_error(other),
        }
    }
    let message = "other operators keep changing the same file; nothing was changed";
    Err(Error::new(Kind::Conflict, message))
}

fn accepted_or_error(applied: Applied) -> Result<Accepted, Error> {
    match applied {
        Applied::Accepted { revision } | Applied::Unchanged { revision } => Ok(Accepted {
            revision,
            unchanged: true,
            effects: Vec::new(),
        }),
        Applied::Refused(problems) => {
            let message = format!("{} problems; nothing was changed", problems.len());
            Err(Error::new(Kind::Refused, message).with_problems(problems))
        }
        Applied::Conflict { file, .. } => {
            let message = format!("{file} was changed meanwhile; nothing was changed");
            Err(Error::new(Kind::Conflict, message))
        }
        Applied::Broken(what) => Err(Error::new(Kind::StoreUnavailable, what)),
        Applied::Unavailable => Err(store_unavailable(&anyhow::anyhow!(
            "no answer until the deadline"
        ))),
        Applied::Unknown => Err(Error::new(
            Kind::OutcomeUnknown,
            "the store gave no answer after the change was sent: it may be in force; send the \
             same request again",
        )),
    }
}

fn identifier(proposal: &Proposal, author: &str) -> String {
    let body =
        serde_json::to_vec(&identifying_part(proposal)).expect("a proposal has only plain fields");
    let digest = folder::digest(&body);
    format!("{author}/{}/{}", proposal.request, &digest[..DIGEST_DIGITS])
}

/// Returns the proposal without the fields that depend on the configuration that the sender read.
///
/// A request that is sent again after it has taken effect is based on a configuration that contains
/// its own change. If the digest covered those fields, the request would be refused as another
/// proposal under the same identifier.
fn identifying_part(proposal: &Proposal) -> Proposal {
    let mut part = proposal.clone();
    part.base.clear();
    if let Some(Action::RolloutClose { stepped, .. }) = &mut part.action {
        *stepped = false;
    }
    part
}

/// Searches the history for an earlier submission of the same request.
fn find_earlier(
    store: &dyn Store,
    proposal: &Proposal,
    author: &str,
    request: &str,
) -> Result<Option<Accepted>, Error> {
    let prefix = format!("{author}/{}/", proposal.request);
    let changes =
        manifest::history(store, SEARCHED_CHANGES).map_err(|error| store_unavailable(&error))?;
    let found = changes
        .iter()
        .find(|change| change.request.starts_with(&prefix));
    match found {
        None => Ok(None),
        Some(change) if change.request == request => Ok(Some(Accepted {
            revision: change.revision,
            unchanged: true,
            effects: Vec::new(),
        })),
        Some(change) => {
            let message = format!(
                "the identifier {} was used for another proposal, accepted as revision {}; \
                 nothing was changed",
                proposal.request, change.revision
            );
            Err(Error::new(Kind::Conflict, message))
        }
    }
}
