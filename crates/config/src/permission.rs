//! What an operator may change.
//!
//! Each team owns its file. A change that an operator proposes is compared
//! with the active configuration, and everything that differs must lie within
//! the operator's scope: its files, its organisations (one file may contain
//! entries of several) and, for administrators only, the operators themselves.
//! Without the last rule a team could grant itself access to every file by
//! adding an operator to its own file.

use std::collections::{BTreeMap, BTreeSet};

use crate::catalog::Operator;
use crate::{Folder, Merged, Problem};

/// Entry of a scope that matches every name.
pub const WILDCARD: &str = "*";

/// A set of names that an operator may change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scope {
    names: BTreeSet<String>,
}

impl Scope {
    /// Creates a scope of `names`; `*` matches every name.
    #[must_use]
    pub fn new(names: &[String]) -> Self {
        Self {
            names: names.iter().cloned().collect(),
        }
    }

    /// Returns whether the scope includes `name`.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        self.names.contains(WILDCARD) || self.names.contains(name)
    }
}

/// A configuration: its files and their merge.
#[derive(Clone, Copy, Debug)]
pub struct Snapshot<'a> {
    /// The files.
    pub folder: &'a Folder,
    /// Their merge.
    pub merged: &'a Merged,
}

/// Checks that `operator` may change `before` to `after`.
///
/// # Errors
///
/// One problem for each difference outside the operator's scope.
pub fn check(
    operator: &Operator,
    before: Snapshot<'_>,
    after: Snapshot<'_>,
) -> Result<(), Vec<Problem>> {
    let mut problems = Vec::new();
    for name in changed_names(&before.folder.files, &after.folder.files) {
        if !operator.files.contains(name) {
            let message = format!("operator {} may not change this file", operator.name);
            problems.push(Problem::new(name, 0, message));
        }
    }
    let before_file = &before.merged.file;
    let after_file = &after.merged.file;
    for name in changed_names(&before_file.organisations, &after_file.organisations) {
        if !operator.organisations.contains(name) {
            let path = format!("organisations/{name}");
            let message = format!("{path}: operator {} may not change it", operator.name);
            problems.push(problem_at(after, before, &path, message));
        }
    }
    if !operator.admin {
        for name in changed_names(&before_file.operators, &after_file.operators) {
            let path = format!("operators/{name}");
            let message = format!("{path}: only an operator with `admin: true` changes operators");
            problems.push(problem_at(after, before, &path, message));
        }
    }
    if problems.is_empty() {
        Ok(())
    } else {
        Err(problems)
    }
}

/// Creates a problem at `path` in the snapshot that contains it; `before` for a
/// removed entry.
fn problem_at(after: Snapshot<'_>, before: Snapshot<'_>, path: &str, message: String) -> Problem {
    let snapshot = if after.merged.owners.contains_key(path) {
        after
    } else {
        before
    };
    let (file, line) = snapshot.merged.position(path);
    Problem::new(file, line, message)
}

/// Returns the names whose values differ or that are in only one of the maps.
fn changed_names<'a, T: PartialEq>(
    before: &'a BTreeMap<String, T>,
    after: &'a BTreeMap<String, T>,
) -> BTreeSet<&'a str> {
    let names = before.keys().chain(after.keys());
    names
        .filter(|name| before.get(*name) != after.get(*name))
        .map(String::as_str)
        .collect()
}
