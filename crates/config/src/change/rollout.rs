//! Roll-outs and the state of versions.

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
            known(draft, version)?;
            draft.set(VERSIONS, version, "state", "open")
        }
        _ => Ok(()),
    }
}

fn running<'a>(draft: &Draft<'a>, model: &str) -> Result<(&'a Rollout, &'a str), Refusal> {
    let rollout = draft.merged.file.rollouts.get(model);
    let found = rollout.and_then(|rollout| Some((rollout, rollout.candidate.as_deref()?)));
    found.ok_or_else(|| not_applicable(format!("no roll-out of {model} is open")))
}

fn known(draft: &Draft<'_>, version: &str) -> Result<State, Refusal> {
    let entry = draft.merged.file.versions.get(version);
    entry
        .map(|entry| entry.state)
        .ok_or_else(|| not_applicable(format!("no version is named {version}")))
}

fn open(
    draft: &mut Draft<'_>,
    model: &str,
    candidate: &str,
    mut fields: Map<String, Json>,
) -> Result<(), Refusal> {
    if let Ok((_, running)) = running(draft, model) {
        let message = format!("a roll-out of {running} is open; close or withdraw it first");
        return Err(not_applicable(message));
    }
    if known(draft, candidate)? != State::Open {
        let message = format!("{candidate} is not open; `rollout reopen {candidate}` opens it");
        return Err(not_applicable(message));
    }
    // Only an opening raises the word: it clears a halt of the candidate.
    let last = draft.merged.file.rollouts.get(model);
    let word = last.map_or(1, |last| last.word.saturating_add(1));
    fields.insert("word".to_owned(), Json::from(word));
    if draft.owner(ROLLOUTS, model).is_none() {
        if !fields.contains_key("current") {
            let message = format!("{model} has no roll-out yet: name its version of today");
            return Err(not_applicable(message));
        }
        let file = draft.home(ROLLOUTS).or_else(|_| draft.home(VERSIONS))?;
        return draft.put(&file, ROLLOUTS, model, Some(&fields));
    }
    for (field, value) in fields {
        draft.set(ROLLOUTS, model, &field, value)?;
    }
    Ok(())
}

fn step(draft: &mut Draft<'_>, model: &str) -> Result<(), Refusal> {
    let (rollout, candidate) = running(draft, model)?;
    if rollout.paused {
        let message = format!("the roll-out of {candidate} is paused; resume it first");
        return Err(not_applicable(message));
    }
    if rollout.stage + 1 >= rollout.stages.len() {
        let message = format!("{candidate} has reached its last stage; close the roll-out");
        return Err(not_applicable(message));
    }
    draft.set(ROLLOUTS, model, "stage", rollout.stage + 1)
}

fn pause(draft: &mut Draft<'_>, model: &str, paused: bool) -> Result<(), Refusal> {
    let (rollout, candidate) = running(draft, model)?;
    if rollout.paused == paused {
        let state = if paused { "paused" } else { "running" };
        let message = format!("the roll-out of {candidate} is {state} already");
        return Err(not_applicable(message));
    }
    draft.set(ROLLOUTS, model, "paused", paused)
}

/// Ends a roll-out. With the candidate taken, it must have reached its last
/// stage: a jump from a small share to all would show a fault to everybody at
/// once. With the version of today kept, the candidate is closed, so that the
/// sessions which it has keep it.
fn close(
    draft: &mut Draft<'_>,
    model: &str,
    keep_current: bool,
    stepped: bool,
) -> Result<(), Refusal> {
    let (rollout, candidate) = running(draft, model)?;
    if keep_current {
        draft.set(VERSIONS, candidate, "state", "closed")?;
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
        draft.set(ROLLOUTS, model, "current", candidate)?;
    }
    draft.unset(ROLLOUTS, model, "candidate")?;
    draft.set(ROLLOUTS, model, "stage", 0)
}

/// Withdraws a version; where it is the version of today of a roll-out, its
/// replacement takes its place in the same change, so that new sessions are
/// not refused in between.
fn withdraw(
    draft: &mut Draft<'_>,
    version: &str,
    replacement: Option<&str>,
) -> Result<(), Refusal> {
    if known(draft, version)? == State::Withdrawn {
        return Err(not_applicable(format!("{version} is withdrawn already")));
    }
    if let Some(other) = replacement
        && known(draft, other)? != State::Open
    {
        return Err(not_applicable(format!("{other} is not open")));
    }
    draft.set(VERSIONS, version, "state", "withdrawn")?;
    let merged = draft.merged;
    for (model, rollout) in &merged.file.rollouts {
        let candidate = rollout.candidate.as_deref();
        if candidate == Some(version) {
            draft.unset(ROLLOUTS, model, "candidate")?;
            draft.set(ROLLOUTS, model, "stage", 0)?;
        }
        if rollout.current == version {
            let Some(other) = replacement else {
                let message = format!(
                    "{version} is the version of today of {model}: name the version that takes \
                     its place"
                );
                return Err(not_applicable(message));
            };
            draft.set(ROLLOUTS, model, "current", other)?;
            if candidate == Some(other) {
                draft.unset(ROLLOUTS, model, "candidate")?;
                draft.set(ROLLOUTS, model, "stage", 0)?;
            }
        }
    }
    Ok(())
}
