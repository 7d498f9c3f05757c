//! Drafts: proposals that have been applied to a copy of the active configuration and checked.

use std::collections::BTreeMap;

use bytes::Bytes;
use fescuerack_config::effect::{self, Effect};
use fescuerack_config::permission;
use fescuerack_config::{Folder, Merged, Operator, Problem, change, folder};
use fescuerack_wire::admin::{Error, Kind, Plan, Proposal};

use super::store_unavailable;
use crate::Store;
use crate::manifest::{self, Manifest};

/// Maximum length of the reason for a change, in bytes.
const MAX_REASON_BYTES: usize = 500;
/// Maximum length of the identifier of a request, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 64;

/// Result of applying a proposal to the active configuration.
#[derive(Clone, Debug)]
pub struct Draft {
    /// The active manifest, to which the proposal was applied.
    pub manifest: Manifest,
    /// Files to write, with their new content, and files to remove (`None`).
    pub files: BTreeMap<String, Option<Bytes>>,
    /// Effects of the change, losses first.
    pub effects: Vec<Effect>,
}

impl Draft {
    /// Applies a proposal to the active configuration and checks the result.
    ///
    /// `operator` is `None` where access to the store implies permission for every change.
    ///
    /// # Errors
    ///
    /// Returns the reason why the proposal cannot be accepted.
    pub fn new(
        store: &dyn Store,
        proposal: &Proposal,
        operator: Option<&Operator>,
    ) -> Result<Self, Error> {
        let read = manifest::read(store).map_err(|error| store_unavailable(&error))?;
        let manifest = read.map(|(_, manifest)| manifest).unwrap_or_default();
        let before =
            manifest::fetch(store, &manifest).map_err(|error| store_unavailable(&error))?;
        let after = match &proposal.action {
            Some(_) if !proposal.files.is_empty() => {
                let message = "name files or an action, not both";
                return Err(Error::new(Kind::InvalidRequest, message));
            }
            Some(action) => change::apply(&before, action).map_err(error_for)?,
            None => with_files(&before, proposal),
        };
        let effects = check(&before, &after, operator)?;
        let draft = Self {
            files: changed_files(&before, &after),
            effects,
            manifest,
        };
        draft.check_conflicts(proposal)?;
        Ok(draft)
    }

    /// Checks that no file has changed since the sender read it.
    fn check_conflicts(&self, proposal: &Proposal) -> Result<(), Error> {
        for name in self.files.keys() {
            let Some(base) = proposal.base.get(name) else {
                continue;
            };
            let current = self.manifest.files.get(name);
            if current.is_some_and(|file| file.digest == *base) {
                continue;
            }
            let by = current.map_or("somebody removed it".to_owned(), |file| {
                format!("{} changed it in revision {}", file.author, file.revision)
            });
            let message = format!("{name}: {by} since you looked; nothing was changed");
            return Err(Error::new(Kind::Conflict, message));
        }
        Ok(())
    }

    /// Returns the changes and effects of the draft.
    #[must_use]
    pub fn plan(&self) -> Plan {
        let mut plan = Plan {
            revision: self.manifest.revision,
            effects: self.effects.clone(),
            ..Plan::default()
        };
        for (name, content) in &self.files {
            let list = match (content, self.manifest.files.contains_key(name)) {
                (None, _) => &mut plan.removed,
                (Some(_), true) => &mut plan.changed,
                (Some(_), false) => &mut plan.added,
            };
            list.push(name.clone());
        }
        plan
    }
}

/// Checks the fields that are recorded with a change: its identifier and its reason.
///
/// # Errors
///
/// Returns an error that names the field that is missing, too long or malformed.
pub(super) fn check_record(proposal: &Proposal) -> Result<(), Error> {
    let refuse = |message: String| Err(Error::new(Kind::InvalidRequest, message));
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let request = &proposal.request;
    if request.is_empty()
        || request.len() > MAX_REQUEST_ID_BYTES
        || !request.bytes().all(is_allowed)
    {
        return refuse(format!(
            "request: an identifier of 1 to {MAX_REQUEST_ID_BYTES} letters, digits, `-`, `_` and `.`"
        ));
    }
    if proposal.reason.trim().is_empty() || proposal.reason.len() > MAX_REASON_BYTES {
        return refuse(format!(
            "why: say in 1 to {MAX_REASON_BYTES} bytes why the change is made"
        ));
    }
    Ok(())
}

fn error_for(refusal: change::Refusal) -> Error {
    let message = refusal.to_string();
    match refusal {
        change::Refusal::Problems(problems) => {
            Error::new(Kind::Refused, message).with_problems(problems)
        }
        change::Refusal::NotApplicable(_) | change::Refusal::Edit { .. } => {
            Error::new(Kind::Refused, message)
        }
    }
}

fn with_files(before: &Folder, proposal: &Proposal) -> Folder {
    let mut after = before.clone();
    for (name, text) in &proposal.files {
        match text {
            Some(text) => {
                let content = Bytes::from(text.clone());
                after.files.insert(name.clone(), content);
            }
            None => {
                after.files.remove(name);
            }
        }
    }
    after
}

/// Validates the resulting configuration, checks the operator's permission and returns the effects
/// of the change.
fn check(
    before: &Folder,
    after: &Folder,
    operator: Option<&Operator>,
) -> Result<Vec<Effect>, Error> {
    let refused = |problems: Vec<Problem>| {
        let message = format!("{} problems; nothing was changed", problems.len());
        Error::new(Kind::Refused, message).with_problems(problems)
    };
    check_names(after).map_err(refused)?;
    let merged = Merged::new(after).map_err(refused)?;
    let new = effect::Compiled::new(&merged).map_err(refused)?;
    // The active configuration was valid when it was accepted, but an older release may have been
    // less strict. A change must be able to correct it.
    let merged_before = Merged::new(before).unwrap_or_default();
    if let Some(operator) = operator {
        let snapshot = |folder, merged| permission::Snapshot { folder, merged };
        permission::check(
            operator,
            snapshot(before, &merged_before),
            snapshot(after, &merged),
        )
        .map_err(|problems| {
            let message = "the change lies outside your scope; nothing was changed";
            Error::new(Kind::Forbidden, message).with_problems(problems)
        })?;
    }
    let effects = match effect::Compiled::new(&merged_before) {
        Ok(old) => effect::effects(&old, &new),
        Err(_) => Vec::new(),
    };
    Ok(effects)
}

/// Checks the names of files. A file that readers of the folder would ignore is refused, because it
/// would never take effect.
fn check_names(folder: &Folder) -> Result<(), Vec<Problem>> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let invalid_names = folder.files.keys().filter(|name| {
        let stem = name.strip_suffix(".yaml").unwrap_or_default();
        stem.is_empty() || stem.starts_with('.') || !name.bytes().all(is_allowed)
    });
    let message = "a file is named by letters, digits, `-`, `_` and `.`, and ends in .yaml";
    let problems: Vec<_> = invalid_names
        .map(|name| Problem::new(name, 0, message))
        .collect();
    if problems.is_empty() {
        Ok(())
    } else {
        Err(problems)
    }
}

fn changed_files(before: &Folder, after: &Folder) -> BTreeMap<String, Option<Bytes>> {
    let mut files = BTreeMap::new();
    for (name, content) in &after.files {
        let old = before.files.get(name);
        if old.is_none_or(|old| folder::digest(old) != folder::digest(content)) {
            files.insert(name.clone(), Some(content.clone()));
        }
    }
    for name in before.files.keys() {
        if !after.files.contains_key(name) {
            files.insert(name.clone(), None);
        }
    }
    files
}
