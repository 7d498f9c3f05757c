//! `fescuerack explain` on recorded log lines of instances.

use std::path::PathBuf;
use std::process::{Command, Output};

use rstest::rstest;

fn explain(id: &str) -> Output {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/all/explain");
    let mut files: Vec<PathBuf> = std::fs::read_dir(folder)
        .expect("the folder of recorded lines")
        .map(|entry| entry.expect("an entry").path())
        .collect();
    files.sort();
    Command::new(env!("CARGO_BIN_EXE_fescuerack"))
        .arg("explain")
        .arg(id)
        .args(files)
        .output()
        .expect("run fescuerack")
}

/// Only the identifier of a request is known. The timeline must name the line that decided
/// its outcome. docs/OPERATIONS.md uses the first three cases, docs/operations/cold-servers.md
/// the last.
#[rstest]
#[case::refused("e6a4342eb86398a7", "outcome: not-ready", "request", "start callers=")]
#[case::unknown(
    "1de281c765a0ba8e",
    "outcome: unknown",
    "outcome=silent",
    "server-left-out"
)]
#[case::late(
    "ec0f4d7f5652b659",
    "outcome: late",
    "server=i-bcb5e9ce98",
    "store-lost"
)]
#[case::excluded(
    "5b1f3a90c7d2e844",
    "outcome: not-run",
    "cold=1 elsewhere=0 evacuated=4",
    "zone-evacuated"
)]
fn explain_names_what_decided(
    #[case] id: &str,
    #[case] outcome: &str,
    #[case] decisive: &str,
    #[case] context: &str,
) {
    let output = explain(id);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("text");
    let (timeline, outcome_text) = text.split_once("\noutcome: ").expect("an outcome");
    assert!(
        format!("outcome: {outcome_text}").starts_with(outcome),
        "{outcome_text}"
    );
    assert!(outcome_text.contains(decisive), "{outcome_text}");
    assert!(timeline.contains(context), "{timeline}");
}

#[test]
fn explain_unknown_identifier_fails() {
    let output = explain("0000");
    assert!(!output.status.success());
    let text = String::from_utf8(output.stderr).expect("text");
    assert!(
        text.contains("no line speaks of the request 0000"),
        "{text}"
    );
}
