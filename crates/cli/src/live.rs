//! What instances say of roll-outs in their state.
//!
//! The configuration names stages; the instances judge the candidate, step on
//! or halt by themselves. What new sessions get now is therefore theirs to
//! tell.

use anyhow::Result;
use serde::Serialize;
use serde_json::Value;

/// A roll-out as an instance sees it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Rollout {
    /// Model.
    pub model: String,
    /// Share of new sessions that start on the candidate now.
    pub share: f64,
    /// What the instance judges, and why.
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

fn describe_verdict(rollout: &Value) -> String {
    let halted = &rollout["trial"]["halted"];
    if !halted.is_null() {
        return format!("halted: {}", plain_text(halted));
    }
    plain_text(&rollout["verdict"])
}

/// Returns a value without the signs of JSON.
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
