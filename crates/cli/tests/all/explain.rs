//! `fescuerack explain` on lines that three instances wrote on a played day.

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

/// A caller complains with nothing but an identifier. The story must name what decided
/// the outcome: docs/OPERATIONS.md follows the first three, docs/operations/cold-servers.md the last.
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
#[case::barred(
    "5b1f3a90c7d2e844",
    "outcome: not-run",
    "cold=1 elsewhere=0 evacuated=4",
    "zone-evacuated"
)]
fn explain_names_what_decided(
    #[case] id: &str,
    #[case] outcome: &str,
    #[case] decided: &str,
    #[case] meanwhile: &str,
) {
    let output = explain(id);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("text");
    let (story, end) = text.split_once("\noutcome: ").expect("an outcome");
    assert!(format!("outcome: {end}").starts_with(outcome), "{end}");
    assert!(end.contains(decided), "{end}");
    assert!(story.contains(meanwhile), "{story}");
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
