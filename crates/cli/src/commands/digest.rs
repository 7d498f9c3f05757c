//! `fescuerack digest`.

use std::fs::{File, OpenOptions};
use std::io::{Read as _, Write as _};
use std::os::unix::fs::OpenOptionsExt as _;
use std::path::{Path, PathBuf};

use anyhow::{Context as _, Result, ensure};
use clap::Args;
use fescuerack_config::folder::digest;

/// Random bytes in a new key or token.
const RANDOM_BYTES: usize = 32;
/// File mode: readable and writable by the owner only.
const OWNER_ONLY_MODE: u32 = 0o600;

/// Prints the digest of a key or a token, which is what the configuration
/// holds. The text is read from standard input, so that it appears neither
/// on the command line nor in the shell's history.
#[derive(Debug, Args)]
pub struct Digest {
    /// Makes a new random text, writes it to a file that only you can read,
    /// and prints its digest.
    #[arg(long, value_name = "FILE")]
    new: Option<PathBuf>,
}

impl Digest {
    /// Prints the digest.
    ///
    /// # Errors
    ///
    /// Fails when standard input is empty or the file cannot be written.
    pub fn execute(self) -> Result<()> {
        let text = if let Some(path) = &self.new {
            generate(path)?
        } else {
            let mut text = String::new();
            std::io::stdin().read_to_string(&mut text)?;
            text
        };
        let text = text.trim();
        ensure!(
            !text.is_empty(),
            "give the key or the token on standard input"
        );
        println!("{}", digest(text.as_bytes()));
        Ok(())
    }
}

/// Writes a new random text to a file and returns it.
fn generate(path: &Path) -> Result<String> {
    let mut random = [0; RANDOM_BYTES];
    File::open("/dev/urandom")
        .and_then(|mut file| file.read_exact(&mut random))
        .context("read the system's randomness")?;
    let text = hex::encode(random);
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(OWNER_ONLY_MODE)
        .open(path)
        .with_context(|| format!("create {}", path.display()))?;
    writeln!(file, "{text}")?;
    Ok(text)
}
