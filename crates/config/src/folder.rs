//! The configuration folder: a set of files, read from disk or from a manifest.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;

use bytes::Bytes;
use sha2::{Digest as _, Sha256};

/// Files by name, merged in the order of their names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Folder {
    /// Content by file name.
    pub files: BTreeMap<String, Bytes>,
}

impl Folder {
    /// Returns an empty folder.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds or replaces a file.
    #[must_use]
    pub fn with_file(mut self, name: &str, content: impl Into<Bytes>) -> Self {
        self.files.insert(name.to_owned(), content.into());
        self
    }

    /// Reads every `*.yaml` file of a directory and ignores other files.
    ///
    /// # Errors
    ///
    /// When the directory or one of its files cannot be read.
    pub fn read(path: &Path) -> io::Result<Self> {
        let mut folder = Self::new();
        for entry in std::fs::read_dir(path)? {
            let path = entry?.path();
            if path.extension().is_none_or(|extension| extension != "yaml") {
                continue;
            }
            if let Some(name) = path.file_name().and_then(|name| name.to_str()) {
                folder
                    .files
                    .insert(name.to_owned(), Bytes::from(std::fs::read(&path)?));
            }
        }
        Ok(folder)
    }
}

/// Returns the digest under which a file's content is stored, in lower-case hex.
#[must_use]
pub fn digest(content: &[u8]) -> String {
    hex::encode(Sha256::digest(content))
}

/// Returns whether `text` has the form of a digest.
#[must_use]
pub fn is_digest(text: &str) -> bool {
    let hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == 64 && text.bytes().all(hex)
}
