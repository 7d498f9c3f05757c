//! Actions on roll-outs and on the state of versions.

use serde_json::{Map, Value as Json};

use super::{Action, Draft, Refusal, not_applicable};
use crate::file::{Rollout, State};

const ROLLOUTS: &str = "rollouts";
const VERSIONS: &str = "versions";

pub(super) fn apply(draft: &mut Draft<'_>, action: &Action) -> Result<(), Refusal> {
    match action {
        Action::RolloutOpen {
            model,
            candidate,
            current,
            stages,
            exposure,
        } => {
            let mut fields = Map::new();
            fields.insert("candidate".to_owned(), Json::from(candidate.as_str()));
            fields.insert("stage".to_owned(), Json::from(0));
            fields.insert("paused".to_owned(), Json::from(false));
            if let Some(current) = current {
                fields.insert("current".to_owned(), Json::from(current.as_str()));
            }
            if let Some(stages) = stages {
                fields.insert("stages".to_owned(), Json::from(stages.clone()));
            }
            if let Some(exposure) = exposure {
                fields.insert("exposure".to_owned(), Json::from(*exposure));
            }
            open(draft, model, candidate, fields)
        }
        Action::RolloutStep { model } => step(draft, model),
        Action::RolloutPause { model } => pause(draft, model, true),
        Action::RolloutResume { model } => pause(draft, model, false),
        Action::RolloutClose {
            model,
            keep_current,
            stepped,
        } => close(draft, model, *keep_current, *stepped),
        Action::VersionWithdraw {
            version,
            replacement,
        } => withdraw(draft, version, replacement.as_deref()),
        Action::VersionOpen { version } => {
            version_state(draft, version)?;
            draft.set_field(VERSIONS, version, "state", "open")
        }
        _ => Ok(()),
    }
}

/// Returns the open roll-out of a model and its candidate.
fn open_rollout<'a>(draft: &Draft<'a>, model: &str) -> Result<(&'a Rollout, &'a str), Refusal> {
    let rollout = draft.merged.file.rollouts.get(model);
    let found = rollout.and_then(|rollout| Some((rollout, rollout.candidate.as_deref()?)));
    found.ok_or_else(|| not_applicable(format!("no roll-out of {model} is open")))
}

/// Returns the state of a version, or an error if it is not configured.
fn version_state(draft: &Draft<'_>, version: &str) -> Result<State, Refusal> {
    let entry = draft.merged.file.versions.get(version);
    entry
        .map(|entry| entry.state)
        .ok_or_else(|| not_applicable(format!("no version is named {version}")))
}

/// Opens a roll-out with the given fields of its entry.
fn open(
    draft: &mut Draft<'_>,
    model: &str,
    candidate: &str,
    mut fields: Map<String, Json>,
) -> Result<(), Refusal> {
    if let Ok((_, open)) = open_rollout(draft, model) {
        let message = format!("a roll-out of {open} is open; close or withdraw it first");
        return Err(not_applicable(message));
    }
    if version_state(draft, candidate)? != State::Open {
        let message = format!("{candidate} is not open; `rollout reopen {candidate}` opens it");
        return Err(not_applicable(message));
    }
    // Only opening a roll-out raises its generation (`word`), because a higher
    // one clears a halt of the candidate.
    let previous = draft.merged.file.rollouts.get(model);
    let word = previous.map_or(1, |previous| previous.word.saturating_add(1));
    fields.insert("word".to_owned(), Json::from(word));
    if draft.owner(ROLLOUTS, model).is_none() {
        if !fields.contains_key("current") {
            let message = format!("{model} has no roll-out yet: name its version of today");
            return Err(not_applicable(message));
        }
        let file = draft
            .file_for_new_entry(ROLLOUTS)
            .or_else(|_| draft.file_for_new_entry(VERSIONS))?;
        return draft.put_entry(&file, ROLLOUTS, model, Some(&fields));
    }
    for (field, value) in fields {
        draft.set_field(ROLLOUTS, model, &field, value)?;
    }
    Ok(())
}

/// Advances the roll-out by one stage.
fn step(draft: &mut Draft<'_>, model: &str) -> Result<(), Refusal> {
    let (rollout, candidate) = open_rollout(draft, model)?;
    if rollout.paused {
        let message = format!("the roll-out of {candidate} is paused; resume it first");
        return Err(not_applicable(message));
    }
    if rollout.stage + 1 >= rollout.stages.len() {
        let message = format!("{candidate} has reached its last stage; close the roll-out");
        return Err(not_applicable(message));
    }
    draft.set_field(ROLLOUTS, model, "stage", rollout.stage + 1)
}

/// Sets or clears `paused`.
fn pause(draft: &mut Draft<'_>, model: &str, paused: bool) -> Result<(), Refusal> {
    let (rollout, candidate) = open_rollout(draft, model)?;
    if rollout.paused == paused {
        let state = if paused { "paused" } else { "running" };
        let message = format!("the roll-out of {candidate} is {state} already");
        return Err(not_applicable(message));
    }
    draft.set_field(ROLLOUTS, model, "paused", paused)
}

/// Ends a roll-out.
///
/// If the candidate becomes the current version, it must have reached its last
/// stage: a jump from a small share to all sessions would expose every caller
/// to a fault at once. If the current version is kept, the candidate is closed,
/// so that its existing sessions stay on it.
fn close(
    draft: &mut Draft<'_>,
    model: &str,
    keep_current: bool,
    stepped: bool,
) -> Result<(), Refusal> {
    let (rollout, candidate) = open_rollout(draft, model)?;
    if keep_current {
        draft.set_field(VERSIONS, candidate, "state", "closed")?;
    } else {
        if !stepped && rollout.stage + 1 < rollout.stages.len() {
            let message = format!(
                "{candidate} is at stage {} of {}; step on to the last one, or keep the current \
                 version",
                rollout.stage,
                rollout.stages.len() - 1
            );
            return Err(not_applicable(message));
        }
        draft.set_field(ROLLOUTS, model, "current", candidate)?;
    }
    draft.remove_field(ROLLOUTS, model, "candidate")?;
    draft.set_field(ROLLOUTS, model, "stage", 0)
}

/// Withdraws a version.
///
/// Where it is the current version of a roll-out, the same change sets its
/// replacement, so that no new session is refused in between. Where it is the
/// candidate, the roll-out ends.
fn withdraw(
    draft: &mut Draft<'_>,
    version: &str,
    replacement: Option<&str>,
) -> Result<(), Refusal> {
    if version_state(draft, version)? == State::Withdrawn {
        return Err(not_applicable(format!("{version} is withdrawn already")));
    }
    if let Some(other) = replacement
        && version_state(draft, other)? != State::Open
    {
        return Err(not_applicable(format!("{other} is not open")));
    }
    draft.set_field(VERSIONS, version, "state", "withdrawn")?;
    let merged = draft.merged;
    for (model, rollout) in &merged.file.rollouts {
        let candidate = rollout.candidate.as_deref();
        if candidate == Some(version) {
            draft.remove_field(ROLLOUTS, model, "candidate")?;
            draft.set_field(ROLLOUTS, model, "stage", 0)?;
        }
        if rollout.current == version {
            let Some(other) = replacement else {
                let message = format!(
                    "{version} is the version of today of {model}: name the version that takes \
                     its place"
                );
                return Err(not_applicable(message));
            };
            draft.set_field(ROLLOUTS, model, "current", other)?;
            if candidate == Some(other) {
                draft.remove_field(ROLLOUTS, model, "candidate")?;
                draft.set_field(ROLLOUTS, model, "stage", 0)?;
            }
        }
    }
    Ok(())
}
