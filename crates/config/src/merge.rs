//! Merge of the files of a folder.
//!
//! Rules, in the order in which they apply:
//!
//! 1. Files are merged in the byte order of their names: `10-a.yaml` comes
//!    before `9-b.yaml`. [`Folder::read`] ignores files whose names do not end
//!    in `.yaml`.
//! 2. An empty file is valid and adds nothing.
//! 3. Several files may contain the same section; its entries are combined.
//! 4. An entry (an organisation, a model, and so on) may appear in one file
//!    only, even if both copies are equal: two teams that write the same entry
//!    would otherwise override each other without noticing.
//! 5. `limits` are the exception: the last file that sets a limit takes effect,
//!    so that a team can tighten what the first file sets for all.
//! 6. A problem in any file refuses the whole folder.

use std::collections::BTreeMap;
use std::sync::OnceLock;

use bytes::Bytes;

use crate::tree::{self, ParseError, Value, YamlNode};
use crate::{File, Folder, Problem};

/// The merge of a folder, with the file that owns each entry.
///
/// Line numbers are computed on the first call of [`Merged::position`]: instances
/// compile every accepted change and never need them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Merged {
    /// The merged sections.
    pub file: File,
    /// Name of the file that contains an entry, by `section/name`.
    pub owners: BTreeMap<String, String>,
    texts: BTreeMap<String, Bytes>,
    lines: OnceLock<BTreeMap<String, usize>>,
}

impl Merged {
    /// Parses and merges a folder.
    ///
    /// # Errors
    ///
    /// All syntax errors and all duplicate entries of the folder.
    pub fn new(folder: &Folder) -> Result<Self, Vec<Problem>> {
        let mut merged = Self::default();
        let mut problems = Vec::new();
        for (name, content) in &folder.files {
            match parse(name, content) {
                Ok(file) => {
                    merged.texts.insert(name.clone(), content.clone());
                    merged.add(name, file, &mut problems);
                }
                Err(found) => problems.extend(found),
            }
        }
        if problems.is_empty() {
            Ok(merged)
        } else {
            Err(problems)
        }
    }

    /// Returns the file and the line of the value at `path`, such as
    /// `organisations/a/allow/0`. A value that is absent from the text gets the
    /// position of the closest enclosing value; the line is 0 if there is none.
    #[must_use]
    pub fn position(&self, path: &str) -> (&str, usize) {
        let file = self.owner(path).unwrap_or("");
        let lines = self.lines.get_or_init(|| self.owned_line_numbers());
        let mut prefix = path;
        loop {
            if let Some(line) = lines.get(prefix) {
                return (file, *line);
            }
            match prefix.rsplit_once('/') {
                Some((parent, _)) => prefix = parent,
                None => return (file, 0),
            }
        }
    }

    /// Returns the line of every value in the file that owns it, by
    /// `section/name/field/...`.
    fn owned_line_numbers(&self) -> BTreeMap<String, usize> {
        let mut owned = BTreeMap::new();
        for (name, content) in &self.texts {
            for (path, line) in line_numbers(content) {
                if self.owner(&path) == Some(name) {
                    owned.insert(path, line);
                }
            }
        }
        owned
    }

    /// Returns the file that contains the entry of a path. The longest matching
    /// entry is used, so that a name with an invalid `/` is still found.
    fn owner(&self, path: &str) -> Option<&str> {
        let mut prefix = path;
        loop {
            if let Some(file) = self.owners.get(prefix) {
                return Some(file);
            }
            prefix = prefix.rsplit_once('/')?.0;
        }
    }

    fn add(&mut self, name: &str, file: File, problems: &mut Vec<Problem>) {
        let mut section = SectionMerger {
            file: name,
            text: self.texts.get(name).cloned().unwrap_or_default(),
            owners: &mut self.owners,
            problems,
        };
        section.add(
            "organisations",
            &mut self.file.organisations,
            file.organisations,
        );
        section.add("operators", &mut self.file.operators, file.operators);
        section.add("models", &mut self.file.models, file.models);
        section.add("versions", &mut self.file.versions, file.versions);
        section.add("targets", &mut self.file.targets, file.targets);
        section.add("rollouts", &mut self.file.rollouts, file.rollouts);
        section.add("services", &mut self.file.services, file.services);
        section.add("backends", &mut self.file.backends, file.backends);
        for limit in file.limits.keys() {
            self.owners
                .insert(format!("limits/{limit}"), name.to_owned());
        }
        self.file.limits.extend(file.limits);
    }
}

/// Adds the entries of one file to the merged sections.
struct SectionMerger<'a> {
    file: &'a str,
    text: Bytes,
    owners: &'a mut BTreeMap<String, String>,
    problems: &'a mut Vec<Problem>,
}

impl SectionMerger<'_> {
    fn add<T>(&mut self, section: &str, into: &mut BTreeMap<String, T>, from: BTreeMap<String, T>) {
        for (name, entry) in from {
            let path = format!("{section}/{name}");
            if let Some(owner) = self.owners.get(&path) {
                let message = format!(
                    "{path} already stands in {owner}; an entry may stand in one file only"
                );
                let line = line_numbers(&self.text).get(&path).copied().unwrap_or(0);
                self.problems.push(Problem::new(self.file, line, message));
                continue;
            }
            self.owners.insert(path, self.file.to_owned());
            into.insert(name, entry);
        }
    }
}

/// Returns the line of every value of a file, by path; empty if the file
/// cannot be parsed.
fn line_numbers(content: &[u8]) -> BTreeMap<String, usize> {
    let mut lines = BTreeMap::new();
    let text = std::str::from_utf8(content).unwrap_or_default();
    if let Ok(root) = YamlNode::new(text) {
        root.walk("", &mut |path, line| {
            lines.insert(path.to_owned(), line);
        });
    }
    lines
}

fn parse(name: &str, content: &[u8]) -> Result<File, Vec<Problem>> {
    let text = std::str::from_utf8(content)
        .map_err(|error| vec![Problem::new(name, 0, format!("not UTF-8: {error}"))])?;
    let error = match serde_saphyr::from_str(text) {
        Ok(file) => return Ok(file),
        Err(error) => error,
    };
    let problem = |error: ParseError| vec![Problem::new(name, error.line, error.message)];
    let root = YamlNode::new(text).map_err(problem)?;
    if matches!(root.value, Value::Null) {
        return Ok(File::default());
    }
    let problems = tree::diagnose::diagnose(name, &root);
    if problems.is_empty() {
        return Err(problem(ParseError::from(&error)));
    }
    Err(problems)
}
