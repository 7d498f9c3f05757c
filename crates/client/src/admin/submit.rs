//! Putting a proposal in force.

use fescuerack_config::change::Action;
use fescuerack_config::{Operator, folder};
use fescuerack_wire::admin::{Accepted, Error, Kind, Proposal};

use super::draft::check_record;
use super::{Draft, out};
use crate::Store;
use crate::manifest::{self, Applied, ChangeRequest};

/// Changes that are searched for a request that was sent before.
const REMEMBERED: usize = 64;
/// Digits of a proposal's digest in the recorded identifier.
const DIGITS: usize = 16;
/// Tries to put a draft in force that other operators overtake.
const TRIES: u32 = 8;

/// Puts a proposal in force in the name of `author`; `operator` is `None`
/// where whoever reaches the store may change everything.
///
/// The same proposal under the same identifier is accepted once: its second
/// sending finds the first in the history and gets the same revision. The
/// recorded identifier holds the author and a digest of the proposal, so that
/// operators cannot meet each other's identifiers, and one identifier cannot
/// stand for two proposals.
///
/// # Errors
///
/// Why the proposal was not accepted, and whether that is sure.
pub fn submit(
    store: &dyn Store,
    proposal: &Proposal,
    author: &str,
    operator: Option<&Operator>,
) -> Result<Accepted, Error> {
    check_record(proposal)?;
    let request = identifier(proposal, author);
    if let Some(accepted) = earlier(store, proposal, author, &request)? {
        return Ok(accepted);
    }
    for _ in 0..TRIES {
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
            reason: proposal.why.clone(),
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
            // Somebody changed the same file since it was read a moment ago:
            // the draft is worked out anew, and finds a conflict only if the
            // file differs from the one that the sender saw.
            Applied::Conflict { .. } => {}
            other => return answer(other),
        }
    }
    let message = "other operators keep changing the same file; nothing was changed";
    Err(Error::new(Kind::Conflict, message))
}

fn answer(applied: Applied) -> Result<Accepted, Error> {
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
        Applied::Broken(what) => Err(Error::new(Kind::StoreOut, what)),
        Applied::Unavailable => Err(out(&anyhow::anyhow!("no answer until the deadline"))),
        Applied::Unknown => Err(Error::new(
            Kind::OutcomeUnknown,
            "the store gave no answer after the change was sent: it may be in force; send the \
             same request again",
        )),
    }
}

fn identifier(proposal: &Proposal, author: &str) -> String {
    let body = serde_json::to_vec(&asked(proposal)).expect("a proposal has only plain fields");
    let digest = folder::digest(&body);
    format!("{author}/{}/{}", proposal.request, &digest[..DIGITS])
}

/// Returns what the operator asked for, without what the sender saw.
///
/// A request that was sent again after its first sending took effect sees its
/// own change. With that in the digest it would be taken for another proposal
/// under a used identifier, and refused.
fn asked(proposal: &Proposal) -> Proposal {
    let mut asked = proposal.clone();
    asked.seen.clear();
    if let Some(Action::RolloutClose { stepped, .. }) = &mut asked.action {
        *stepped = false;
    }
    asked
}

/// Looks for an earlier sending of the same request.
fn earlier(
    store: &dyn Store,
    proposal: &Proposal,
    author: &str,
    request: &str,
) -> Result<Option<Accepted>, Error> {
    let prefix = format!("{author}/{}/", proposal.request);
    let changes = manifest::history(store, REMEMBERED).map_err(|error| out(&error))?;
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
