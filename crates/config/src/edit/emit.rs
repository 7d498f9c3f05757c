//! Writes values as YAML text.

use serde_json::{Map, Value as Json};

/// Words that a YAML parser reads as a boolean or as null instead of as text.
const RESERVED_WORDS: [&str; 9] = ["true", "false", "null", "yes", "no", "on", "off", "y", "n"];

/// Returns the lines of an entry: its name, then one line for each field.
pub fn entry(indent: &str, name: &str, fields: &Map<String, Json>) -> Vec<String> {
    let name = scalar(name);
    if fields.is_empty() {
        return vec![format!("{indent}{name}: {{}}")];
    }
    let mut lines = vec![format!("{indent}{name}:")];
    for (field, value) in fields {
        lines.push(format!("{indent}  {}: {}", scalar(field), flow(value)));
    }
    lines
}

/// Returns a value on one line, in flow style.
pub fn flow(value: &Json) -> String {
    match value {
        Json::String(text) => scalar(text),
        Json::Array(items) => {
            let items: Vec<_> = items.iter().map(flow).collect();
            format!("[{}]", items.join(", "))
        }
        Json::Object(fields) => {
            let fields: Vec<_> = fields
                .iter()
                .map(|(name, value)| format!("{}: {}", scalar(name), flow(value)))
                .collect();
            format!("{{{}}}", fields.join(", "))
        }
        other => other.to_string(),
    }
}

/// Returns `text` unquoted where YAML reads it as the same text, otherwise in
/// double quotes.
fn scalar(text: &str) -> String {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.@".contains(&byte);
    let is_reserved = RESERVED_WORDS.contains(&text.to_ascii_lowercase().as_str());
    let starts_with_letter = text.starts_with(|first: char| first.is_ascii_alphabetic());
    if starts_with_letter && !is_reserved && text.bytes().all(is_plain) {
        text.to_owned()
    } else {
        Json::from(text).to_string()
    }
}
