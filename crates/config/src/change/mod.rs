//! Named actions of operators, applied as edits of the folder.
//!
//! Each action finds the file that owns the entry to change, edits the text
//! there and leaves the rest. The result is an ordinary folder, which passes
//! the same checks and the same compare-and-swap as one that an operator wrote
//! by hand, so that there is only one way to activate a configuration.

mod organisation;
mod rollout;
mod server;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value as Json};
use thiserror::Error;

use crate::{Folder, Merged, Problem, edit};

/// An action that an operator requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Action {
    /// Starts to roll out a version.
    RolloutOpen {
        /// Model.
        model: String,
        /// Version to roll out.
        candidate: String,
        /// Current version; required when the model has no roll-out yet.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        current: Option<String>,
        /// Shares of new sessions by stage; those of the entry or the default if
        /// absent.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        stages: Option<Vec<f64>>,
        /// Number of bad answers that may reach callers before the roll-out halts.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        exposure: Option<u32>,
    },
    /// Advances the roll-out by one stage.
    RolloutStep {
        /// Model.
        model: String,
    },
    /// Holds the roll-out at its current stage.
    RolloutPause {
        /// Model.
        model: String,
    },
    /// Lets a paused roll-out advance again.
    RolloutResume {
        /// Model.
        model: String,
    },
    /// Ends a roll-out.
    RolloutClose {
        /// Model.
        model: String,
        /// Keeps the current version instead of replacing it by the candidate.
        #[serde(default)]
        keep_current: bool,
        /// Whether instances have advanced the roll-out to its last stage by the
        /// collected evidence, regardless of the stage in the files.
        #[serde(default)]
        stepped: bool,
    },
    /// Withdraws a version: it receives no new work at all.
    VersionWithdraw {
        /// Version.
        version: String,
        /// Version that replaces it where it is the current version.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        replacement: Option<String>,
    },
    /// Opens a withdrawn or closed version for work again.
    VersionOpen {
        /// Version.
        version: String,
    },
    /// Lets a retired backend server receive work again.
    ServerAdd {
        /// Fleet.
        fleet: String,
        /// Identifier in the platform's list.
        server: String,
    },
    /// Lets a backend server finish its work and receive no more.
    ServerRetire {
        /// Fleet.
        fleet: String,
        /// Identifier in the platform's list.
        server: String,
    },
    /// Adds an organisation, or changes the given fields of an existing one.
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

/// Fields of an organisation to set; absent fields stay unchanged.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Fields {
    /// File to which a new organisation is added.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub file: Option<String>,
    /// Models and versions that it may use.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub allow: Option<Vec<String>>,
    /// Plain services that it may call.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub services: Option<Vec<String>>,
    /// Share of capacity relative to other organisations.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<u32>,
    /// Whether it accepts an answer below the quality target rather than none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub below_target: Option<bool>,
    /// Digests of its keys.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub keys: Option<Vec<String>>,
}

/// Reason why an action cannot be applied.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The folder already contains problems.
    #[error("the configuration holds problems: {}", .0[0])]
    Problems(Vec<Problem>),
    /// The action does not apply to the configuration, or a field is missing.
    #[error("{0}")]
    NotApplicable(String),
    /// A file cannot be edited.
    #[error("{file}: {cause}")]
    Edit {
        /// Name of the file.
        file: String,
        /// Reason.
        cause: edit::Refusal,
    },
}

/// Returns the folder after an action.
///
/// # Errors
///
/// The reason why the action cannot be applied; nothing is changed then.
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

/// A copy of the folder to which the edits of an action are applied.
struct Draft<'a> {
    merged: &'a Merged,
    folder: Folder,
}

impl Draft<'_> {
    /// Returns the file that contains an entry.
    fn owner(&self, section: &str, name: &str) -> Option<String> {
        self.merged
            .owners
            .get(&format!("{section}/{name}"))
            .cloned()
    }

    /// Returns the file for a new entry of a section: of the files that contain
    /// entries of it, the last by name, so that the entry joins others of its
    /// kind.
    fn file_for_new_entry(&self, section: &str) -> Result<String, Refusal> {
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

    fn set_field(
        &mut self,
        section: &str,
        name: &str,
        field: &str,
        value: impl Into<Json>,
    ) -> Result<(), Refusal> {
        let value = value.into();
        self.change_field(section, name, field, Some(&value))
    }

    fn remove_field(&mut self, section: &str, name: &str, field: &str) -> Result<(), Refusal> {
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

    fn put_entry(
        &mut self,
        file: &str,
        section: &str,
        name: &str,
        entry: Option<&Map<String, Json>>,
    ) -> Result<(), Refusal> {
        self.edit(file, |text| edit::put_entry(text, section, name, entry))
    }
}
