//! `fescuerack ledger`.

use std::collections::BTreeMap;

use anyhow::Result;
use clap::Args;
use fescuerack_wire::admin;

use crate::access::Access;
use crate::print::{self, Output};

/// Shows what each organisation owes, each request counted once.
#[derive(Debug, Args)]
pub struct Ledger {
    /// Organisation to show; all if absent.
    #[arg(long, value_name = "NAME")]
    organisation: Option<String>,
    /// Prints comma-separated values.
    #[arg(long)]
    csv: bool,
    #[command(flatten)]
    access: Access,
}

impl Ledger {
    /// Prints the totals.
    ///
    /// # Errors
    ///
    /// Fails when no instance or store answers.
    pub fn execute(self, output: Output) -> Result<()> {
        let mut ledger = self.access.client()?.ledger()?;
        if let Some(name) = &self.organisation {
            ledger.sums.retain(|sum| sum.organisation == *name);
        }
        if self.csv {
            print::line("organisation,version,requests,input_tokens,output_tokens,micro_euro")?;
            for sum in &ledger.sums {
                print::line(&cells(sum).join(","))?;
            }
            return Ok(());
        }
        output.print(&ledger, format_table)
    }
}

/// Returns the cells of a row.
fn cells(sum: &admin::Sum) -> [String; 6] {
    [
        sum.organisation.clone(),
        sum.version.clone(),
        sum.requests.to_string(),
        sum.input_tokens.to_string(),
        sum.output_tokens.to_string(),
        sum.cost.to_string(),
    ]
}

/// Formats the sums grouped by organisation; each group ends with the organisation's total.
fn format_table(ledger: &admin::Ledger) -> String {
    let mut totals: BTreeMap<&str, admin::Sum> = BTreeMap::new();
    for sum in &ledger.sums {
        let total = totals.entry(&sum.organisation).or_default();
        total.requests += sum.requests;
        total.input_tokens += sum.input_tokens;
        total.output_tokens += sum.output_tokens;
        total.cost += sum.cost;
    }
    let mut rows = Vec::new();
    for (organisation, total) in totals {
        let sums = ledger.sums.iter();
        rows.extend(
            sums.filter(|sum| sum.organisation == organisation)
                .map(cells),
        );
        let total = admin::Sum {
            organisation: organisation.to_owned(),
            version: "all".to_owned(),
            ..total
        };
        rows.push(cells(&total));
    }
    let header = [
        "organisation",
        "version",
        "requests",
        "input tokens",
        "output tokens",
        "micro-euro",
    ];
    let table = print::table(header, rows);
    format!(
        "{table}\n{} entries dropped as doubles of a request, of all organisations",
        ledger.duplicates
    )
}
