//! Compares the documented list of metrics with the code.

use std::collections::BTreeSet;
use std::path::Path;

/// Calls that record a metric.
const RECORDING_CALLS: [&str; 2] = [".count(", ".time("];
/// Prefix of metric names that do not stand in the call that counts them.
const ERROR_PREFIX: &str = "errors.";

fn read_sources(path: &Path, texts: &mut Vec<String>) {
    for entry in std::fs::read_dir(path).expect("a directory") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            read_sources(&path, texts);
        } else {
            texts.push(std::fs::read_to_string(&path).expect("a source file"));
        }
    }
}

/// Returns the string literals of a piece of code that look like metric names.
fn names(code: &str) -> impl Iterator<Item = &str> {
    let inside = code.split('"').skip(1).step_by(2);
    inside.filter(|literal| {
        let is_allowed =
            |letter: char| letter.is_ascii_lowercase() || "._0123456789".contains(letter);
        literal.contains('.') && literal.chars().all(is_allowed)
    })
}

/// Returns the arguments of a call from the code after its opening bracket.
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

/// Returns the metric names in the sources of the crate.
fn recorded() -> BTreeSet<String> {
    let mut texts = Vec::new();
    read_sources(
        &Path::new(env!("CARGO_MANIFEST_DIR")).join("src"),
        &mut texts,
    );
    let mut found = BTreeSet::new();
    for text in &texts {
        for call in RECORDING_CALLS {
            for rest in text.split(call).skip(1) {
                found.extend(names(arguments(rest)).map(str::to_owned));
            }
        }
        let errors = text.lines().flat_map(names);
        found.extend(
            errors
                .filter(|name| name.starts_with(ERROR_PREFIX))
                .map(str::to_owned),
        );
    }
    found
}

/// Returns the metric names in the page.
fn documented() -> BTreeSet<String> {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/METRICS.md");
    let page = std::fs::read_to_string(page).expect("the page");
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `"));
    let rows = rows.filter_map(|row| row.split_once('`'));
    rows.map(|(name, _)| name.to_owned()).collect()
}

#[test]
fn metrics_are_documented() {
    let recorded = recorded();
    let documented = documented();
    let missing: Vec<_> = recorded.difference(&documented).collect();
    assert!(
        missing.is_empty(),
        "add rows to docs/METRICS.md for {missing:?}"
    );
    let obsolete: Vec<_> = documented.difference(&recorded).collect();
    assert!(
        obsolete.is_empty(),
        "remove the rows of {obsolete:?} from docs/METRICS.md"
    );
    assert!(recorded.len() > 50, "too few names found: {recorded:?}");
}
