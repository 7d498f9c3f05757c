//! Effects of changes to roll-outs.

use super::{Effect, Kind, compare, push};
use crate::File;
use crate::file::Rollout;

/// Returns the candidate and the share of new sessions that start on it.
fn candidate_share(rollout: Option<&Rollout>) -> (Option<&str>, f64) {
    let candidate = rollout.and_then(|rollout| rollout.candidate.as_deref());
    let share = rollout.and_then(|rollout| rollout.stages.get(rollout.stage));
    match candidate {
        Some(name) => (Some(name), share.copied().unwrap_or(0.0)),
        None => (None, 0.0),
    }
}

/// Adds the effects of each roll-out that differs.
pub(super) fn entries(before: &File, after: &File, effects: &mut Vec<Effect>) {
    compare(&before.rollouts, &after.rollouts, |model, old, new| {
        let subject = format!("rollouts/{model}");
        let ((was, from), (is, to)) = (candidate_share(old), candidate_share(new));
        let percent = |share: f64| format!("{}%", (share * 1000.0).round() / 10.0);
        let current = |rollout: Option<&Rollout>| rollout.map(|entry| entry.current.clone());
        if let (Some(old), Some(new)) = (current(old), current(new))
            && old != new
        {
            let text = format!("version of today {old} to {new}");
            push(effects, Kind::Moves, &subject, text);
        }
        match (was, is) {
            (None, Some(version)) => {
                let text = format!("opens: {} of new sessions start on {version}", percent(to));
                push(effects, Kind::Moves, &subject, text);
            }
            (Some(version), None) => {
                let text = format!("ends; {version} had {} of new sessions", percent(from));
                push(effects, Kind::Moves, &subject, text);
            }
            (Some(old), Some(new)) if old != new || from.to_bits() != to.to_bits() => {
                let text = format!(
                    "new sessions on {new}: {} (before: {} on {old})",
                    percent(to),
                    percent(from)
                );
                push(effects, Kind::Moves, &subject, text);
            }
            _ => {}
        }
        let paused = |rollout: Option<&Rollout>| rollout.is_some_and(|rollout| rollout.paused);
        match (paused(old), paused(new)) {
            (false, true) => push(effects, Kind::Changes, &subject, "is paused"),
            (true, false) => push(effects, Kind::Changes, &subject, "may advance again"),
            _ => {}
        }
        if let (Some(old), Some(new)) = (old, new) {
            if old.exposure != new.exposure {
                let text = format!("exposure {} to {}", old.exposure, new.exposure);
                push(effects, Kind::Changes, &subject, text);
            }
            if old.stages != new.stages {
                let text = format!("stages {:?} to {:?}", old.stages, new.stages);
                push(effects, Kind::Changes, &subject, text);
            }
        }
    });
}
