//! Output of figures as a table.

use comfy_table::Table;

use crate::Figures;

/// Returns the figures as a Markdown table with one row per stream, followed by a line of totals.
#[must_use]
pub fn table(figures: &Figures) -> String {
    let mut table = Table::new();
    table.load_style(comfy_table::presets::ASCII_MARKDOWN);
    table.set_header([
        "stream",
        "organisation",
        "offered",
        "in time",
        "refused",
        "late",
        "failed",
        "first p50 ms",
        "p95",
        "p99",
        "whole p95 ms",
        "attempts/request",
        "prefix hits",
    ]);
    for row in &figures.rows {
        table.add_row([
            row.name.clone(),
            row.organisation.clone(),
            row.offered.to_string(),
            format!("{:.1} %", 100.0 * row.good_share()),
            row.refused.to_string(),
            row.late.to_string(),
            row.failed.to_string(),
            format!("{:.0}", row.first_token_ms(0.5)),
            format!("{:.0}", row.first_token_ms(0.95)),
            format!("{:.0}", row.first_token_ms(0.99)),
            format!("{:.0}", row.answer_ms(0.95)),
            format!("{:.2}", row.attempts_per_request()),
            format!("{:.2}", row.hit_rate()),
        ]);
    }
    format!(
        "{table}\ncapacity used for answers in time: {:.3}; Jain index of organisations: {:.3}\n",
        figures.goodput(),
        figures.jain_index()
    )
}
