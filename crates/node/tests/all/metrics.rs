//! The documented list of metrics against the code.

use std::collections::BTreeSet;
use std::path::Path;

/// What a metric is counted or timed by.
const CALLS: [&str; 2] = [".count(", ".time("];
/// Prefix of names that are chosen apart from the call that counts them.
const ERRORS: &str = "errors.";

fn read(path: &Path, texts: &mut Vec<String>) {
    for entry in std::fs::read_dir(path).expect("a directory") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            read(&path, texts);
        } else {
            texts.push(std::fs::read_to_string(&path).expect("a source file"));
        }
    }
}

/// Returns the literals of a piece of code that look like names of metrics.
fn names(code: &str) -> impl Iterator<Item = &str> {
    let inside = code.split('"').skip(1).step_by(2);
    inside.filter(|literal| {
        let plain = |letter: char| letter.is_ascii_lowercase() || "._0123456789".contains(letter);
        literal.contains('.') && literal.chars().all(plain)
    })
}

/// Returns the arguments of a call whose opening bracket has been passed.
fn arguments(code: &str) -> &str {
    let mut depth = 1;
    for (at, letter) in code.char_indices() {
        depth += i32::from(letter == '(') - i32::from(letter == ')');
        if depth == 0 {
            return &code[..at];
        }
    }
    code
}

fn counted() -> BTreeSet<String> {
    let mut texts = Vec::new();
    read(
        &Path::new(env!("CARGO_MANIFEST_DIR")).join("src"),
        &mut texts,
    );
    let mut found = BTreeSet::new();
    for text in &texts {
        for call in CALLS {
            for rest in text.split(call).skip(1) {
                found.extend(names(arguments(rest)).map(str::to_owned));
            }
        }
        let errors = text.lines().flat_map(names);
        found.extend(
            errors
                .filter(|name| name.starts_with(ERRORS))
                .map(str::to_owned),
        );
    }
    found
}

fn documented() -> BTreeSet<String> {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/METRICS.md");
    let page = std::fs::read_to_string(page).expect("the page");
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `"));
    let rows = rows.filter_map(|row| row.split_once('`'));
    rows.map(|(name, _)| name.to_owned()).collect()
}

#[test]
fn metrics_are_documented() {
    let counted = counted();
    let documented = documented();
    let missing: Vec<_> = counted.difference(&documented).collect();
    assert!(
        missing.is_empty(),
        "add rows to docs/METRICS.md for {missing:?}"
    );
    let gone: Vec<_> = documented.difference(&counted).collect();
    assert!(
        gone.is_empty(),
        "take the rows of {gone:?} out of docs/METRICS.md"
    );
    assert!(counted.len() > 50, "the search finds names: {counted:?}");
}
