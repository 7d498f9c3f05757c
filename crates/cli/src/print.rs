//! Output formats: tables for people, JSON for programs.

use std::fmt::Write as _;
use std::io::Write as _;

use anyhow::Result;
use clap::ValueEnum;
use comfy_table::{ContentLineStyle, LineStyle, Table, TableStyle};
use fescuerack_config::effect::{Effect, Kind};
use serde::Serialize;

/// Style of tables: a line below the header and none between rows, so that `grep`
/// matches whole rows.
const STYLE: TableStyle = TableStyle::new()
    .header_separator(LineStyle::new(' ', '─', ' ', ' '))
    .header_lines(ContentLineStyle::new(' ', ' ', ' '))
    .content_lines(ContentLineStyle::new(' ', ' ', ' '));

/// Form of the output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// Tables and sentences.
    #[default]
    Table,
    /// One JSON document.
    Json,
}

impl Output {
    /// Prints a value as JSON, or the text that `table` formats.
    ///
    /// # Errors
    ///
    /// Fails when the value cannot be serialised or the output is closed.
    pub fn print<T: Serialize>(self, value: &T, table: impl FnOnce(&T) -> String) -> Result<()> {
        let text = match self {
            Self::Json => serde_json::to_string_pretty(value)?,
            Self::Table => table(value),
        };
        line(text.trim_end())
    }
}

/// Prints text and a newline.
///
/// # Errors
///
/// Fails when the output is closed, as `head` does; `println!` would panic.
pub fn line(text: &str) -> Result<()> {
    writeln!(std::io::stdout().lock(), "{text}")?;
    Ok(())
}

/// Formats a table.
pub fn table<const N: usize>(header: [&str; N], rows: Vec<[String; N]>) -> String {
    let mut table = Table::new();
    table.load_style(STYLE);
    table.set_header(header);
    for row in rows {
        table.add_row(row);
    }
    table.to_string()
}

/// Formats the effects of a change, one per line.
pub fn effects(effects: &[Effect]) -> String {
    let mut text = String::new();
    for effect in effects {
        let sign = match effect.kind {
            Kind::Loses => "-",
            Kind::Moves => ">",
            Kind::Gains => "+",
            Kind::Changes => "~",
        };
        writeln!(text, "  {sign} {effect}").expect("text grows");
    }
    text
}

/// Formats seconds since the Unix epoch as a date and time in UTC.
pub fn time(seconds: u64) -> String {
    const SECONDS_PER_DAY: u64 = 86_400;
    let (days, rest) = (seconds / SECONDS_PER_DAY, seconds % SECONDS_PER_DAY);
    let (year, month, day) = date(days);
    let (hour, minute, second) = (rest / 3600, rest / 60 % 60, rest % 60);
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02}Z")
}

/// Returns the year, month and day of a number of days since the Unix epoch.
fn date(mut days: u64) -> (u64, u64, u64) {
    let mut year = 1970;
    loop {
        let leap = year % 4 == 0 && (year % 100 != 0 || year % 400 == 0);
        let length = if leap { 366 } else { 365 };
        if days < length {
            let february = if leap { 29 } else { 28 };
            let months = [31, february, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31];
            let mut month = 1;
            for length in months {
                if days < length {
                    break;
                }
                days -= length;
                month += 1;
            }
            return (year, month, days + 1);
        }
        days -= length;
        year += 1;
    }
}
