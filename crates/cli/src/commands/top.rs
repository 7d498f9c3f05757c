//! `fescuerack top`.

use std::collections::BTreeMap;
use std::io::IsTerminal as _;
use std::time::{Duration, Instant};

use anyhow::{Result, anyhow};
use clap::Args;
use serde::Serialize;
use serde_json::Value;

use crate::access::{Access, read_states};
use crate::exit::Failed;
use crate::live;
use crate::print::{self, Output};

/// Escape sequences that clear the screen and move the cursor to its first line.
const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";
/// Maximum number of counters in the table; those that grow fastest are shown.
const MAX_SHOWN_COUNTERS: usize = 24;

/// Shows load, refusals and revisions of the named instances, again and again.
#[derive(Debug, Args)]
pub struct Top {
    /// Seconds between two samples.
    #[arg(long, value_name = "SECONDS", default_value_t = 1)]
    period: u64,
    /// Samples to print before it exits; runs until interrupted if absent.
    #[arg(long, value_name = "N")]
    rounds: Option<u64>,
    #[command(flatten)]
    access: Access,
}

/// One sample of the instances' states.
#[derive(Debug, Serialize)]
struct Sample {
    instances: Vec<Row>,
    /// Roll-outs, as the first instance that answers reports them.
    rollouts: Vec<live::Rollout>,
    /// Increase per second of each counter, summed over the instances that
    /// answered, that has grown since the last sample.
    rates: BTreeMap<String, f64>,
}

/// State of one instance, as it is printed.
#[derive(Debug, Serialize)]
struct Row {
    address: String,
    instance: String,
    zone: String,
    revision: u64,
    ready: bool,
    running: u64,
    waiting: u64,
    pending_bills: u64,
    error: Option<String>,
}

impl Top {
    /// Prints samples until it is interrupted, or for the given number of rounds.
    ///
    /// # Errors
    ///
    /// Fails when no instance is named, or none answers for the first sample.
    pub fn execute(self, output: Output) -> Result<()> {
        if self.access.addresses().is_empty() {
            return Err(Failed::usage("name instances by --node").into());
        }
        let mut before: Option<(Instant, BTreeMap<String, u64>)> = None;
        let mut round = 0;
        loop {
            let states = read_states(&self.access)?;
            let now = Instant::now();
            if round == 0 {
                require_one_answer(&states)?;
            }
            let counters = sum_counters(&states);
            let rates = before.map_or_else(BTreeMap::new, |(then, old)| {
                rates(&old, &counters, now.duration_since(then))
            });
            let rollouts = live::rollouts(&states);
            let instances = states
                .into_iter()
                .map(|(address, state)| row(address, state));
            let sample = Sample {
                instances: instances.collect(),
                rollouts,
                rates,
            };
            print_sample(output, &sample)?;
            before = Some((now, counters));
            round += 1;
            if self.rounds.is_some_and(|rounds| round >= rounds) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_secs(self.period.max(1)));
        }
    }
}

/// Returns the error of the first instance if none of them answers.
fn require_one_answer(states: &[(String, Result<Value>)]) -> Result<()> {
    let mut failures = states.iter().filter_map(|(_, state)| state.as_ref().err());
    match failures.next() {
        Some(first) if failures.count() + 1 == states.len() => {
            let failed = first.downcast_ref::<Failed>().cloned();
            Err(failed.map_or_else(|| anyhow!("{first:#}"), Into::into))
        }
        _ => Ok(()),
    }
}

fn print_sample(output: Output, sample: &Sample) -> Result<()> {
    match output {
        // One document per line, so that a program can read one sample after another.
        Output::Json => print::line(&serde_json::to_string(sample)?),
        Output::Table => {
            let clear = if std::io::stdout().is_terminal() {
                CLEAR_SCREEN
            } else {
                ""
            };
            print::line(&format!("{clear}{}", format_table(sample)))
        }
    }
}

/// Sums each counter over the instances that answered.
fn sum_counters(states: &[(String, Result<Value>)]) -> BTreeMap<String, u64> {
    let mut counters = BTreeMap::new();
    for state in states.iter().filter_map(|(_, state)| state.as_ref().ok()) {
        for (name, value) in state["counters"].as_object().into_iter().flatten() {
            *counters.entry(name.clone()).or_insert(0) += value.as_u64().unwrap_or(0);
        }
    }
    counters
}

/// Returns the increase per second of each counter that has grown.
fn rates(
    old: &BTreeMap<String, u64>,
    new: &BTreeMap<String, u64>,
    elapsed: Duration,
) -> BTreeMap<String, f64> {
    let seconds = elapsed.as_secs_f64().max(f64::EPSILON);
    let changed = new.iter().filter_map(|(name, value)| {
        // A restarted instance counts from 0 again and one that does not answer is left out, so a
        // sum may shrink.
        let increase = value.saturating_sub(old.get(name).copied().unwrap_or(0));
        let increase = u32::try_from(increase).unwrap_or(u32::MAX);
        (increase > 0).then(|| (name.clone(), f64::from(increase) / seconds))
    });
    changed.collect()
}

fn row(address: String, state: Result<Value>) -> Row {
    let (state, error) = match state {
        Ok(state) => (state, None),
        Err(error) => (Value::Null, Some(format!("{error:#}"))),
    };
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let number = |value: &Value| value.as_u64().unwrap_or(0);
    Row {
        address,
        instance: text(&state["instance"]),
        zone: text(&state["zone"]),
        revision: number(&state["configuration"]["revision"]),
        ready: state["ready"].as_bool().unwrap_or(false),
        running: number(&state["admission"]["running"]),
        waiting: number(&state["admission"]["waiting"]),
        pending_bills: number(&state["ledger"]["pending"]),
        error,
    }
}

fn format_table(sample: &Sample) -> String {
    let rows = sample.instances.iter().map(|row| {
        let state = match (&row.error, row.ready) {
            (Some(_), _) => "no answer",
            (None, true) => "ready",
            (None, false) => "not ready",
        };
        [
            row.address.clone(),
            row.instance.clone(),
            row.zone.clone(),
            state.to_owned(),
            row.revision.to_string(),
            row.running.to_string(),
            row.waiting.to_string(),
            row.pending_bills.to_string(),
        ]
    });
    let header = [
        "address", "instance", "zone", "state", "revision", "running", "waiting", "to bill",
    ];
    let mut text = print::table(header, rows.collect());
    if !sample.rollouts.is_empty() {
        let rows = sample.rollouts.iter().map(|rollout| {
            let share = format!("{:.1}%", rollout.share * 100.0);
            [rollout.model.clone(), share, rollout.verdict.clone()]
        });
        let header = ["roll-out", "new sessions now", "judgement"];
        text.push('\n');
        text.push_str(&print::table(header, rows.collect()));
    }
    let mut rates: Vec<_> = sample.rates.iter().collect();
    rates.sort_by(|a, b| b.1.total_cmp(a.1));
    let rows = rates.into_iter().take(MAX_SHOWN_COUNTERS);
    let rows: Vec<_> = rows
        .map(|(name, rate)| [name.clone(), format!("{rate:.1}")])
        .collect();
    if !rows.is_empty() {
        text.push('\n');
        text.push_str(&print::table(["counter", "a second"], rows));
    }
    text
}
