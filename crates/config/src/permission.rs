//! What an operator may change.
//!
//! Each team owns its file. A change that an operator proposes is compared
//! with what is in force, and everything that differs must lie in the
//! operator's scope: the files, the organisations (one file may hold entries
//! of several), and, for administrators alone, the operators themselves.
//! Without the last rule a team could grant itself every file by adding an
//! operator to its own.

use std::collections::{BTreeMap, BTreeSet};

use crate::catalog::Operator;
use crate::{Folder, Merged, Problem};

/// Name that stands for all names.
pub const WILDCARD: &str = "*";

/// A set of names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scope {
    names: BTreeSet<String>,
}

impl Scope {
    /// Creates a scope of names; `*` stands for all.
    #[must_use]
    pub fn new(names: &[String]) -> Self {
        Self {
            names: names.iter().cloned().collect(),
        }
    }

    /// Returns whether the scope holds `name`.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        self.names.contains(WILDCARD) || self.names.contains(name)
    }
}

/// A configuration with its text.
#[derive(Clone, Copy, Debug)]
pub struct Snapshot<'a> {
    /// The files.
    pub folder: &'a Folder,
    /// Their merge.
    pub merged: &'a Merged,
}

/// Checks that `operator` may turn `before` into `after`.
///
/// # Errors
///
/// Everything that lies outside the operator's scope, at once.
pub fn check(
    operator: &Operator,
    before: Snapshot<'_>,
    after: Snapshot<'_>,
) -> Result<(), Vec<Problem>> {
    let mut problems = Vec::new();
    for name in changed(&before.folder.files, &after.folder.files) {
        if !operator.files.contains(name) {
            let message = format!("operator {} may not change this file", operator.name);
            problems.push(Problem::new(name, 0, message));
        }
    }
    let before_file = &before.merged.file;
    let after_file = &after.merged.file;
    for name in changed(&before_file.organisations, &after_file.organisations) {
        if !operator.organisations.contains(name) {
            let path = format!("organisations/{name}");
            let message = format!("{path}: operator {} may not change it", operator.name);
            problems.push(at(after, before, &path, message));
        }
    }
    if !operator.admin {
        for name in changed(&before_file.operators, &after_file.operators) {
            let path = format!("operators/{name}");
            let message = format!("{path}: only an operator with `admin: true` changes operators");
            problems.push(at(after, before, &path, message));
        }
    }
    if problems.is_empty() {
        Ok(())
    } else {
        Err(problems)
    }
}

fn at(after: Snapshot<'_>, before: Snapshot<'_>, path: &str, message: String) -> Problem {
    let side = if after.merged.owners.contains_key(path) {
        after
    } else {
        before
    };
    let (file, line) = side.merged.position(path);
    Problem::new(file, line, message)
}

/// Returns the names whose values differ or that only one side has.
fn changed<'a, T: PartialEq>(
    before: &'a BTreeMap<String, T>,
    after: &'a BTreeMap<String, T>,
) -> BTreeSet<&'a str> {
    let names = before.keys().chain(after.keys());
    names
        .filter(|name| before.get(*name) != after.get(*name))
        .map(String::as_str)
        .collect()
}
