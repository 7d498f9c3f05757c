//! `fescuerack explain`.

use std::io::{BufRead as _, BufReader, Read};
use std::path::PathBuf;

use anyhow::{Context as _, Result, bail};
use clap::Args;

use crate::timeline::{self, Line};

/// Shows what happened to one request, from the log lines of instances.
///
/// Lines are read from files, or from standard input if none is named. Text before a
/// line's JSON, as log collectors put it, is kept as the line's source.
#[derive(Debug, Args)]
pub struct Explain {
    /// Identifier of the request (`X-Request-Id` of the try).
    id: String,
    /// Files with log lines of one or more instances.
    #[arg(value_name = "FILE")]
    files: Vec<PathBuf>,
}

impl Explain {
    /// Prints the lines about the request in order of time, other events that the
    /// instances logged around it, and the line that decided its outcome.
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be read or no line has the request's identifier.
    pub fn execute(&self) -> Result<()> {
        let mut lines = Vec::new();
        if self.files.is_empty() {
            read_lines("", std::io::stdin(), &mut lines)?;
        }
        for path in &self.files {
            let file = std::fs::File::open(path);
            let file = file.with_context(|| format!("open {}", path.display()))?;
            let source = path.file_stem().unwrap_or_default().to_string_lossy();
            read_lines(&source, file, &mut lines)?;
        }
        let Some(timeline) = timeline::render(&self.id, &lines) else {
            bail!("no line speaks of the request {}", self.id);
        };
        print!("{timeline}");
        Ok(())
    }
}

fn read_lines(source: &str, input: impl Read, lines: &mut Vec<Line>) -> Result<()> {
    for text in BufReader::new(input).lines() {
        let text = text.context("read log lines")?;
        lines.extend(Line::new(source, &text));
    }
    Ok(())
}
