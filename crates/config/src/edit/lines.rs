//! The lines of a text, and the block that belongs to a line.

use std::ops::Range;

/// Lines of a text; numbers count from 1 as in [`crate::tree::Node`].
pub struct Lines {
    lines: Vec<String>,
}

impl Lines {
    /// Splits a text.
    pub fn new(text: &str) -> Self {
        Self {
            lines: text.lines().map(str::to_owned).collect(),
        }
    }

    /// Returns the text; it ends with a line break.
    pub fn join(&self) -> String {
        let mut text = self.lines.join("\n");
        text.push('\n');
        text
    }

    /// Returns the position behind the last line.
    pub fn end(&self) -> usize {
        self.lines.len()
    }

    /// Returns the spaces before the text of a line.
    pub fn indent(&self, line: usize) -> String {
        let text = &self.lines[line - 1];
        text[..indent(text)].to_owned()
    }

    /// Returns the positions of a line and of the deeper lines after it.
    /// Blank lines and comments at the end belong to what follows.
    pub fn block(&self, line: usize) -> Range<usize> {
        let start = line - 1;
        let depth = indent(&self.lines[start]);
        let deeper = self.lines[start + 1..].iter().take_while(|text| {
            let item = indent(text) == depth && text[depth..].starts_with("- ");
            let close = indent(text) == depth && text[depth..].starts_with([']', '}']);
            is_idle(text) || indent(text) > depth || item || close
        });
        let mut end = start + 1 + deeper.count();
        while end > start + 1 && is_idle(&self.lines[end - 1]) {
            end -= 1;
        }
        start..end
    }

    /// Replaces lines by others.
    pub fn replace(&mut self, range: Range<usize>, new: &[String]) {
        self.lines.splice(range, new.iter().cloned());
    }
}

fn indent(text: &str) -> usize {
    text.len() - text.trim_start_matches(' ').len()
}

fn is_idle(text: &str) -> bool {
    let text = text.trim();
    text.is_empty() || text.starts_with('#')
}
