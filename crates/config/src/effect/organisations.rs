//! Which versions and services an organisation may use, and which version
//! answers its classes of work.

use std::collections::{BTreeMap, BTreeSet};

use super::{Compiled, Effect, Kind, all_organisations, compare, compare_lists, push};
use crate::File;

/// Adds which organisations gain or lose a version: for each version, one effect
/// for all that gain it and one for all that lose it.
pub(super) fn versions(before: &Compiled<'_>, after: &Compiled<'_>, effects: &mut Vec<Effect>) {
    let mut by_version: BTreeMap<(Kind, String), Vec<String>> = BTreeMap::new();
    for organisation in all_organisations(before.file(), after.file()) {
        let (old, new) = (
            before.usable_versions(&organisation),
            after.usable_versions(&organisation),
        );
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
        push(effects, kind, format!("versions/{version}"), text);
    }
}

/// Adds the changes of the organisations' own fields and keys.
pub(super) fn entries(before: &File, after: &File, effects: &mut Vec<Effect>) {
    compare(
        &before.organisations,
        &after.organisations,
        |name, old, new| {
            let subject = format!("organisations/{name}");
            let (old, new) = match (old, new) {
                (Some(old), Some(new)) => (old, new),
                (None, _) => return push(effects, Kind::Gains, subject, "is new"),
                (_, None) => {
                    let text = "is removed; its callers are refused";
                    return push(effects, Kind::Loses, subject, text);
                }
            };
            if old.weight != new.weight {
                let text = format!("weight {} to {}", old.weight, new.weight);
                push(effects, Kind::Changes, &subject, text);
            }
            if old.below_target != new.below_target {
                let text = if new.below_target {
                    "takes answers below the target"
                } else {
                    "no longer takes answers below the target"
                };
                push(effects, Kind::Changes, &subject, text);
            }
            compare_lists(effects, &subject, "service", &old.services, &new.services);
            let count_missing = |from: &[String], to: &[String]| {
                from.iter().filter(|key| !to.contains(key)).count()
            };
            let (removed, added) = (
                count_missing(&old.keys, &new.keys),
                count_missing(&new.keys, &old.keys),
            );
            if removed > 0 {
                let text = format!("{removed} keys are no longer accepted");
                push(effects, Kind::Loses, &subject, text);
            }
            if added > 0 {
                push(effects, Kind::Gains, &subject, format!("{added} new keys"));
            }
        },
    );
}

/// Adds which classes of work are answered by another version after the change,
/// for organisations that exist before and after it.
pub(super) fn classes(before: &Compiled<'_>, after: &Compiled<'_>, effects: &mut Vec<Effect>) {
    let mut moves: BTreeMap<(String, String, String), Vec<String>> = BTreeMap::new();
    let targets = before.file().targets.keys();
    let classes: BTreeSet<_> = targets.chain(after.file().targets.keys()).collect();
    for organisation in all_organisations(before.file(), after.file()) {
        for class in &classes {
            let old = before.answering_version(&organisation, class);
            let new = after.answering_version(&organisation, class);
            let is_in_both = before.file().organisations.contains_key(&organisation)
                && after.file().organisations.contains_key(&organisation);
            if old != new && is_in_both {
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
            push(effects, Kind::Loses, subject, text);
        } else if old.is_empty() {
            let text = format!("is answered by {new} for {who} (before: by none)");
            push(effects, Kind::Gains, subject, text);
        } else {
            let text = format!("moves from {old} to {new} for {who}");
            push(effects, Kind::Moves, subject, text);
        }
    }
}
