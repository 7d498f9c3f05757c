//! Checks the references of a merge and turns names into keys.
//!
//! Sections are compiled in the order in which they refer to each other, and a
//! problem in one does not end the others: an operator is told of every
//! problem at once, each with its file and line.

mod backends;
mod models;
mod operators;
mod organisations;
mod rollouts;
mod targets;

use super::Catalog;
use crate::{Merged, Names, Problem, key, limits};

/// Longest name of an entry, in bytes.
const LONGEST_NAME: usize = 64;

/// Compiles a merge.
///
/// # Errors
///
/// All problems at once.
pub fn compile(revision: u64, merged: &Merged, names: &mut Names) -> Result<Catalog, Vec<Problem>> {
    let mut builder = Builder {
        merged,
        names,
        catalog: Catalog {
            revision,
            limits: merged.file.limits.clone(),
            ..Catalog::default()
        },
        problems: Vec::new(),
    };
    builder.entry_names();
    builder.models();
    builder.versions();
    builder.backends();
    builder.services();
    builder.targets();
    builder.rollouts();
    builder.organisations();
    builder.operators();
    builder.limits();
    if builder.problems.is_empty() {
        return Ok(builder.catalog);
    }
    let mut problems = builder.problems;
    problems.sort_by(|a, b| (&a.file, a.line).cmp(&(&b.file, b.line)));
    Err(problems)
}

struct Builder<'a> {
    merged: &'a Merged,
    names: &'a mut Names,
    catalog: Catalog,
    problems: Vec<Problem>,
}

impl Builder<'_> {
    /// Reports a problem of the value at `path`, such as
    /// `organisations/a/allow/0`.
    fn report(&mut self, path: &str, message: impl Into<String>) {
        let (file, line) = self.merged.position(path);
        let message = format!("{path}: {}", message.into());
        self.problems.push(Problem::new(file, line, message));
    }

    /// Checks the names of all entries: they become parts of keys of the
    /// store and of paths, where `/`, `?` and spaces would mean something else.
    fn entry_names(&mut self) {
        let merged = self.merged;
        for path in merged.owners.keys() {
            let Some((section, name)) = path.split_once('/') else {
                continue;
            };
            let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
            let accepted = |byte: u8| plain(byte) || (section == "versions" && byte == b'@');
            if name.is_empty() || name.len() > LONGEST_NAME || !name.bytes().all(accepted) {
                self.report(
                    path,
                    format!(
                        "a name holds 1 to {LONGEST_NAME} letters of a-z and A-Z, digits, \
                         `-`, `_` and `.`"
                    ),
                );
            }
        }
    }

    fn limits(&mut self) {
        for (name, value) in &self.merged.file.limits {
            let path = format!("limits/{name}");
            match limits::find(name) {
                None => {
                    let listed = limits::LIMITS.iter().map(|limit| limit.name);
                    let listed = listed.collect::<Vec<_>>().join(", ");
                    self.report(&path, format!("no such limit; accepted are {listed}"));
                }
                Some(limit) if !(limit.min..=limit.max).contains(value) => {
                    let message = format!("must lie between {} and {}", limit.min, limit.max);
                    self.report(&path, message);
                }
                Some(_) => {}
            }
        }
    }

    fn share(&mut self, path: &str, value: f64) {
        if !(0.0..=1.0).contains(&value) {
            self.report(path, format!("{value} must lie between 0 and 1"));
        }
    }

    fn known_version(&self, name: &str) -> Option<key::Version> {
        let key = self.names.versions.get(name)?;
        self.catalog.versions.contains_key(key).then_some(key)
    }

    fn known_model(&self, name: &str) -> Option<key::Model> {
        let key = self.names.models.get(name)?;
        self.catalog.models.contains_key(key).then_some(key)
    }
}

/// Ends a message by the names that would have been accepted.
fn accepted<'a>(names: impl Iterator<Item = &'a String>) -> String {
    const SHOWN: usize = 12;
    let names: Vec<_> = names.map(String::as_str).collect();
    match names.len() {
        0 => "none is defined".to_owned(),
        1..=SHOWN => format!("defined are {}", names.join(", ")),
        more => format!(
            "defined are {} and {} more",
            names[..SHOWN].join(", "),
            more - SHOWN
        ),
    }
}
