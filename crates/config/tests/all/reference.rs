//! `docs/CONFIGURATION.md` lists exactly the fields of the types, with their
//! defaults.

use std::collections::BTreeMap;

use fescuerack_config::tree::diagnose::SECTIONS;
use fescuerack_config::{file, limits};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

const PAGE: &str = include_str!("../../../../docs/CONFIGURATION.md");
const REQUIRED: &str = "required";

/// Returns the default of each field that the page lists for a section.
fn documented(section: &str) -> BTreeMap<String, String> {
    let heading = format!("\n## {section}\n");
    let (_, text) = PAGE
        .split_once(&heading)
        .expect("the section has a heading");
    let text = text.split("\n## ").next().unwrap_or(text);
    let rows = text.lines().filter(|line| line.starts_with("| `"));
    rows.map(|row| {
        let cells: Vec<_> = row.split(" | ").collect();
        assert_eq!(cells.len(), 4, "{row}");
        let name = cells[0].trim_start_matches("| ").trim_matches('`');
        (name.to_owned(), cells[2].trim_matches('`').to_owned())
    })
    .collect()
}

/// Returns the default of each field of a type. `required` contains the fields
/// without which an entry is refused.
fn fields<T: Serialize + DeserializeOwned>(required: &Value) -> BTreeMap<String, String> {
    let required = required.as_object().expect("an object").clone();
    for name in required.keys() {
        let mut without = required.clone();
        without.remove(name);
        let parsed = serde_json::from_value::<T>(Value::Object(without));
        assert!(parsed.is_err(), "{name} is not required");
    }
    let entry: T = serde_json::from_value(Value::Object(required.clone())).expect("an entry");
    let Ok(Value::Object(all)) = serde_json::to_value(&entry) else {
        panic!("an entry is an object");
    };
    let default = |(name, value): (String, Value)| {
        let default = if required.contains_key(&name) {
            REQUIRED.to_owned()
        } else {
            value.to_string().replace(',', ", ")
        };
        (name, default)
    };
    all.into_iter().map(default).collect()
}

#[test]
fn page_lists_the_fields_of_every_section() {
    use serde_json::json;
    let types = [
        ("operators", fields::<file::Operator>(&json!({}))),
        ("organisations", fields::<file::Organisation>(&json!({}))),
        ("models", fields::<file::Model>(&json!({}))),
        (
            "versions",
            fields::<file::Version>(&json!({"cost_input": 1, "cost_output": 1})),
        ),
        (
            "targets",
            fields::<file::Target>(&json!({"quality": 0.5, "models": []})),
        ),
        (
            "rollouts",
            fields::<file::Rollout>(&json!({"current": "m@1"})),
        ),
        (
            "services",
            fields::<file::Service>(&json!({"backend": "b"})),
        ),
        (
            "backends",
            fields::<file::Backend>(&json!({"kind": "engine"})),
        ),
    ];
    for (section, fields) in &types {
        assert_eq!(&documented(section), fields, "section {section}");
    }
}

#[test]
fn page_lists_every_section() {
    let file = serde_json::to_value(file::File::default()).expect("a file");
    let known: Vec<_> = file.as_object().expect("an object").keys().collect();
    let mut sections = SECTIONS.to_vec();
    sections.sort_unstable();
    assert_eq!(known, sections);
    for section in SECTIONS {
        assert!(PAGE.contains(&format!("\n## {section}\n")), "{section}");
    }
}

#[test]
fn page_lists_every_limit() {
    let (_, text) = PAGE.split_once("\n## limits\n").expect("a heading");
    let rows: Vec<_> = text
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let expected: Vec<_> = limits::LIMITS
        .iter()
        .map(|limit| {
            format!(
                "| `{}` | {} | {} | {} | {} |",
                limit.name, limit.min, limit.max, limit.default, limit.description
            )
        })
        .collect();
    assert_eq!(rows, expected);
}
