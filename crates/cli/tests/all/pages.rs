//! Runs the commands in the documentation and compares their output with it.
//!
//! Each page is run from top to bottom in one shell against a new demo. Blocks
//! marked `sh` are run. A `text` block right after one lists lines that its
//! output must contain in this order, where `...` matches anything. `# exit N`
//! in a `sh` block gives its exit code; the default is 0.

use std::fmt::Write as _;
use std::path::Path;
use std::process::{Command, Stdio};

use rstest::rstest;

use super::support::{BINARY, Demo};

pub const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
/// Printed by the shell after each block, with its exit code.
const MARK: &str = "==== block ended with ";

struct Block {
    line: usize,
    commands: String,
    exit: i32,
    expected: Vec<String>,
}

/// Returns the `sh` blocks of a page, each with the lines expected of it.
fn blocks(text: &str) -> Vec<Block> {
    let mut blocks: Vec<Block> = Vec::new();
    let mut lines = text.lines().enumerate();
    while let Some((number, line)) = lines.next() {
        let Some(kind) = line.strip_prefix("```") else {
            continue;
        };
        let body: Vec<String> = lines
            .by_ref()
            .map(|(_, line)| line)
            .take_while(|line| !line.starts_with("```"))
            .map(str::to_owned)
            .collect();
        match kind {
            "sh" => {
                let exit = body.iter().find_map(|line| line.strip_prefix("# exit "));
                blocks.push(Block {
                    line: number + 1,
                    exit: exit.map_or(0, |code| code.parse().expect("an exit code")),
                    commands: body.join("\n"),
                    expected: Vec::new(),
                });
            }
            "text" => {
                let block = blocks.last_mut().expect("text follows sh");
                block.expected.extend(body);
            }
            _ => {}
        }
    }
    blocks
}

/// Returns the first line of `expected` that is missing in `output`, in order.
fn missing<'a>(output: &str, expected: &'a [String]) -> Option<&'a str> {
    let mut rest = output;
    for line in expected {
        for part in line
            .split("...")
            .map(str::trim)
            .filter(|part| !part.is_empty())
        {
            match rest.find(part) {
                Some(at) => rest = &rest[at + part.len()..],
                None => return Some(line),
            }
        }
    }
    None
}

#[rstest]
#[case::readme("README.md")]
#[case::tokens("docs/operations/tokens.md")]
#[case::upgrade("docs/operations/upgrade.md")]
#[case::zone_lost("docs/operations/zone-lost.md")]
#[case::reading_a_dump("docs/operations/reading-a-dump.md")]
fn page_commands_do_what_it_says(#[case] page: &str) {
    let demo = Demo::new();
    let text = std::fs::read_to_string(Path::new(ROOT).join(page)).expect("the page");
    let blocks = blocks(&text);
    assert!(!blocks.is_empty(), "{page} holds no commands");
    let mut script = format!("exec 2>&1\n. {}\n", demo.variables.display());
    for block in &blocks {
        let Block { commands, .. } = block;
        writeln!(script, "{commands}\necho \"{MARK}$?\"").expect("text grows");
    }
    let folder = Path::new(BINARY).parent().expect("a folder");
    let path = std::env::var("PATH").unwrap_or_default();
    let output = Command::new("bash")
        .args(["-c", &script])
        .current_dir(demo.folder.path())
        .env("PATH", format!("{}:{path}", folder.display()))
        .stdin(Stdio::null())
        .output()
        .expect("bash runs");
    let output = String::from_utf8_lossy(&output.stdout).into_owned();
    let mut parts = output.split(MARK);
    for block in &blocks {
        let shown = parts.next().unwrap_or_default();
        let at = format!("{page}:{}", block.line);
        // The exit code is at the start of the next part.
        let ended = parts.clone().next().and_then(|part| part.lines().next());
        assert_eq!(
            ended,
            Some(block.exit.to_string().as_str()),
            "{at}\n{shown}"
        );
        let missing = missing(shown, &block.expected);
        assert_eq!(missing, None, "{at} printed\n{shown}");
    }
}

#[test]
fn missing_finds_what_is_out_of_order() {
    let expected = ["a...c".to_owned(), "b".to_owned()];
    assert_eq!(missing("a x c\nb", &expected), None);
    assert_eq!(missing("b\na x c", &expected), Some("b"));
}

/// Returns the Markdown pages of the repository.
pub fn pages() -> Vec<std::path::PathBuf> {
    let folders = [
        "",
        "docs",
        "docs/design",
        "docs/incidents",
        "docs/operations",
        "examples",
    ];
    let entries = folders.iter().flat_map(|folder| {
        let folder = Path::new(ROOT).join(folder);
        std::fs::read_dir(folder).into_iter().flatten().flatten()
    });
    let paths = entries.map(|entry| entry.path());
    let mut pages: Vec<_> = paths
        .filter(|path| path.extension().is_some_and(|extension| extension == "md"))
        .collect();
    pages.sort();
    pages
}

#[test]
fn links_of_all_pages_lead_somewhere() {
    let mut broken = Vec::new();
    for page in pages() {
        let text = std::fs::read_to_string(&page).expect("a page");
        let folder = page.parent().expect("a folder");
        for link in text.split("](").skip(1) {
            let link = link.split(')').next().unwrap_or_default();
            let path = link.split('#').next().unwrap_or_default();
            let inside = !path.is_empty() && !path.contains("://");
            if inside && !folder.join(path).exists() {
                broken.push(format!("{}: {link}", page.display()));
            }
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}
