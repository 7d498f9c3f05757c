//! A text as lines, and the block of lines that belongs to a line.

use std::ops::Range;

/// Lines of a text; line numbers count from 1, as in [`crate::tree::YamlNode`].
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

    /// Returns the whole text, which ends with a line break.
    pub fn join(&self) -> String {
        let mut text = self.lines.join("\n");
        text.push('\n');
        text
    }

    /// Returns the position after the last line, from 0.
    pub fn end(&self) -> usize {
        self.lines.len()
    }

    /// Returns the leading spaces of a line.
    pub fn indent(&self, line: usize) -> String {
        let text = &self.lines[line - 1];
        text[..indent(text)].to_owned()
    }

    /// Returns the positions, from 0, of a line and of the lines after it that
    /// are nested in it. Blank lines and comments at the end belong to the
    /// next block.
    pub fn block(&self, line: usize) -> Range<usize> {
        let start = line - 1;
        let depth = indent(&self.lines[start]);
        let deeper = self.lines[start + 1..].iter().take_while(|text| {
            let is_item = indent(text) == depth && text[depth..].starts_with("- ");
            let is_closing = indent(text) == depth && text[depth..].starts_with([']', '}']);
            is_blank_or_comment(text) || indent(text) > depth || is_item || is_closing
        });
        let mut end = start + 1 + deeper.count();
        while end > start + 1 && is_blank_or_comment(&self.lines[end - 1]) {
            end -= 1;
        }
        start..end
    }

    /// Replaces a range of positions by new lines.
    pub fn replace(&mut self, range: Range<usize>, new: &[String]) {
        self.lines.splice(range, new.iter().cloned());
    }
}

/// Returns the number of leading spaces.
fn indent(text: &str) -> usize {
    text.len() - text.trim_start_matches(' ').len()
}

fn is_blank_or_comment(text: &str) -> bool {
    let text = text.trim();
    text.is_empty() || text.starts_with('#')
}
