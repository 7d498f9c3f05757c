//! An operator may change only what lies within its scope.

use fescuerack_config::permission::{Scope, Snapshot, check};
use fescuerack_config::{Folder, Merged, Operator};
use rstest::rstest;

const BEFORE: [(&str, &str); 2] = [
    ("a.yaml", "organisations:\n  one: {}\n  two: {}\n"),
    ("b.yaml", "operators:\n  o: {}\n"),
];

fn folder(files: &[(&str, &str)]) -> Folder {
    files.iter().fold(Folder::new(), |folder, (name, text)| {
        folder.with_file(name, (*text).to_owned())
    })
}

#[rstest]
#[case::own_entry("a.yaml", "organisations:\n  one: {weight: 2}\n  two: {}\n", &[])]
#[case::comment("a.yaml", "organisations:\n  one: {}\n  two: {} # second\n", &[])]
#[case::entry_of_others("a.yaml", "organisations:\n  one: {}\n  two: {weight: 2}\n", &["a.yaml:3: organisations/two"])]
#[case::removed_entry("a.yaml", "organisations:\n  one: {}\n", &["a.yaml:3: organisations/two"])]
#[case::file_of_others("b.yaml", "operators:\n  o: {}\n#\n", &["b.yaml:0: operator team may not change this file"])]
#[case::new_file("c.yaml", "", &["c.yaml:0: operator team may not change this file"])]
#[case::grant("a.yaml", "organisations: {one: {}, two: {}}\noperators:\n  evil: {admin: true}\n", &["a.yaml:3: operators/evil: only an operator with `admin: true`"])]
fn check_names_what_is_outside_the_scope(
    #[case] file: &str,
    #[case] text: &str,
    #[case] expected: &[&str],
) {
    let operator = Operator {
        name: "team".to_owned(),
        files: Scope::new(&["a.yaml".to_owned()]),
        organisations: Scope::new(&["one".to_owned()]),
        admin: false,
    };
    let before = folder(&BEFORE);
    let after = before.clone().with_file(file, text.to_owned());
    let merged = [&before, &after].map(|folder| Merged::new(folder).expect("no problems"));
    let snapshot = |folder, merged| Snapshot { folder, merged };
    let result = check(
        &operator,
        snapshot(&before, &merged[0]),
        snapshot(&after, &merged[1]),
    );
    let found = result.err().unwrap_or_default();
    assert_eq!(found.len(), expected.len(), "{found:?}");
    for (problem, start) in found.iter().zip(expected) {
        assert!(problem.to_string().starts_with(start), "{problem}");
    }
}
