//! Effects of changes to versions, backends and the remaining sections.

use super::{Effect, Kind, compare, compare_lists, push};
use crate::File;
use crate::file::State;

/// Adds the effects of each version that differs.
pub(super) fn versions(before: &File, after: &File, effects: &mut Vec<Effect>) {
    compare(&before.versions, &after.versions, |name, old, new| {
        let subject = format!("versions/{name}");
        let (Some(old), Some(new)) = (old, new) else {
            let text = if new.is_some() {
                "is new"
            } else {
                "is removed"
            };
            return push(effects, Kind::Changes, subject, text);
        };
        if old.state != new.state {
            let text = match new.state {
                State::Open => "is open: it takes all work",
                State::Closed => "is closed: no new session, those it has stay",
                State::Withdrawn => "is withdrawn: no new work at all",
            };
            push(effects, Kind::Changes, &subject, text);
        }
        if (old.cost_input, old.cost_output) != (new.cost_input, new.cost_output) {
            let text = format!(
                "costs {} and {} micro-euro per 1,000 tokens (before: {} and {})",
                new.cost_input, new.cost_output, old.cost_input, old.cost_output
            );
            push(effects, Kind::Changes, &subject, text);
        }
        compare(&old.quality, &new.quality, |class, old, new| {
            let number = |value: Option<&f64>| value.map_or("none".to_owned(), f64::to_string);
            let text = format!(
                "expected quality for {class} {} to {}",
                number(old),
                number(new)
            );
            push(effects, Kind::Changes, &subject, text);
        });
    });
}

/// Adds the effects of each fleet that differs.
pub(super) fn backends(before: &File, after: &File, effects: &mut Vec<Effect>) {
    compare(&before.backends, &after.backends, |name, old, new| {
        let subject = format!("backends/{name}");
        let (Some(old), Some(new)) = (old, new) else {
            let (kind, text) = match new {
                Some(_) => (Kind::Gains, "is new"),
                None => (Kind::Loses, "is removed; its servers get no new work"),
            };
            return push(effects, kind, subject, text);
        };
        compare_lists(effects, &subject, "version", &old.versions, &new.versions);
        for server in new.retired.iter().filter(|id| !old.retired.contains(id)) {
            let text = format!("{server} finishes its work and takes no more");
            push(effects, Kind::Loses, &subject, text);
        }
        for server in old.retired.iter().filter(|id| !new.retired.contains(id)) {
            push(
                effects,
                Kind::Gains,
                &subject,
                format!("{server} takes work again"),
            );
        }
        if old.slots != new.slots {
            let text = format!("slots {} to {}", old.slots, new.slots);
            push(effects, Kind::Changes, &subject, text);
        }
        if old.fences != new.fences {
            let text = format!("fences {} to {}", old.fences, new.fences);
            push(effects, Kind::Changes, &subject, text);
        }
        if old.zones != new.zones {
            let text = format!("zones {:?} to {:?}", old.zones, new.zones);
            push(effects, Kind::Changes, &subject, text);
        }
    });
}

/// Adds the effects of the sections `models`, `targets`, `services`,
/// `operators` and `limits`.
pub(super) fn others(before: &File, after: &File, effects: &mut Vec<Effect>) {
    let mut push_change = |section: &str, name: &str, was: bool, is: bool, detail: String| {
        let text = match (was, is) {
            (false, _) => format!("is new{detail}"),
            (_, false) => "is removed".to_owned(),
            (true, true) => format!("changes{detail}"),
        };
        push(effects, Kind::Changes, format!("{section}/{name}"), text);
    };
    compare(&before.models, &after.models, |name, old, new| {
        push_change("models", name, old.is_some(), new.is_some(), String::new());
    });
    compare(&before.targets, &after.targets, |name, old, new| {
        let detail = match (old, new) {
            (Some(old), Some(new)) if old.quality.to_bits() != new.quality.to_bits() => {
                format!(": quality {} to {}", old.quality, new.quality)
            }
            _ => String::new(),
        };
        push_change("targets", name, old.is_some(), new.is_some(), detail);
    });
    compare(&before.services, &after.services, |name, old, new| {
        let detail = match (old, new) {
            (Some(old), Some(new)) if old.idempotent != new.idempotent => {
                format!(": idempotent {} to {}", old.idempotent, new.idempotent)
            }
            _ => String::new(),
        };
        push_change("services", name, old.is_some(), new.is_some(), detail);
    });
    compare(&before.operators, &after.operators, |name, old, new| {
        push_change(
            "operators",
            name,
            old.is_some(),
            new.is_some(),
            String::new(),
        );
    });
    compare(&before.limits, &after.limits, |name, old, new| {
        let number = |value: Option<&f64>| value.map_or("none".to_owned(), f64::to_string);
        let detail = format!(": {} to {}", number(old), number(new));
        push_change("limits", name, old.is_some(), new.is_some(), detail);
    });
}
