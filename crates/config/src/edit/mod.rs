//! Changes single fields and entries in the text of a file.
//!
//! Parsing a file and writing it again would lose its comments and its order,
//! and the team that owns the file would no longer recognise it. These
//! functions replace only the lines of one field or one entry, or of the whole
//! section if it is on one line, is empty or becomes empty. Each result is
//! parsed again and compared with the requested content, so that an unsupported
//! layout gives an error and never a wrong file.

mod emit;
mod lines;

use serde_json::{Map, Value as Json};

use crate::tree::{Field, Value, YamlNode};
use lines::Lines;

/// Reason why a text was not changed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The text is not a valid file: line and message.
    #[error("line {0}: {1}")]
    Malformed(usize, String),
    /// The entry does not exist.
    #[error("there is no entry {0}")]
    Missing(String),
    /// The layout of the text cannot be changed safely.
    #[error("the layout of {0} cannot be changed by a program; change the file by hand")]
    Layout(String),
}

/// Sets one field of an entry, or removes it when `value` is `None`. Rewrites the
/// whole entry if the field cannot be changed alone.
///
/// # Errors
///
/// If the text is malformed, the entry is missing or the layout is not supported.
pub fn set_field(
    text: &str,
    section: &str,
    name: &str,
    field: &str,
    value: Option<&Json>,
) -> Result<String, Refusal> {
    let root = parse(text)?;
    let path = format!("{section}/{name}");
    let entry = entry(&root, section, name).ok_or_else(|| Refusal::Missing(path.clone()))?;
    let mut desired = match to_json(&entry.node) {
        Json::Object(fields) => fields,
        Json::Null => Map::new(),
        _ => return Err(Refusal::Layout(path)),
    };
    match value {
        Some(value) => desired.insert(field.to_owned(), value.clone()),
        None => desired.remove(field),
    };
    let changed = change_field(text, entry, field, value)
        .filter(|changed| is_only_change(changed, &root, section, name, Some(&desired)));
    match changed {
        Some(changed) => Ok(changed),
        None => put_entry(text, section, name, Some(&desired)),
    }
}

/// Adds or replaces an entry, or removes it when `desired` is `None`.
///
/// # Errors
///
/// If the text is malformed, the entry to remove is missing or the layout is not supported.
pub fn put_entry(
    text: &str,
    section: &str,
    name: &str,
    desired: Option<&Map<String, Json>>,
) -> Result<String, Refusal> {
    let root = parse(text)?;
    if desired.is_none() && entry(&root, section, name).is_none() {
        return Err(Refusal::Missing(format!("{section}/{name}")));
    }
    let changed = change_entry(text, &root, section, name, desired);
    if is_only_change(&changed, &root, section, name, desired) {
        Ok(changed)
    } else {
        Err(Refusal::Layout(format!("{section}/{name}")))
    }
}

fn parse(text: &str) -> Result<YamlNode, Refusal> {
    YamlNode::new(text).map_err(|error| Refusal::Malformed(error.line, error.message))
}

fn entry<'a>(root: &'a YamlNode, section: &str, name: &str) -> Option<&'a Field> {
    root.field(section)?.node.field(name)
}

/// Returns the text with one field changed, or `None` if the value cannot be
/// replaced in place and the entry does not have a line for each field.
fn change_field(text: &str, entry: &Field, field: &str, value: Option<&Json>) -> Option<String> {
    let fields = entry.node.fields();
    let found = fields.iter().position(|existing| existing.name == field);
    if let (Some(at), Some(value)) = (found, value) {
        let bytes = fields[at].node.bytes.clone();
        if !bytes.is_empty() && !value.is_array() && !value.is_object() {
            let mut changed = text.to_owned();
            changed.get(bytes.clone())?;
            changed.replace_range(bytes, &emit::flow(value));
            return Some(changed);
        }
    }
    let mut lines = Lines::new(text);
    let has_line_per_field = fields.first().is_some_and(|first| first.line > entry.line);
    if !has_line_per_field {
        return None;
    }
    let indent = lines.indent(fields[0].line);
    let line = value.map(|value| format!("{indent}{field}: {}", emit::flow(value)));
    let new = line.as_slice();
    let range = if let Some(at) = found {
        lines.block(fields[at].line)
    } else {
        let end = lines.block(entry.line).end;
        end..end
    };
    lines.replace(range, new);
    Some(lines.join())
}

/// Returns the text with one entry added, replaced or removed.
fn change_entry(
    text: &str,
    root: &YamlNode,
    section: &str,
    name: &str,
    desired: Option<&Map<String, Json>>,
) -> String {
    let mut lines = Lines::new(text);
    let Some(section_field) = root.field(section) else {
        let mut new = vec![format!("{section}:")];
        new.extend(
            desired
                .map(|desired| emit::entry("  ", name, desired))
                .unwrap_or_default(),
        );
        let end = lines.end();
        lines.replace(end..end, &new);
        return lines.join();
    };
    let entries = section_field.node.fields();
    let existing = entries.iter().find(|entry| entry.name == name);
    let first = entries
        .first()
        .filter(|first| first.line > section_field.line);
    let Some(first) = first else {
        // The whole section is on one line, or is empty: rewrite it.
        let new = rewrite_section(section_field, section, name, desired);
        let range = lines.block(section_field.line);
        lines.replace(range, &new);
        return lines.join();
    };
    let indent = lines.indent(first.line);
    let mut new = desired
        .map(|desired| emit::entry(&indent, name, desired))
        .unwrap_or_default();
    let mut range = if let Some(existing) = existing {
        lines.block(existing.line)
    } else {
        let end = lines.block(section_field.line).end;
        end..end
    };
    if desired.is_none() && entries.len() == 1 {
        new = vec![format!("{section}: {{}}")];
        range = lines.block(section_field.line);
    }
    lines.replace(range, &new);
    lines.join()
}

/// Returns the lines of a section with one entry added, replaced or removed.
fn rewrite_section(
    section_field: &Field,
    section: &str,
    name: &str,
    desired: Option<&Map<String, Json>>,
) -> Vec<String> {
    let mut all = match to_json(&section_field.node) {
        Json::Object(entries) => entries,
        _ => Map::new(),
    };
    match desired {
        Some(desired) => all.insert(name.to_owned(), Json::Object(desired.clone())),
        None => all.remove(name),
    };
    if all.is_empty() {
        return vec![format!("{section}: {{}}")];
    }
    let mut lines = vec![format!("{section}:")];
    for (name, entry) in &all {
        let fields = entry.as_object().cloned().unwrap_or_default();
        lines.extend(emit::entry("  ", name, &fields));
    }
    lines
}

/// Returns whether `changed` differs from `before` only in this entry, whose
/// content is `desired`.
fn is_only_change(
    changed: &str,
    before: &YamlNode,
    section: &str,
    name: &str,
    desired: Option<&Map<String, Json>>,
) -> bool {
    let Ok(after) = YamlNode::new(changed) else {
        return false;
    };
    let mut expected = match to_json(before) {
        Json::Object(sections) => sections,
        _ => Map::new(),
    };
    let entries = expected
        .entry(section)
        .or_insert_with(|| Json::Object(Map::new()));
    if entries.is_null() {
        *entries = Json::Object(Map::new());
    }
    let Some(entries) = entries.as_object_mut() else {
        return false;
    };
    match desired {
        Some(desired) => entries.insert(name.to_owned(), Json::Object(desired.clone())),
        None => entries.remove(name),
    };
    to_json(&after) == Json::Object(expected)
}

/// Returns the value of a node, without positions.
fn to_json(node: &YamlNode) -> Json {
    match &node.value {
        Value::Null => Json::Null,
        Value::Bool(value) => Json::from(*value),
        Value::Unsigned(value) => Json::from(*value),
        Value::Signed(value) => Json::from(*value),
        Value::Float(value) => Json::from(*value),
        Value::Text(value) => Json::from(value.as_str()),
        Value::Sequence(items) => items.iter().map(to_json).collect(),
        Value::Mapping(fields) => fields
            .iter()
            .map(|field| (field.name.clone(), to_json(&field.node)))
            .collect::<Map<_, _>>()
            .into(),
    }
}
