//! Who may use what, and which version answers whom.

use std::collections::{BTreeMap, BTreeSet};

use super::{Compiled, Effect, Kind, add, all_organisations, compare, lists};
use crate::File;

/// Who gains or loses which version, one effect for each version.
pub(super) fn versions(before: &Compiled<'_>, after: &Compiled<'_>, found: &mut Vec<Effect>) {
    let mut by_version: BTreeMap<(Kind, String), Vec<String>> = BTreeMap::new();
    for organisation in all_organisations(before.file(), after.file()) {
        let (old, new) = (before.usable(&organisation), after.usable(&organisation));
        for version in new.difference(&old) {
            let key = (Kind::Gains, version.clone());
            by_version
                .entry(key)
                .or_default()
                .push(organisation.clone());
        }
        for version in old.difference(&new) {
            let key = (Kind::Loses, version.clone());
            by_version
                .entry(key)
                .or_default()
                .push(organisation.clone());
        }
    }
    for ((kind, version), organisations) in by_version {
        let verb = if kind == Kind::Gains {
            "gained"
        } else {
            "lost"
        };
        let text = format!("{verb} by {}", organisations.join(", "));
        add(found, kind, format!("versions/{version}"), text);
    }
}

pub(super) fn entries(before: &File, after: &File, found: &mut Vec<Effect>) {
    compare(
        &before.organisations,
        &after.organisations,
        |name, old, new| {
            let subject = format!("organisations/{name}");
            let (old, new) = match (old, new) {
                (Some(old), Some(new)) => (old, new),
                (None, _) => return add(found, Kind::Gains, subject, "is new"),
                (_, None) => {
                    let text = "is removed; its callers are refused";
                    return add(found, Kind::Loses, subject, text);
                }
            };
            if old.weight != new.weight {
                let text = format!("weight {} to {}", old.weight, new.weight);
                add(found, Kind::Changes, &subject, text);
            }
            if old.below_target != new.below_target {
                let text = if new.below_target {
                    "takes answers below the target"
                } else {
                    "no longer takes answers below the target"
                };
                add(found, Kind::Changes, &subject, text);
            }
            lists(found, &subject, "service", &old.services, &new.services);
            let keys = |from: &[String], to: &[String]| {
                from.iter().filter(|key| !to.contains(key)).count()
            };
            let (gone, come) = (keys(&old.keys, &new.keys), keys(&new.keys, &old.keys));
            if gone > 0 {
                let text = format!("{gone} keys are no longer accepted");
                add(found, Kind::Loses, &subject, text);
            }
            if come > 0 {
                add(found, Kind::Gains, &subject, format!("{come} new keys"));
            }
        },
    );
}

/// Which version answers a class of work from now on.
pub(super) fn classes(before: &Compiled<'_>, after: &Compiled<'_>, found: &mut Vec<Effect>) {
    let mut moves: BTreeMap<(String, String, String), Vec<String>> = BTreeMap::new();
    let targets = before.file().targets.keys();
    let classes: BTreeSet<_> = targets.chain(after.file().targets.keys()).collect();
    for organisation in all_organisations(before.file(), after.file()) {
        for class in &classes {
            let old = before.answers(&organisation, class);
            let new = after.answers(&organisation, class);
            let both = before.file().organisations.contains_key(&organisation)
                && after.file().organisations.contains_key(&organisation);
            if old != new && both {
                let name = |version: Option<String>| version.unwrap_or_default();
                let key = ((*class).clone(), name(old), name(new));
                moves.entry(key).or_default().push(organisation.clone());
            }
        }
    }
    for ((class, old, new), organisations) in moves {
        let subject = format!("auto:{class}");
        let who = organisations.join(", ");
        if new.is_empty() {
            let text = format!("no version meets the target any more for {who} (before: {old})");
            add(found, Kind::Loses, subject, text);
        } else if old.is_empty() {
            let text = format!("is answered by {new} for {who} (before: by none)");
            add(found, Kind::Gains, subject, text);
        } else {
            let text = format!("moves from {old} to {new} for {who}");
            add(found, Kind::Moves, subject, text);
        }
    }
}
