//! The effects of a configuration change, described for an operator.
//!
//! A text diff shows which lines changed but not who is affected: one line of
//! a target can move every chat of ten organisations to another version. The
//! effects are therefore computed from the compiled catalogs: which
//! organisation gains or loses which version, which version answers a class of
//! work after the change, and which share of sessions a roll-out moves.

mod organisations;
mod rollouts;
mod sections;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::file::State;
use crate::{Catalog, File, Merged, Names, key};

/// The kind of an effect, in the order in which effects are listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Access or capacity is lost.
    Loses,
    /// Work moves to other versions.
    Moves,
    /// Access or capacity is gained.
    Gains,
    /// A value changes.
    Changes,
}

/// One effect of a change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Effect {
    /// Kind.
    pub kind: Kind,
    /// What is affected, such as `organisations/a`.
    pub subject: String,
    /// Description of the effect.
    pub text: String,
}

impl fmt::Display for Effect {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.subject, self.text)
    }
}

/// One of the two configurations that are compared: a merge with its catalog.
#[derive(Debug)]
pub struct Compiled<'a> {
    merged: &'a Merged,
    catalog: Catalog,
    names: Names,
}

impl<'a> Compiled<'a> {
    /// Compiles a merge.
    ///
    /// # Errors
    ///
    /// All problems of the merge.
    pub fn new(merged: &'a Merged) -> Result<Self, Vec<crate::Problem>> {
        let mut names = Names::new();
        let catalog = Catalog::new(0, merged, &mut names)?;
        Ok(Self {
            merged,
            catalog,
            names,
        })
    }

    fn file(&self) -> &File {
        &self.merged.file
    }

    /// Returns the versions that an organisation may use and that are not
    /// withdrawn.
    fn usable_versions(&self, organisation: &str) -> BTreeSet<String> {
        let key = self.names.organisations.get(organisation);
        let entry = key.and_then(|key| self.catalog.organisations.get(key));
        let allowed = entry.into_iter().flat_map(|entry| &entry.allowed);
        let not_withdrawn =
            allowed.filter(|key| self.catalog.versions[**key].state != State::Withdrawn);
        not_withdrawn
            .map(|key| self.names.versions.name(*key).to_string())
            .collect()
    }

    /// Returns the cheapest current version that meets the target of a class for
    /// an organisation, by the expected quality in the configuration.
    fn answering_version(&self, organisation: &str, class: &str) -> Option<String> {
        let organisation = self.names.organisations.get(organisation)?;
        let organisation = self.catalog.organisations.get(organisation)?;
        let class_key = self.names.classes.get(class)?;
        let class = self.catalog.classes.get(class_key)?;
        let current = class
            .models
            .iter()
            .filter_map(|model| self.current_version(*model));
        let eligible = current.filter(|version| {
            let entry = &self.catalog.versions[*version];
            let meets_target = self.catalog.quality(*version, class_key) >= class.quality;
            organisation.allowed.contains(version)
                && entry.state == State::Open
                && (meets_target || organisation.below_target)
        });
        let cheapest =
            eligible.min_by_key(|version| self.catalog.versions[*version].cost.output)?;
        Some(self.names.versions.name(cheapest).to_string())
    }

    /// Returns the current version of a model: that of its roll-out, otherwise
    /// the last one by name.
    fn current_version(&self, model: key::Model) -> Option<key::Version> {
        match self.catalog.rollouts.get(model) {
            Some(rollout) => Some(rollout.current),
            None => self.catalog.models.get(model)?.last().copied(),
        }
    }
}

/// Returns the effects of a change from `before` to `after`, losses first.
#[must_use]
pub fn effects(before: &Compiled<'_>, after: &Compiled<'_>) -> Vec<Effect> {
    let mut effects = Vec::new();
    organisations::versions(before, after, &mut effects);
    organisations::entries(before.file(), after.file(), &mut effects);
    organisations::classes(before, after, &mut effects);
    sections::versions(before.file(), after.file(), &mut effects);
    rollouts::entries(before.file(), after.file(), &mut effects);
    sections::backends(before.file(), after.file(), &mut effects);
    sections::others(before.file(), after.file(), &mut effects);
    effects.sort();
    effects
}

fn push(
    effects: &mut Vec<Effect>,
    kind: Kind,
    subject: impl Into<String>,
    text: impl Into<String>,
) {
    effects.push(Effect {
        kind,
        subject: subject.into(),
        text: text.into(),
    });
}

/// Calls `visit` for each name whose entry differs, with the old and the new
/// entry.
fn compare<T: PartialEq>(
    before: &BTreeMap<String, T>,
    after: &BTreeMap<String, T>,
    mut visit: impl FnMut(&str, Option<&T>, Option<&T>),
) {
    let names: BTreeSet<_> = before.keys().chain(after.keys()).collect();
    for name in names {
        let (old, new) = (before.get(name), after.get(name));
        if old != new {
            visit(name, old, new);
        }
    }
}

/// Returns the names of the organisations of both configurations.
fn all_organisations(before: &File, after: &File) -> BTreeSet<String> {
    let names = before
        .organisations
        .keys()
        .chain(after.organisations.keys());
    names.cloned().collect()
}

/// Adds an effect for each name that is in only one of two lists.
fn compare_lists(
    effects: &mut Vec<Effect>,
    subject: &str,
    what: &str,
    old: &[String],
    new: &[String],
) {
    for name in old.iter().filter(|name| !new.contains(name)) {
        push(
            effects,
            Kind::Loses,
            subject,
            format!("loses {what} {name}"),
        );
    }
    for name in new.iter().filter(|name| !old.contains(name)) {
        push(
            effects,
            Kind::Gains,
            subject,
            format!("gains {what} {name}"),
        );
    }
}
