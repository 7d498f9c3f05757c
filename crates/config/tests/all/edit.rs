//! Edits change the requested entry and nothing else.

use fescuerack_config::edit::{Refusal, put_entry, set_field};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;
use serde_json::{Value, json};

const TEXT: &str = "\
# Owner: model team.
rollouts:
  # The small one.
  mini:
    current: mini@1   # since May
    stages: [0.1,
      0.5]
    stage: 1
  # The large one.
  max: {current: max@1, stage: 0}

models:
  mini: {}
";

#[rstest]
#[case::scalar("mini", "stage", Some(json!(2)), "    stage: 1\n", "    stage: 2\n")]
#[case::comment_kept("mini", "current", Some(json!("mini@2")), "mini@1   # since May", "mini@2   # since May")]
#[case::list("mini", "stages", Some(json!([0.2, 1.0])), "    stages: [0.1,\n      0.5]\n", "    stages: [0.2, 1.0]\n")]
#[case::added("mini", "candidate", Some(json!("mini@3")), "    stage: 1\n", "    stage: 1\n    candidate: mini@3\n")]
#[case::removed("mini", "stage", None, "    stage: 1\n", "")]
#[case::flow_scalar("max", "stage", Some(json!(3)), "stage: 0}", "stage: 3}")]
#[case::flow_added("max", "paused", Some(json!(true)), "  max: {current: max@1, stage: 0}\n", "  max:\n    current: max@1\n    paused: true\n    stage: 0\n")]
fn set_field_changes_its_lines_only(
    #[case] name: &str,
    #[case] field: &str,
    #[case] value: Option<Value>,
    #[case] old: &str,
    #[case] new: &str,
) {
    let changed = set_field(TEXT, "rollouts", name, field, value.as_ref()).expect("an edit");
    assert_eq!(changed, TEXT.replacen(old, new, 1));
}

#[test]
fn set_field_missing_entry_is_refused() {
    let refusal = set_field(TEXT, "rollouts", "midi", "stage", Some(&json!(1)));
    assert_eq!(refusal, Err(Refusal::Missing("rollouts/midi".to_owned())));
}

#[test]
fn put_entry_adds_after_the_last_entry_and_removes() {
    let entry = json!({"note": "a: b"});
    let added = put_entry(TEXT, "models", "new", entry.as_object()).expect("an edit");
    assert_eq!(added, format!("{TEXT}  new:\n    note: \"a: b\"\n"));
    let removed = put_entry(&added, "models", "new", None).expect("an edit");
    assert_eq!(removed, TEXT);
    let missing = put_entry(TEXT, "limits", "x", None);
    assert_eq!(missing, Err(Refusal::Missing("limits/x".to_owned())));
}

#[test]
fn put_entry_rewrites_a_section_of_one_line() {
    let entry = json!({"note": "plain"});
    let changed = put_entry("models: {a: {}}\n", "models", "b", entry.as_object());
    assert_eq!(
        changed.expect("an edit"),
        "models:\n  a: {}\n  b:\n    note: plain\n"
    );
}

proptest! {
    #![proptest_config(Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })]

    // Text that YAML could read as another type, or as syntax, must read back
    // unchanged, or the edit must be refused.
    #[test]
    fn set_field_any_text_reads_back(text in "\\PC{0,12}") {
        let value = json!(text);
        if let Ok(changed) = set_field(TEXT, "rollouts", "mini", "current", Some(&value)) {
            let root = fescuerack_config::tree::YamlNode::new(&changed).expect("valid");
            let entry = &root.field("rollouts").expect("kept").node;
            let entry = &entry.field("mini").expect("kept").node;
            let read = &entry.field("current").expect("kept").node.value;
            prop_assert_eq!(read, &fescuerack_config::tree::Value::Text(text));
        }
    }
}
