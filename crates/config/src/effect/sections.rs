//! Versions, backends and the smaller sections.

use super::{Effect, Kind, add, compare, lists};
use crate::File;
use crate::file::State;

pub(super) fn versions(before: &File, after: &File, found: &mut Vec<Effect>) {
    compare(&before.versions, &after.versions, |name, old, new| {
        let subject = format!("versions/{name}");
        let (Some(old), Some(new)) = (old, new) else {
            let text = if new.is_some() {
                "is new"
            } else {
                "is removed"
            };
            return add(found, Kind::Changes, subject, text);
        };
        if old.state != new.state {
            let text = match new.state {
                State::Open => "is open: it takes all work",
                State::Closed => "is closed: no new session, those it has stay",
                State::Withdrawn => "is withdrawn: no new work at all",
            };
            add(found, Kind::Changes, &subject, text);
        }
        if (old.cost_input, old.cost_output) != (new.cost_input, new.cost_output) {
            let text = format!(
                "costs {} and {} micro-euro per 1,000 tokens (before: {} and {})",
                new.cost_input, new.cost_output, old.cost_input, old.cost_output
            );
            add(found, Kind::Changes, &subject, text);
        }
        compare(&old.quality, &new.quality, |class, old, new| {
            let number = |value: Option<&f64>| value.map_or("none".to_owned(), f64::to_string);
            let text = format!(
                "expected quality for {class} {} to {}",
                number(old),
                number(new)
            );
            add(found, Kind::Changes, &subject, text);
        });
    });
}

pub(super) fn backends(before: &File, after: &File, found: &mut Vec<Effect>) {
    compare(&before.backends, &after.backends, |name, old, new| {
        let subject = format!("backends/{name}");
        let (Some(old), Some(new)) = (old, new) else {
            let (kind, text) = match new {
                Some(_) => (Kind::Gains, "is new"),
                None => (Kind::Loses, "is removed; its servers get no new work"),
            };
            return add(found, kind, subject, text);
        };
        lists(found, &subject, "version", &old.versions, &new.versions);
        for server in new.retired.iter().filter(|id| !old.retired.contains(id)) {
            let text = format!("{server} finishes its work and takes no more");
            add(found, Kind::Loses, &subject, text);
        }
        for server in old.retired.iter().filter(|id| !new.retired.contains(id)) {
            add(
                found,
                Kind::Gains,
                &subject,
                format!("{server} takes work again"),
            );
        }
        if old.slots != new.slots {
            let text = format!("slots {} to {}", old.slots, new.slots);
            add(found, Kind::Changes, &subject, text);
        }
        if old.fences != new.fences {
            let text = format!("fences {} to {}", old.fences, new.fences);
            add(found, Kind::Changes, &subject, text);
        }
        if old.zones != new.zones {
            let text = format!("zones {:?} to {:?}", old.zones, new.zones);
            add(found, Kind::Changes, &subject, text);
        }
    });
}

pub(super) fn rest(before: &File, after: &File, found: &mut Vec<Effect>) {
    let mut simple = |section: &str, name: &str, was: bool, is: bool, detail: String| {
        let text = match (was, is) {
            (false, _) => format!("is new{detail}"),
            (_, false) => "is removed".to_owned(),
            (true, true) => format!("changes{detail}"),
        };
        add(found, Kind::Changes, format!("{section}/{name}"), text);
    };
    compare(&before.models, &after.models, |name, old, new| {
        simple("models", name, old.is_some(), new.is_some(), String::new());
    });
    compare(&before.targets, &after.targets, |name, old, new| {
        let detail = match (old, new) {
            (Some(old), Some(new)) if old.quality.to_bits() != new.quality.to_bits() => {
                format!(": quality {} to {}", old.quality, new.quality)
            }
            _ => String::new(),
        };
        simple("targets", name, old.is_some(), new.is_some(), detail);
    });
    compare(&before.services, &after.services, |name, old, new| {
        let detail = match (old, new) {
            (Some(old), Some(new)) if old.idempotent != new.idempotent => {
                format!(": idempotent {} to {}", old.idempotent, new.idempotent)
            }
            _ => String::new(),
        };
        simple("services", name, old.is_some(), new.is_some(), detail);
    });
    compare(&before.operators, &after.operators, |name, old, new| {
        simple(
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
        simple("limits", name, old.is_some(), new.is_some(), detail);
    });
}
