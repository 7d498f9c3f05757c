//! What a change of configuration means, in words.
//!
//! A difference of text tells an operator which lines changed, not who is
//! affected: one line of a target can move every chat of ten organisations to
//! another version. The effects are therefore worked out on the compiled
//! catalogs: who gains or loses which version, which version answers a class
//! of work from now on, and what share of sessions a roll-out moves.

mod organisations;
mod rollouts;
mod sections;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::file::State;
use crate::{Catalog, File, Merged, Names, key};

/// What kind of effect a change has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Somebody can no longer use something.
    Loses,
    /// Work goes elsewhere.
    Moves,
    /// Somebody can use something new.
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
    /// The effect in words.
    pub text: String,
}

impl fmt::Display for Effect {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.subject, self.text)
    }
}

/// One side of the comparison.
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

    /// Returns the versions that an organisation may use and that take work.
    fn usable(&self, organisation: &str) -> BTreeSet<String> {
        let key = self.names.organisations.get(organisation);
        let entry = key.and_then(|key| self.catalog.organisations.get(key));
        let allowed = entry.into_iter().flat_map(|entry| &entry.allowed);
        let working = allowed.filter(|key| self.catalog.versions[**key].state != State::Withdrawn);
        working
            .map(|key| self.names.versions.name(*key).to_string())
            .collect()
    }

    /// Returns the cheapest version of today that meets the target of a class
    /// for an organisation, by the expected quality of the configuration.
    fn answers(&self, organisation: &str, class: &str) -> Option<String> {
        let organisation = self.names.organisations.get(organisation)?;
        let organisation = self.catalog.organisations.get(organisation)?;
        let class_key = self.names.classes.get(class)?;
        let class = self.catalog.classes.get(class_key)?;
        let today = class.models.iter().filter_map(|model| self.today(*model));
        let fitting = today.filter(|version| {
            let entry = &self.catalog.versions[*version];
            let meets = self.catalog.quality(*version, class_key) >= class.quality;
            organisation.allowed.contains(version)
                && entry.state == State::Open
                && (meets || organisation.below_target)
        });
        let cheapest = fitting.min_by_key(|version| self.catalog.versions[*version].cost.output)?;
        Some(self.names.versions.name(cheapest).to_string())
    }

    fn today(&self, model: key::Model) -> Option<key::Version> {
        match self.catalog.rollouts.get(model) {
            Some(rollout) => Some(rollout.current),
            None => self.catalog.models.get(model)?.last().copied(),
        }
    }
}

/// Returns the effects of going from one configuration to another, losses
/// first.
#[must_use]
pub fn effects(before: &Compiled<'_>, after: &Compiled<'_>) -> Vec<Effect> {
    let mut found = Vec::new();
    organisations::versions(before, after, &mut found);
    organisations::entries(before.file(), after.file(), &mut found);
    organisations::classes(before, after, &mut found);
    sections::versions(before.file(), after.file(), &mut found);
    rollouts::entries(before.file(), after.file(), &mut found);
    sections::backends(before.file(), after.file(), &mut found);
    sections::rest(before.file(), after.file(), &mut found);
    found.sort();
    found
}

fn add(found: &mut Vec<Effect>, kind: Kind, subject: impl Into<String>, text: impl Into<String>) {
    found.push(Effect {
        kind,
        subject: subject.into(),
        text: text.into(),
    });
}

/// Calls `visit` for each name whose entry differs.
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

fn all_organisations(before: &File, after: &File) -> BTreeSet<String> {
    let names = before
        .organisations
        .keys()
        .chain(after.organisations.keys());
    names.cloned().collect()
}

fn lists(found: &mut Vec<Effect>, subject: &str, what: &str, old: &[String], new: &[String]) {
    for name in old.iter().filter(|name| !new.contains(name)) {
        add(found, Kind::Loses, subject, format!("loses {what} {name}"));
    }
    for name in new.iter().filter(|name| !old.contains(name)) {
        add(found, Kind::Gains, subject, format!("gains {what} {name}"));
    }
}
