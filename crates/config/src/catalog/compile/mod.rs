//! Checks the references of a merge and replaces names by keys.
//!
//! Sections are compiled in the order of their dependencies. A problem in one
//! section does not stop the others, so that an operator gets all problems of
//! all sections in one run, each with its file and line.

mod backends;
mod models;
mod operators;
mod organisations;
mod rollouts;
mod targets;

use super::Catalog;
use crate::{Merged, Names, Problem, key, limits};

const MAX_NAME_BYTES: usize = 64;

/// Compiles a merge.
///
/// # Errors
///
/// All problems of all sections, ordered by file and line.
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
    builder.check_entry_names();
    builder.models();
    builder.versions();
    builder.backends();
    builder.services();
    builder.targets();
    builder.rollouts();
    builder.organisations();
    builder.operators();
    builder.check_limits();
    if builder.problems.is_empty() {
        return Ok(builder.catalog);
    }
    let mut problems = builder.problems;
    problems.sort_by(|a, b| (&a.file, a.line).cmp(&(&b.file, b.line)));
    Err(problems)
}

/// Collects the compiled sections and their problems.
struct Builder<'a> {
    merged: &'a Merged,
    names: &'a mut Names,
    catalog: Catalog,
    problems: Vec<Problem>,
}

impl Builder<'_> {
    /// Adds a problem with the value at `path`, such as
    /// `organisations/a/allow/0`.
    fn report(&mut self, path: &str, message: impl Into<String>) {
        let (file, line) = self.merged.position(path);
        let message = format!("{path}: {}", message.into());
        self.problems.push(Problem::new(file, line, message));
    }

    /// Checks the names of all entries. They become parts of store keys and of
    /// URL paths, where `/`, `?` and spaces have another meaning.
    fn check_entry_names(&mut self) {
        let merged = self.merged;
        for path in merged.owners.keys() {
            let Some((section, name)) = path.split_once('/') else {
                continue;
            };
            let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
            let accepted = |byte: u8| plain(byte) || (section == "versions" && byte == b'@');
            if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(accepted) {
                self.report(
                    path,
                    format!(
                        "a name holds 1 to {MAX_NAME_BYTES} letters of a-z and A-Z, digits, \
                         `-`, `_` and `.`"
                    ),
                );
            }
        }
    }

    fn check_limits(&mut self) {
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

    fn check_share(&mut self, path: &str, value: f64) {
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

/// Lists the defined names, as the end of a message.
fn list_defined<'a>(names: impl Iterator<Item = &'a String>) -> String {
    const MAX_NAMES: usize = 12;
    let names: Vec<_> = names.map(String::as_str).collect();
    match names.len() {
        0 => "none is defined".to_owned(),
        1..=MAX_NAMES => format!("defined are {}", names.join(", ")),
        more => format!(
            "defined are {} and {} more",
            names[..MAX_NAMES].join(", "),
            more - MAX_NAMES
        ),
    }
}
