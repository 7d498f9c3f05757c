//! Changes that operators make by name, as edits of the folder.
//!
//! Each action knows the file that owns the entry it changes, edits the text
//! there and leaves the rest. The result is an ordinary folder, which goes
//! through the same checks and the same compare-and-swap as one that an
//! operator wrote by hand: there is one way into force, not two.

mod organisation;
mod rollout;
mod server;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value as Json};
use thiserror::Error;

use crate::{Folder, Merged, Problem, edit};

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Action {
    /// Starts to roll out a version.
    RolloutOpen {
        /// Model.
        model: String,
        /// Version to roll out.
        candidate: String,
        /// Version of today; needed when the model has no roll-out yet.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        current: Option<String>,
        /// Shares of new sessions; those of the entry or the default if absent.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        stages: Option<Vec<f64>>,
        /// Bad answers that may reach callers.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        exposure: Option<u32>,
    },
    /// Raises the share by one stage.
    RolloutStep {
        /// Model.
        model: String,
    },
    /// Keeps the share where it is.
    RolloutPause {
        /// Model.
        model: String,
    },
    /// Lets the roll-out advance again.
    RolloutResume {
        /// Model.
        model: String,
    },
    /// Ends a roll-out.
    RolloutClose {
        /// Model.
        model: String,
        /// Keeps the version of today instead of taking the candidate.
        #[serde(default)]
        keep_current: bool,
        /// Whether the evidence has stepped it to its last stage, whatever
        /// stage the files set.
        #[serde(default)]
        stepped: bool,
    },
    /// Withdraws a version: it gets no new work at all.
    VersionWithdraw {
        /// Version.
        version: String,
        /// Version that takes its place where it is the version of today.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        replacement: Option<String>,
    },
    /// Takes a withdrawn or closed version into use again.
    VersionOpen {
        /// Version.
        version: String,
    },
    /// Lets a backend server take work again.
    ServerAdd {
        /// Fleet.
        fleet: String,
        /// Identifier in the platform's list.
        server: String,
    },
    /// Lets a backend server finish its work and take no more.
    ServerRetire {
        /// Fleet.
        fleet: String,
        /// Identifier in the platform's list.
        server: String,
    },
    /// Adds an organisation or changes the fields that are given.
    OrganisationSet {
        /// Organisation.
        organisation: String,
        /// Fields.
        #[serde(flatten)]
        fields: Fields,
    },
    /// Removes an organisation.
    OrganisationRemove {
        /// Organisation.
        organisation: String,
    },
}

/// Fields of an organisation that are to change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Fields {
    /// File for a new organisation.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub file: Option<String>,
    /// Models and versions that it may use.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub allow: Option<Vec<String>>,
    /// Plain services that it may call.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub services: Option<Vec<String>>,
    /// Share of capacity.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<u32>,
    /// Whether an answer below the target is better than none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub below_target: Option<bool>,
    /// Digests of its keys.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub keys: Option<Vec<String>>,
}

/// Why an action cannot be taken.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The files as they are hold problems.
    #[error("the configuration holds problems: {}", .0[0])]
    Problems(Vec<Problem>),
    /// The action makes no sense for the configuration in force.
    #[error("{0}")]
    NotApplicable(String),
    /// A file cannot be edited.
    #[error("{file}: {cause}")]
    Edit {
        /// Name of the file.
        file: String,
        /// Why.
        cause: edit::Refusal,
    },
}

/// Returns the folder after an action.
///
/// # Errors
///
/// Why the action cannot be taken; nothing is changed then.
pub fn apply(folder: &Folder, action: &Action) -> Result<Folder, Refusal> {
    let merged = Merged::new(folder).map_err(Refusal::Problems)?;
    let mut draft = Draft {
        merged: &merged,
        folder: folder.clone(),
    };
    match action {
        Action::RolloutOpen { .. }
        | Action::RolloutStep { .. }
        | Action::RolloutPause { .. }
        | Action::RolloutResume { .. }
        | Action::RolloutClose { .. }
        | Action::VersionWithdraw { .. }
        | Action::VersionOpen { .. } => rollout::apply(&mut draft, action)?,
        Action::ServerAdd { fleet, server } => server::set(&mut draft, fleet, server, false)?,
        Action::ServerRetire { fleet, server } => server::set(&mut draft, fleet, server, true)?,
        Action::OrganisationSet {
            organisation,
            fields,
        } => organisation::set(&mut draft, organisation, fields)?,
        Action::OrganisationRemove { organisation } => {
            organisation::remove(&mut draft, organisation)?;
        }
    }
    Ok(draft.folder)
}

fn not_applicable(message: impl Into<String>) -> Refusal {
    Refusal::NotApplicable(message.into())
}

struct Draft<'a> {
    merged: &'a Merged,
    folder: Folder,
}

impl Draft<'_> {
    fn owner(&self, section: &str, name: &str) -> Option<String> {
        self.merged
            .owners
            .get(&format!("{section}/{name}"))
            .cloned()
    }

    /// Returns the file of a new entry: the one that holds the section's last
    /// entry, so that it joins its kin.
    fn home(&self, section: &str) -> Result<String, Refusal> {
        let prefix = format!("{section}/");
        let owners = self.merged.owners.iter();
        owners
            .filter(|(path, _)| path.starts_with(&prefix))
            .map(|(_, file)| file.clone())
            .max()
            .ok_or_else(|| {
                not_applicable(format!(
                    "no file holds {section} yet; write one and apply it"
                ))
            })
    }

    fn edit(
        &mut self,
        file: &str,
        change: impl FnOnce(&str) -> Result<String, edit::Refusal>,
    ) -> Result<(), Refusal> {
        let content = self.folder.files.get(file).cloned().unwrap_or_default();
        let text = String::from_utf8_lossy(&content);
        let text = change(&text).map_err(|cause| Refusal::Edit {
            file: file.to_owned(),
            cause,
        })?;
        self.folder.files.insert(file.to_owned(), Bytes::from(text));
        Ok(())
    }

    fn set(
        &mut self,
        section: &str,
        name: &str,
        field: &str,
        value: impl Into<Json>,
    ) -> Result<(), Refusal> {
        let value = value.into();
        self.change_field(section, name, field, Some(&value))
    }

    fn unset(&mut self, section: &str, name: &str, field: &str) -> Result<(), Refusal> {
        self.change_field(section, name, field, None)
    }

    fn change_field(
        &mut self,
        section: &str,
        name: &str,
        field: &str,
        value: Option<&Json>,
    ) -> Result<(), Refusal> {
        let owner = self
            .owner(section, name)
            .ok_or_else(|| not_applicable(format!("there is no entry {section}/{name}")))?;
        self.edit(&owner, |text| {
            edit::set_field(text, section, name, field, value)
        })
    }

    fn put(
        &mut self,
        file: &str,
        section: &str,
        name: &str,
        entry: Option<&Map<String, Json>>,
    ) -> Result<(), Refusal> {
        self.edit(file, |text| edit::put_entry(text, section, name, entry))
    }
}
