//! Checks that the modules, items, tests and files that the documentation names
//! in backticks exist in the code.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

use super::pages::{ROOT, pages};

/// Crates by the first segment of a module path, with their folders.
const CRATES: [(&str, &str); 10] = [
    ("cli", "crates/cli"),
    ("client", "crates/client"),
    ("config", "crates/config"),
    ("core", "crates/core"),
    ("gateway", "crates/gateway"),
    ("node", "crates/node"),
    ("platform", "platform"),
    ("replay", "crates/replay"),
    ("standin", "crates/standin"),
    ("wire", "crates/wire"),
];
/// First segments of the file paths that are checked.
const FOLDERS: [&str; 6] = [
    "crates", "deploy", "docs", "examples", "journal", "platform",
];
/// Keywords that are followed by the name of an item.
const KEYWORDS: [&str; 8] = [
    "const", "enum", "fn", "mod", "static", "struct", "trait", "type",
];
/// Underscores from which on a lower-case name is taken to be one of the code's.
const MIN_UNDERSCORES: usize = 3;

fn is_word(letter: char) -> bool {
    letter.is_ascii_alphanumeric() || letter == '_'
}

fn is_rust(path: &Path) -> bool {
    path.extension().is_some_and(|extension| extension == "rs")
}

/// A source file.
struct Source {
    /// All words, also those of comments and texts.
    words: BTreeSet<String>,
    /// Names of the items, fields and variants that it defines.
    names: BTreeSet<String>,
}

impl Source {
    fn new(text: &str) -> Self {
        let words = text.split(|letter| !is_word(letter));
        let lines = text.lines().map(str::trim);
        let code = lines.filter(|line| !line.starts_with("//"));
        Self {
            words: words.map(str::to_owned).collect(),
            names: code.flat_map(names).collect(),
        }
    }

    /// Returns whether it defines a name. A `*` at the end stands for any letters.
    fn defines(&self, name: &str) -> bool {
        match name.strip_suffix('*') {
            Some(start) => self.names.iter().any(|name| name.starts_with(start)),
            None => self.names.contains(name),
        }
    }
}

/// Returns the names that a line of code defines.
fn names(line: &str) -> Vec<String> {
    let words: Vec<_> = line
        .split(|letter| !is_word(letter))
        .filter(|word| !word.is_empty())
        .collect();
    let items = words
        .windows(2)
        .filter(|pair| KEYWORDS.contains(&pair[0]))
        .map(|pair| pair[1].to_owned());
    let mut names: Vec<_> = items.collect();
    let line = line.strip_prefix("pub ").unwrap_or(line);
    let end = line.find(|letter| !is_word(letter)).unwrap_or(line.len());
    let (word, rest) = line.split_at(end);
    let is_field = rest.starts_with(": ");
    let is_variant = word.starts_with(|letter: char| letter.is_ascii_uppercase())
        && (rest.is_empty() || rest.starts_with([',', '(']) || rest.starts_with(" {"));
    if is_field || is_variant {
        names.push(word.to_owned());
    }
    names
}

/// Source files of all crates, by path relative to the root.
struct Sources(BTreeMap<PathBuf, Source>);

impl Sources {
    fn new() -> Self {
        let mut sources = BTreeMap::new();
        for (_, folder) in CRATES {
            for part in ["src", "tests", "benches"] {
                add_files(&Path::new(folder).join(part), &mut sources);
            }
        }
        Self(sources)
    }

    /// Returns the files of a module: one file, or all files of a folder.
    fn files<'a>(&'a self, module: &'a Path) -> impl Iterator<Item = &'a Source> {
        let files = self.0.iter();
        files
            .filter(move |(path, _)| path.starts_with(module))
            .map(|(_, source)| source)
    }

    /// Returns the folders of the files that define a name or lie in a module of that name.
    fn folders(&self, name: &str) -> BTreeSet<&Path> {
        let files = self.0.iter().filter(|(path, source)| {
            source.defines(name) || path.with_extension("").iter().any(|part| part == name)
        });
        files.filter_map(|(path, _)| path.parent()).collect()
    }

    /// Returns whether a path of modules and items from the crate at `folder` exists.
    fn has_module_path(&self, folder: &str, segments: &[&str]) -> bool {
        let mut module = Path::new(folder).join("src");
        let mut roots = vec![module.join("lib.rs"), module.join("main.rs")];
        let mut rest = segments;
        while let Some((segment, after)) = rest.split_first() {
            let file = module.join(format!("{segment}.rs"));
            let inner = module.join(segment);
            if self.0.contains_key(&file) {
                roots = vec![file.clone()];
                module = file;
            } else if self.files(&inner).next().is_some() {
                roots = vec![inner.join("mod.rs")];
                module = inner;
            } else {
                break;
            }
            rest = after;
        }
        // A module names its items in its own file: it defines or exports them there.
        let is_named = |item: &&str| {
            let mut sources = roots.iter().filter_map(|root| self.0.get(root));
            sources.any(|source| source.words.contains(*item))
        };
        rest.first().is_none_or(is_named)
            && rest
                .iter()
                .all(|item| self.files(&module).any(|source| source.defines(item)))
    }

    /// Returns whether the neighbours of a path without its crate are in one folder.
    fn has_short_path(&self, segments: &[&str]) -> bool {
        let folders: Vec<_> = segments.iter().map(|name| self.folders(name)).collect();
        folders.iter().all(|folders| !folders.is_empty())
            && folders
                .windows(2)
                .all(|pair| pair[0].intersection(&pair[1]).next().is_some())
    }

    fn has_path(&self, path: &str) -> bool {
        let segments: Vec<_> = path
            .split("::")
            .filter(|segment| !segment.is_empty() && *segment != "*")
            .collect();
        let Some((first, rest)) = segments.split_first() else {
            return true;
        };
        match CRATES.iter().find(|(name, _)| name == first) {
            Some((_, folder)) => self.has_module_path(folder, rest),
            None => self.has_short_path(&segments),
        }
    }

    /// Returns whether a file or folder exists. A path to a Rust file may omit its first folders.
    fn has_file(&self, path: &str) -> bool {
        if let Some((start, end)) = path.split_once('*') {
            let (folder, start) = start.rsplit_once('/').unwrap_or(("", start));
            let entries = std::fs::read_dir(Path::new(ROOT).join(folder));
            return entries.into_iter().flatten().flatten().any(|entry| {
                let name = entry.file_name().to_string_lossy().into_owned();
                name.starts_with(start) && name.ends_with(end)
            });
        }
        Path::new(ROOT).join(path).exists()
            || is_rust(Path::new(path)) && self.0.keys().any(|file| file.ends_with(path))
    }

    /// Returns the names in a code span that do not exist.
    fn missing(&self, span: &str) -> Vec<String> {
        let mut missing = Vec::new();
        for path in span.split(|letter| !is_word(letter) && !":*".contains(letter)) {
            if path.contains("::") && !self.has_path(path) {
                missing.push(path.to_owned());
            }
        }
        for path in span.split_whitespace() {
            let first = path.split_once('/').map(|(first, _)| first);
            let is_file = first.is_some_and(|first| FOLDERS.contains(&first))
                || is_rust(Path::new(path)) && !path.starts_with('*');
            if is_file && !path.contains('<') && !self.has_file(path) {
                missing.push(path.to_owned());
            }
        }
        let is_long = span.matches('_').count() >= MIN_UNDERSCORES;
        let is_name = span
            .chars()
            .all(|letter| is_word(letter) && !letter.is_ascii_uppercase());
        if is_long && is_name && !self.0.values().any(|source| source.words.contains(span)) {
            missing.push(span.to_owned());
        }
        missing
    }
}

fn add_files(folder: &Path, sources: &mut BTreeMap<PathBuf, Source>) {
    let entries = std::fs::read_dir(Path::new(ROOT).join(folder));
    for entry in entries.into_iter().flatten().flatten() {
        let path = folder.join(entry.file_name());
        if entry.path().is_dir() {
            add_files(&path, sources);
        } else if is_rust(&path) {
            let text = std::fs::read_to_string(entry.path()).expect("a source file");
            sources.insert(path, Source::new(&text));
        }
    }
}

/// Returns the code spans of a page. Blocks of code hold none.
fn spans(text: &str) -> Vec<String> {
    let mut paragraphs = vec![String::new()];
    let mut is_block = false;
    for line in text.lines() {
        let is_fence = line.trim_start().starts_with("```");
        is_block ^= is_fence;
        if is_fence || is_block || line.trim().is_empty() {
            paragraphs.push(String::new());
        } else if let Some(paragraph) = paragraphs.last_mut() {
            paragraph.push_str(line);
            paragraph.push(' ');
        }
    }
    let spans = paragraphs
        .iter()
        .flat_map(|paragraph| paragraph.split('`').skip(1).step_by(2));
    spans.map(str::to_owned).collect()
}

#[test]
fn names_in_all_pages_exist() {
    let sources = Sources::new();
    let mut missing = Vec::new();
    let mut count = 0;
    for page in pages()
        .iter()
        .filter(|page| !page.ends_with("CHANGELOG.md"))
    {
        let text = std::fs::read_to_string(page).expect("a page");
        for span in spans(&text) {
            count += 1;
            let names = sources.missing(&span);
            missing.extend(
                names
                    .iter()
                    .map(|name| format!("{}: {name}", page.display())),
            );
        }
    }
    assert!(count > 1_000, "only {count} code spans were found");
    assert!(missing.is_empty(), "{missing:#?}");
}

#[test]
fn missing_finds_names_that_do_not_exist() {
    let sources = Sources::new();
    for span in [
        "core::nowhere",
        "gateway::nowhere::Item",
        "core::gateway::load::nowhere",
        "core::nowhere::*",
        "Nowhere::new",
        "crates/core/src/nowhere",
        "crates/core/src/nowhere*.rs",
        "callers/nowhere.rs",
        "serve_name_of_no_test_at_all"
            .replace("_at", "_whatever")
            .as_str(),
    ] {
        assert_eq!(sources.missing(span), [span]);
    }
    for span in [
        "core::gateway::load",
        "config::File",
        "wire::header::OUTCOME",
        "client::Store::grant",
        "crates/core/tests/traces/*.json",
        "missing_finds_names_that_do_not_exist",
    ] {
        assert!(sources.missing(span).is_empty(), "{span}");
    }
}
