//! Finds all errors of a file that the typed parse refused.
//!
//! The typed parse stops at its first error. An operator who gets one error per
//! run and must correct line after line loses minutes in an incident at night.
//! Each entry is therefore parsed separately; a field with an error is replaced
//! or removed, and the entry is parsed again until no new error is found.

use serde::de::DeserializeOwned;

use super::{Field, ParseError, Value, YamlNode};
use crate::{Problem, file};

/// Sections of a file, in the order of the documentation.
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

/// Returns every error of the file `name`, whose tree is `root`.
#[must_use]
pub fn diagnose(name: &str, root: &YamlNode) -> Vec<Problem> {
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
    let parse: fn(&YamlNode) -> Result<(), ParseError> = match section.name.as_str() {
        "operators" => try_parse::<file::Operator>,
        "organisations" => try_parse::<file::Organisation>,
        "models" => try_parse::<file::Model>,
        "versions" => try_parse::<file::Version>,
        "targets" => try_parse::<file::Target>,
        "rollouts" => try_parse::<file::Rollout>,
        "services" => try_parse::<file::Service>,
        "backends" => try_parse::<file::Backend>,
        "limits" => try_parse::<f64>,
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
        for error in collect_errors(entry.node.clone(), parse) {
            let line = if error.line == 0 {
                entry.line
            } else {
                error.line
            };
            let path = std::iter::once(path.as_str())
                .chain(error.field.iter().map(String::as_str))
                .collect::<Vec<_>>()
                .join("/");
            problems.push(Problem::new(
                name,
                line,
                format!("{path}: {}", replace_type_names(&error.message)),
            ));
        }
    }
}

/// Parses a node as `T` and drops the value.
fn try_parse<T: DeserializeOwned>(node: &YamlNode) -> Result<(), ParseError> {
    T::deserialize(node).map(|_| ())
}

/// Parses an entry repeatedly and returns the errors of all its fields.
///
/// A field with an error gets a value that parses, so that the next run reaches
/// the next field. A field for which no value parses is removed.
fn collect_errors(
    mut node: YamlNode,
    parse: fn(&YamlNode) -> Result<(), ParseError>,
) -> Vec<ParseError> {
    let mut found = Vec::new();
    let mut removed: Vec<String> = Vec::new();
    while let Err(error) = parse(&node) {
        let is_missing = removed
            .iter()
            .any(|name| error.message == format!("missing field `{name}`"));
        if is_missing {
            return found;
        }
        let name = error.field.first().cloned();
        found.push(error);
        let Some(name) = name else {
            return found;
        };
        if !substitute_valid_value(&mut node, &name, parse) {
            if let Value::Mapping(fields) = &mut node.value {
                fields.retain(|field| field.name != name);
            }
            removed.push(name);
        }
    }
    found
}

/// Gives a field a value that parses and returns whether one was found.
fn substitute_valid_value(
    node: &mut YamlNode,
    name: &str,
    parse: fn(&YamlNode) -> Result<(), ParseError>,
) -> bool {
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
        let is_valid = match parse(node) {
            Ok(()) => true,
            Err(error) => error.field.first().map(String::as_str) != Some(name),
        };
        if is_valid {
            return true;
        }
    }
    false
}

/// Replaces names of Rust types, which mean nothing to an operator, by plain
/// descriptions.
fn replace_type_names(message: &str) -> String {
    const TYPE_NAMES: [(&str, &str); 7] = [
        ("expected u8", "expected a whole number, 0 to 255"),
        ("expected u32", "expected a whole number of 0 or more"),
        ("expected u64", "expected a whole number of 0 or more"),
        ("expected usize", "expected a whole number of 0 or more"),
        ("expected f64", "expected a number"),
        ("expected a boolean", "expected true or false"),
        ("expected a sequence", "expected a list such as [a, b]"),
    ];
    let mut message = message.to_owned();
    for (old, new) in TYPE_NAMES {
        if message.ends_with(old) {
            message = message.replace(old, new);
        }
    }
    message
}
