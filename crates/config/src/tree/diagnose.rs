//! All errors of a file that the typed parse refused.
//!
//! The typed parse stops at its first error; an operator who corrects one line
//! and is told of the next one, again and again, loses minutes at night. Each
//! entry is therefore parsed by itself, and a field at fault is set aside and
//! the entry is tried again until nothing new is found.

use serde::de::DeserializeOwned;

use super::{Field, Node, ParseError, Value};
use crate::{Problem, file};

/// Sections of a file, in the order in which they are documented.
pub const SECTIONS: [&str; 9] = [
    "operators",
    "organisations",
    "models",
    "versions",
    "targets",
    "rollouts",
    "services",
    "backends",
    "limits",
];

/// Returns every error of `name`, whose tree is `root`.
#[must_use]
pub fn diagnose(name: &str, root: &Node) -> Vec<Problem> {
    let mut problems = Vec::new();
    if !matches!(root.value, Value::Mapping(_) | Value::Null) {
        let message = format!("expected a mapping of sections: {}", SECTIONS.join(", "));
        problems.push(Problem::new(name, root.line, message));
    }
    for section in root.fields() {
        diagnose_section(name, section, &mut problems);
    }
    problems
}

fn diagnose_section(name: &str, section: &Field, problems: &mut Vec<Problem>) {
    let parse: fn(&Node) -> Result<(), ParseError> = match section.name.as_str() {
        "operators" => parses::<file::Operator>,
        "organisations" => parses::<file::Organisation>,
        "models" => parses::<file::Model>,
        "versions" => parses::<file::Version>,
        "targets" => parses::<file::Target>,
        "rollouts" => parses::<file::Rollout>,
        "services" => parses::<file::Service>,
        "backends" => parses::<file::Backend>,
        "limits" => parses::<f64>,
        unknown => {
            let known = SECTIONS.join(", ");
            let message = format!("no section is named {unknown}; the sections are {known}");
            problems.push(Problem::new(name, section.line, message));
            return;
        }
    };
    if !matches!(section.node.value, Value::Mapping(_)) {
        let message = format!("{}: expected a mapping of entries by name", section.name);
        problems.push(Problem::new(name, section.line, message));
    }
    for entry in section.node.fields() {
        let path = format!("{}/{}", section.name, entry.name);
        for failure in failures(entry.node.clone(), parse) {
            let line = if failure.line == 0 {
                entry.line
            } else {
                failure.line
            };
            let path = std::iter::once(path.as_str())
                .chain(failure.field.iter().map(String::as_str))
                .collect::<Vec<_>>()
                .join("/");
            problems.push(Problem::new(
                name,
                line,
                format!("{path}: {}", readable(&failure.message)),
            ));
        }
    }
}

fn parses<T: DeserializeOwned>(node: &Node) -> Result<(), ParseError> {
    T::deserialize(node).map(|_| ())
}

/// Parses an entry until no further field is at fault.
///
/// A field at fault is given a value that parses, so that the parse goes on to
/// the next one; a field that no value helps is left out.
fn failures(mut node: Node, parse: fn(&Node) -> Result<(), ParseError>) -> Vec<ParseError> {
    let mut found = Vec::new();
    let mut left_out: Vec<String> = Vec::new();
    while let Err(failure) = parse(&node) {
        let missing = left_out
            .iter()
            .any(|name| failure.message == format!("missing field `{name}`"));
        if missing {
            return found;
        }
        let name = failure.field.first().cloned();
        found.push(failure);
        let Some(name) = name else {
            return found;
        };
        if !fill_in(&mut node, &name, parse) {
            if let Value::Mapping(fields) = &mut node.value {
                fields.retain(|field| field.name != name);
            }
            left_out.push(name);
        }
    }
    found
}

/// Gives a field a value that parses; returns whether there is one.
fn fill_in(node: &mut Node, name: &str, parse: fn(&Node) -> Result<(), ParseError>) -> bool {
    let values = [
        Value::Unsigned(1),
        Value::Text(String::new()),
        Value::Bool(false),
        Value::Sequence(Vec::new()),
        Value::Mapping(Vec::new()),
    ];
    for value in values {
        let Value::Mapping(fields) = &mut node.value else {
            return false;
        };
        let Some(field) = fields.iter_mut().find(|field| field.name == name) else {
            return false;
        };
        field.node.value = value;
        let helped = match parse(node) {
            Ok(()) => true,
            Err(failure) => failure.field.first().map(String::as_str) != Some(name),
        };
        if helped {
            return true;
        }
    }
    false
}

/// Replaces names of Rust types, which say nothing to an operator.
fn readable(message: &str) -> String {
    const NAMES: [(&str, &str); 7] = [
        ("expected u8", "expected a whole number, 0 to 255"),
        ("expected u32", "expected a whole number of 0 or more"),
        ("expected u64", "expected a whole number of 0 or more"),
        ("expected usize", "expected a whole number of 0 or more"),
        ("expected f64", "expected a number"),
        ("expected a boolean", "expected true or false"),
        ("expected a sequence", "expected a list such as [a, b]"),
    ];
    let mut message = message.to_owned();
    for (old, new) in NAMES {
        if message.ends_with(old) {
            message = message.replace(old, new);
        }
    }
    message
}
