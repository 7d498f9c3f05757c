//! Live state of roll-outs, as instances report it.
//!
//! The configuration only names the stages of a roll-out. Instances evaluate
//! the candidate and advance or halt by themselves, so the share of new
//! sessions that currently start on the candidate is in their state only.

use anyhow::Result;
use serde::Serialize;
use serde_json::Value;

/// A roll-out, as an instance reports it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Rollout {
    /// Model.
    pub model: String,
    /// Share of new sessions that currently start on the candidate, from 0 to 1.
    pub share: f64,
    /// Reason why the roll-out was halted, or else the verdict of the instance on the candidate.
    pub verdict: String,
}

impl Rollout {
    /// Returns whether every new session starts on the candidate.
    pub fn is_at_full_share(&self) -> bool {
        self.share >= 1.0
    }
}

/// Returns the roll-outs of the first instance that answers.
pub fn rollouts(states: &[(String, Result<Value>)]) -> Vec<Rollout> {
    let mut answers = states.iter().filter_map(|(_, state)| state.as_ref().ok());
    let Some(state) = answers.next() else {
        return Vec::new();
    };
    let rollouts = state["versions"]["rollouts"].as_object();
    let rollouts = rollouts
        .into_iter()
        .flatten()
        .map(|(model, rollout)| Rollout {
            model: model.clone(),
            share: rollout["share_of_new_sessions"].as_f64().unwrap_or(0.0),
            verdict: describe_verdict(rollout),
        });
    rollouts.collect()
}

/// Returns why the roll-out was halted, or else the verdict on the candidate.
fn describe_verdict(rollout: &Value) -> String {
    let halted = &rollout["trial"]["halted"];
    if !halted.is_null() {
        return format!("halted: {}", plain_text(halted));
    }
    plain_text(&rollout["verdict"])
}

/// Formats a JSON value without quotes and braces.
fn plain_text(value: &Value) -> String {
    match value {
        Value::Null => "none".to_owned(),
        Value::String(text) => text.clone(),
        Value::Object(fields) => {
            let fields = fields.iter();
            let fields: Vec<_> = fields
                .map(|(name, value)| format!("{name}: {}", plain_text(value)))
                .collect();
            fields.join(", ")
        }
        other => other.to_string(),
    }
}
