//! A proposal worked out on what is in force.

use std::collections::BTreeMap;

use bytes::Bytes;
use fescuerack_config::effect::{self, Effect};
use fescuerack_config::permission;
use fescuerack_config::{Folder, Merged, Operator, Problem, change, folder};
use fescuerack_wire::admin::{Error, Kind, Plan, Proposal};

use super::out;
use crate::Store;
use crate::manifest::{self, Manifest};

/// Longest reason, in bytes.
const LONGEST_WHY: usize = 500;
/// Longest identifier of a request, in bytes.
const LONGEST_REQUEST: usize = 64;

/// A proposal worked out on what is in force.
#[derive(Clone, Debug)]
pub struct Draft {
    /// What is in force.
    pub manifest: Manifest,
    /// Files to put and to remove.
    pub files: BTreeMap<String, Option<Bytes>>,
    /// Effects, losses first.
    pub effects: Vec<Effect>,
}

impl Draft {
    /// Works a proposal out; `operator` is `None` where whoever reaches the
    /// store may change everything.
    ///
    /// # Errors
    ///
    /// Why the proposal cannot be accepted.
    pub fn new(
        store: &dyn Store,
        proposal: &Proposal,
        operator: Option<&Operator>,
    ) -> Result<Self, Error> {
        let read = manifest::read(store).map_err(|error| out(&error))?;
        let manifest = read.map(|(_, manifest)| manifest).unwrap_or_default();
        let before = manifest::fetch(store, &manifest).map_err(|error| out(&error))?;
        let after = match &proposal.action {
            Some(_) if !proposal.files.is_empty() => {
                let message = "name files or an action, not both";
                return Err(Error::new(Kind::InvalidRequest, message));
            }
            Some(action) => change::apply(&before, action).map_err(refusal)?,
            None => with_files(&before, proposal),
        };
        let effects = check(&before, &after, operator)?;
        let draft = Self {
            files: changed(&before, &after),
            effects,
            manifest,
        };
        draft.compare(proposal)?;
        Ok(draft)
    }

    /// Checks that no file was changed since the sender looked.
    fn compare(&self, proposal: &Proposal) -> Result<(), Error> {
        for name in self.files.keys() {
            let Some(seen) = proposal.seen.get(name) else {
                continue;
            };
            let stands = self.manifest.files.get(name);
            if stands.is_some_and(|file| file.digest == *seen) {
                continue;
            }
            let by = stands.map_or("somebody removed it".to_owned(), |file| {
                format!("{} changed it in revision {}", file.author, file.revision)
            });
            let message = format!("{name}: {by} since you looked; nothing was changed");
            return Err(Error::new(Kind::Conflict, message));
        }
        Ok(())
    }

    /// Returns what the draft would do.
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

/// Checks the fields by which a change is recorded.
///
/// # Errors
///
/// Which field is missing or too long.
pub(super) fn check_record(proposal: &Proposal) -> Result<(), Error> {
    let refuse = |message: String| Err(Error::new(Kind::InvalidRequest, message));
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let request = &proposal.request;
    if request.is_empty() || request.len() > LONGEST_REQUEST || !request.bytes().all(plain) {
        return refuse(format!(
            "request: an identifier of 1 to {LONGEST_REQUEST} letters, digits, `-`, `_` and `.`"
        ));
    }
    if proposal.why.trim().is_empty() || proposal.why.len() > LONGEST_WHY {
        return refuse(format!(
            "why: say in 1 to {LONGEST_WHY} bytes why the change is made"
        ));
    }
    Ok(())
}

fn refusal(refusal: change::Refusal) -> Error {
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

/// Checks the configuration that would come out, and who asks for it.
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
    let now = effect::Compiled::new(&merged).map_err(refused)?;
    // What is in force was checked when it was accepted; an older release may
    // have been less strict, and a change must be able to mend it.
    let old = Merged::new(before).unwrap_or_default();
    if let Some(operator) = operator {
        let side = |folder, merged| permission::Snapshot { folder, merged };
        permission::check(operator, side(before, &old), side(after, &merged)).map_err(
            |problems| {
                let message = "the change lies outside your scope; nothing was changed";
                Error::new(Kind::Forbidden, message).with_problems(problems)
            },
        )?;
    }
    let effects = match effect::Compiled::new(&old) {
        Ok(then) => effect::effects(&then, &now),
        Err(_) => Vec::new(),
    };
    Ok(effects)
}

/// Checks the names of files: a file that no reader would take for one of the
/// folder must not lie there unread.
fn check_names(folder: &Folder) -> Result<(), Vec<Problem>> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let wrong = folder.files.keys().filter(|name| {
        let stem = name.strip_suffix(".yaml").unwrap_or_default();
        stem.is_empty() || stem.starts_with('.') || !name.bytes().all(plain)
    });
    let message = "a file is named by letters, digits, `-`, `_` and `.`, and ends in .yaml";
    let problems: Vec<_> = wrong.map(|name| Problem::new(name, 0, message)).collect();
    if problems.is_empty() {
        Ok(())
    } else {
        Err(problems)
    }
}

fn changed(before: &Folder, after: &Folder) -> BTreeMap<String, Option<Bytes>> {
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
