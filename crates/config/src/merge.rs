//! Merge of the files of a folder.
//!
//! Files are taken in the order of their names. An entry (an organisation, a
//! model, and so on) may stand in one file only: two teams that write the same
//! entry would otherwise override each other without noticing. `limits` are
//! the exception: a later file overrides an earlier one, so that a team can
//! tighten what the first file sets for all.

use std::collections::BTreeMap;

use crate::problem::Problem;
use crate::{File, Folder};

/// The merge of a folder, with the owner of every entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Merged {
    /// The merged sections.
    pub file: File,
    /// File that holds an entry, by `section/name`.
    pub owners: BTreeMap<String, String>,
}

impl Merged {
    /// Parses and merges a folder.
    ///
    /// # Errors
    ///
    /// All problems of syntax and all doubled entries, at once.
    pub fn new(folder: &Folder) -> Result<Self, Vec<Problem>> {
        let mut merged = Self::default();
        let mut problems = Vec::new();
        for (name, content) in &folder.files {
            match parse(name, content) {
                Ok(file) => merged.add(name, file, &mut problems),
                Err(problem) => problems.push(problem),
            }
        }
        if problems.is_empty() {
            Ok(merged)
        } else {
            Err(problems)
        }
    }

    fn add(&mut self, name: &str, file: File, problems: &mut Vec<Problem>) {
        let mut section = Section {
            file: name,
            owners: &mut self.owners,
            problems,
        };
        section.add(
            "organisations",
            &mut self.file.organisations,
            file.organisations,
        );
        section.add("models", &mut self.file.models, file.models);
        section.add("versions", &mut self.file.versions, file.versions);
        section.add("targets", &mut self.file.targets, file.targets);
        section.add("rollouts", &mut self.file.rollouts, file.rollouts);
        section.add("services", &mut self.file.services, file.services);
        section.add("backends", &mut self.file.backends, file.backends);
        self.file.limits.extend(file.limits);
    }
}

struct Section<'a> {
    file: &'a str,
    owners: &'a mut BTreeMap<String, String>,
    problems: &'a mut Vec<Problem>,
}

impl Section<'_> {
    fn add<T>(&mut self, section: &str, into: &mut BTreeMap<String, T>, from: BTreeMap<String, T>) {
        for (name, entry) in from {
            let path = format!("{section}/{name}");
            if let Some(owner) = self.owners.get(&path) {
                let message = format!(
                    "{path} already stands in {owner}; an entry may stand in one file only"
                );
                self.problems.push(Problem::new(self.file, 0, message));
                continue;
            }
            self.owners.insert(path, self.file.to_owned());
            into.insert(name, entry);
        }
    }
}

fn parse(name: &str, content: &[u8]) -> Result<File, Problem> {
    let text = std::str::from_utf8(content)
        .map_err(|error| Problem::new(name, 0, format!("not UTF-8: {error}")))?;
    if text.trim().is_empty() {
        return Ok(File::default());
    }
    serde_saphyr::from_str(text).map_err(|error| {
        let line = error
            .location()
            .map_or(0, |location| usize::try_from(location.line()).unwrap_or(0));
        Problem::new(name, line, error.to_string())
    })
}
