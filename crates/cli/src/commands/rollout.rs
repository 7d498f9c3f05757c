//! `fescuerack rollout`.

use anyhow::Result;
use clap::{Args, Subcommand};
use fescuerack_config::change::Action;
use serde::Serialize;

use crate::access::{Access, merge, read_states};
use crate::change::{self, Record};
use crate::exit::Failed;
use crate::live;
use crate::print::{self, Output};

/// Opens, steps, pauses, closes and withdraws roll-outs.
#[derive(Debug, Args)]
pub struct Rollout {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Debug, Subcommand)]
enum Verb {
    /// Starts to roll out a version.
    Open(Open),
    /// Raises the share of new sessions by one stage.
    Step(ModelArgs),
    /// Keeps the share where it is.
    Pause(ModelArgs),
    /// Lets the roll-out advance again.
    Resume(ModelArgs),
    /// Ends a roll-out: the candidate becomes the version of today.
    Close(Close),
    /// Withdraws a version: no new work at all, from this change on.
    Withdraw(Withdraw),
    /// Takes a closed or withdrawn version into use again.
    Reopen(Reopen),
    /// Shows every roll-out.
    Status(Status),
}

#[derive(Debug, Args)]
struct ModelArgs {
    /// Model.
    model: String,
    #[command(flatten)]
    record: Record,
    #[command(flatten)]
    access: Access,
}

#[derive(Debug, Args)]
struct Open {
    /// Version to roll out, as `model@version`.
    version: String,
    /// Version of today; needed when the model has no roll-out yet.
    #[arg(long, value_name = "VERSION")]
    current: Option<String>,
    /// Shares of new sessions, rising, such as `0.01,0.1,1`.
    #[arg(long, value_name = "SHARES", value_delimiter = ',')]
    stages: Option<Vec<f64>>,
    /// Bad answers that may reach callers before the roll-out halts.
    #[arg(long, value_name = "N")]
    exposure: Option<u32>,
    #[command(flatten)]
    record: Record,
    #[command(flatten)]
    access: Access,
}

#[derive(Debug, Args)]
struct Close {
    /// Model.
    model: String,
    /// Keeps the version of today; the candidate is closed and keeps the
    /// sessions that it has.
    #[arg(long)]
    keep_current: bool,
    #[command(flatten)]
    record: Record,
    #[command(flatten)]
    access: Access,
}

#[derive(Debug, Args)]
struct Withdraw {
    /// Version, as `model@version`.
    version: String,
    /// Version that takes its place where it is the version of today.
    #[arg(long, value_name = "VERSION")]
    replacement: Option<String>,
    #[command(flatten)]
    record: Record,
    #[command(flatten)]
    access: Access,
}

#[derive(Debug, Args)]
struct Reopen {
    /// Version, as `model@version`.
    version: String,
    #[command(flatten)]
    record: Record,
    #[command(flatten)]
    access: Access,
}

#[derive(Debug, Args)]
struct Status {
    #[command(flatten)]
    access: Access,
}

impl Rollout {
    /// Executes the verb.
    ///
    /// # Errors
    ///
    /// Fails when the change is not accepted, or no instance or store answers.
    pub fn execute(self, output: Output) -> Result<()> {
        match self.verb {
            Verb::Open(open) => open.execute(output),
            Verb::Step(args) => args.submit(output, |model| Action::RolloutStep { model }),
            Verb::Pause(args) => args.submit(output, |model| Action::RolloutPause { model }),
            Verb::Resume(args) => args.submit(output, |model| Action::RolloutResume { model }),
            Verb::Close(close) => {
                let live = live::rollouts(&read_states(&close.access)?);
                let live = live.iter().find(|live| live.model == close.model);
                let action = Action::RolloutClose {
                    model: close.model,
                    keep_current: close.keep_current,
                    stepped: live.is_some_and(live::Rollout::is_at_full_share),
                };
                change::submit_action(&close.access, output, &close.record, action)
            }
            Verb::Withdraw(withdraw) => {
                let action = Action::VersionWithdraw {
                    version: withdraw.version,
                    replacement: withdraw.replacement,
                };
                change::submit_action(&withdraw.access, output, &withdraw.record, action)
            }
            Verb::Reopen(reopen) => {
                let action = Action::VersionOpen {
                    version: reopen.version,
                };
                change::submit_action(&reopen.access, output, &reopen.record, action)
            }
            Verb::Status(status) => status.execute(output),
        }
    }
}

impl ModelArgs {
    fn submit(self, output: Output, action: impl FnOnce(String) -> Action) -> Result<()> {
        change::submit_action(&self.access, output, &self.record, action(self.model))
    }
}

impl Open {
    fn execute(self, output: Output) -> Result<()> {
        let Some((model, _)) = self.version.split_once('@') else {
            let message = format!("{} is no version; write model@version", self.version);
            return Err(Failed::usage(message).into());
        };
        let action = Action::RolloutOpen {
            model: model.to_owned(),
            candidate: self.version,
            current: self.current,
            stages: self.stages,
            exposure: self.exposure,
        };
        change::submit_action(&self.access, output, &self.record, action)
    }
}

/// One roll-out, as it is printed.
#[derive(Debug, Serialize)]
struct Row {
    model: String,
    current: String,
    candidate: Option<String>,
    /// Share of new sessions at the stage in the configuration, from 0 to 1; 0 without a candidate.
    share: f64,
    /// Stage in the configuration, from 0; instances may have advanced further.
    stage: usize,
    stages: Vec<f64>,
    paused: bool,
    exposure: u32,
    /// State that the first answering instance reports, if any; absent without a candidate.
    live: Option<live::Rollout>,
}

impl Row {
    fn live_share(&self) -> String {
        let share = self.live.as_ref().map(|live| live.share * 100.0);
        share.map_or_else(|| "-".to_owned(), |share| format!("{share:.1}%"))
    }
}

/// Removes the roll-out of a model from the list and returns it.
fn take_rollout(live: &mut Vec<live::Rollout>, model: &str) -> Option<live::Rollout> {
    let index = live.iter().position(|rollout| rollout.model == model)?;
    Some(live.swap_remove(index))
}

impl Status {
    fn execute(self, output: Output) -> Result<()> {
        let configuration = self.access.client()?.configuration()?;
        let mut live = live::rollouts(&read_states(&self.access)?);
        let merged = merge(configuration)?;
        let rows: Vec<_> = merged
            .file
            .rollouts
            .into_iter()
            .map(|(model, rollout)| Row {
                // Without a candidate nothing is rolled out, although an
                // instance may still report the previous roll-out.
                live: take_rollout(&mut live, &model).filter(|_| rollout.candidate.is_some()),
                model,
                share: match rollout.candidate {
                    Some(_) => rollout.stages.get(rollout.stage).copied().unwrap_or(0.0),
                    None => 0.0,
                },
                current: rollout.current,
                candidate: rollout.candidate,
                stage: rollout.stage,
                stages: rollout.stages,
                paused: rollout.paused,
                exposure: rollout.exposure,
            })
            .collect();
        output.print(&rows, |rows| {
            let rows = rows.iter().map(|row| {
                [
                    row.model.clone(),
                    row.current.clone(),
                    row.candidate.clone().unwrap_or_else(|| "none".to_owned()),
                    format!("{:.1}%", row.share * 100.0),
                    format!("{} of {}", row.stage, row.stages.len().saturating_sub(1)),
                    if row.paused { "yes" } else { "no" }.to_owned(),
                    row.exposure.to_string(),
                    row.live_share(),
                    row.live
                        .as_ref()
                        .map_or_else(|| "-".to_owned(), |live| live.verdict.clone()),
                ]
            });
            let header = [
                "model",
                "current",
                "candidate",
                "share set",
                "stage set",
                "paused",
                "exposure",
                "new sessions now",
                "judgement",
            ];
            print::table(header, rows.collect())
        })
    }
}
