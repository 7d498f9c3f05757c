//! What a change of configuration means, in words.
//!
//! A difference of text tells an operator which lines changed, not who is
//! affected: one line of a target can move every chat of ten organisations to
//! another version. The effects are therefore worked out on the compiled
//! catalogs: who gains or loses which version, which version answers a class
//! of work from now on, and what share of sessions a roll-out moves.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::file::{Rollout, State};
use crate::{Catalog, File, Merged, Names, key};

/// What kind of effect a change has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Somebody can no longer use something.
    Loses,
    /// Work goes elsewhere.
    Moves,
    /// Somebody can use something new.
    Gains,
    /// A value changes.
    Changes,
}

/// One effect of a change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Effect {
    /// Kind.
    pub kind: Kind,
    /// What is affected, such as `organisations/a`.
    pub subject: String,
    /// The effect in words.
    pub text: String,
}

impl fmt::Display for Effect {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.subject, self.text)
    }
}

/// One side of the comparison.
#[derive(Debug)]
pub struct Side<'a> {
    merged: &'a Merged,
    catalog: Catalog,
    names: Names,
}

impl<'a> Side<'a> {
    /// Compiles a merge.
    ///
    /// # Errors
    ///
    /// All problems of the merge.
    pub fn new(merged: &'a Merged) -> Result<Self, Vec<crate::Problem>> {
        let mut names = Names::new();
        let catalog = Catalog::new(0, merged, &mut names)?;
        Ok(Self {
            merged,
            catalog,
            names,
        })
    }

    fn file(&self) -> &File {
        &self.merged.file
    }

    /// Returns the versions that an organisation may use and that take work.
    fn usable(&self, organisation: &str) -> BTreeSet<String> {
        let key = self.names.organisations.get(organisation);
        let entry = key.and_then(|key| self.catalog.organisations.get(key));
        let allowed = entry.into_iter().flat_map(|entry| &entry.allowed);
        let working = allowed.filter(|key| self.catalog.versions[**key].state != State::Withdrawn);
        working
            .map(|key| self.names.versions.name(*key).to_string())
            .collect()
    }

    /// Returns the cheapest version of today that meets the target of a class
    /// for an organisation, by the expected quality of the configuration.
    fn answers(&self, organisation: &str, class: &str) -> Option<String> {
        let organisation = self.names.organisations.get(organisation)?;
        let organisation = self.catalog.organisations.get(organisation)?;
        let class_key = self.names.classes.get(class)?;
        let class = self.catalog.classes.get(class_key)?;
        let today = class.models.iter().filter_map(|model| self.today(*model));
        let fitting = today.filter(|version| {
            let entry = &self.catalog.versions[*version];
            let meets = self.catalog.quality(*version, class_key) >= class.quality;
            organisation.allowed.contains(version)
                && entry.state == State::Open
                && (meets || organisation.below_target)
        });
        let cheapest = fitting.min_by_key(|version| self.catalog.versions[*version].cost.output)?;
        Some(self.names.versions.name(cheapest).to_string())
    }

    fn today(&self, model: key::Model) -> Option<key::Version> {
        match self.catalog.rollouts.get(model) {
            Some(rollout) => Some(rollout.current),
            None => self.catalog.models.get(model)?.last().copied(),
        }
    }
}

/// Returns the effects of going from one configuration to another, losses
/// first.
#[must_use]
pub fn effects(before: &Side<'_>, after: &Side<'_>) -> Vec<Effect> {
    let mut found = Vec::new();
    versions_of_organisations(before, after, &mut found);
    organisations(before.file(), after.file(), &mut found);
    classes(before, after, &mut found);
    versions(before.file(), after.file(), &mut found);
    rollouts(before.file(), after.file(), &mut found);
    backends(before.file(), after.file(), &mut found);
    rest(before.file(), after.file(), &mut found);
    found.sort();
    found
}

fn add(found: &mut Vec<Effect>, kind: Kind, subject: impl Into<String>, text: impl Into<String>) {
    found.push(Effect {
        kind,
        subject: subject.into(),
        text: text.into(),
    });
}

/// Calls `visit` for each name whose entry differs.
fn compare<T: PartialEq>(
    before: &BTreeMap<String, T>,
    after: &BTreeMap<String, T>,
    mut visit: impl FnMut(&str, Option<&T>, Option<&T>),
) {
    let names: BTreeSet<_> = before.keys().chain(after.keys()).collect();
    for name in names {
        let (old, new) = (before.get(name), after.get(name));
        if old != new {
            visit(name, old, new);
        }
    }
}

fn all_organisations(before: &File, after: &File) -> BTreeSet<String> {
    let names = before
        .organisations
        .keys()
        .chain(after.organisations.keys());
    names.cloned().collect()
}

/// Who gains or loses which version, one effect for each version.
fn versions_of_organisations(before: &Side<'_>, after: &Side<'_>, found: &mut Vec<Effect>) {
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

fn organisations(before: &File, after: &File, found: &mut Vec<Effect>) {
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

fn lists(found: &mut Vec<Effect>, subject: &str, what: &str, old: &[String], new: &[String]) {
    for name in old.iter().filter(|name| !new.contains(name)) {
        add(found, Kind::Loses, subject, format!("loses {what} {name}"));
    }
    for name in new.iter().filter(|name| !old.contains(name)) {
        add(found, Kind::Gains, subject, format!("gains {what} {name}"));
    }
}

/// Which version answers a class of work from now on.
fn classes(before: &Side<'_>, after: &Side<'_>, found: &mut Vec<Effect>) {
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

fn versions(before: &File, after: &File, found: &mut Vec<Effect>) {
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

/// Returns the share of new sessions that start on the candidate.
fn share(rollout: Option<&Rollout>) -> (Option<&str>, f64) {
    let candidate = rollout.and_then(|rollout| rollout.candidate.as_deref());
    let share = rollout.and_then(|rollout| rollout.stages.get(rollout.stage));
    match candidate {
        Some(name) => (Some(name), share.copied().unwrap_or(0.0)),
        None => (None, 0.0),
    }
}

fn rollouts(before: &File, after: &File, found: &mut Vec<Effect>) {
    compare(&before.rollouts, &after.rollouts, |model, old, new| {
        let subject = format!("rollouts/{model}");
        let ((was, from), (is, to)) = (share(old), share(new));
        let percent = |share: f64| format!("{}%", (share * 1000.0).round() / 10.0);
        let current = |rollout: Option<&Rollout>| rollout.map(|entry| entry.current.clone());
        if let (Some(old), Some(new)) = (current(old), current(new))
            && old != new
        {
            let text = format!("version of today {old} to {new}");
            add(found, Kind::Moves, &subject, text);
        }
        match (was, is) {
            (None, Some(version)) => {
                let text = format!("opens: {} of new sessions start on {version}", percent(to));
                add(found, Kind::Moves, &subject, text);
            }
            (Some(version), None) => {
                let text = format!("ends; {version} had {} of new sessions", percent(from));
                add(found, Kind::Moves, &subject, text);
            }
            (Some(old), Some(new)) if old != new || from.to_bits() != to.to_bits() => {
                let text = format!(
                    "new sessions on {new}: {} (before: {} on {old})",
                    percent(to),
                    percent(from)
                );
                add(found, Kind::Moves, &subject, text);
            }
            _ => {}
        }
        let paused = |rollout: Option<&Rollout>| rollout.is_some_and(|rollout| rollout.paused);
        match (paused(old), paused(new)) {
            (false, true) => add(found, Kind::Changes, &subject, "is paused"),
            (true, false) => add(found, Kind::Changes, &subject, "may advance again"),
            _ => {}
        }
        if let (Some(old), Some(new)) = (old, new) {
            if old.exposure != new.exposure {
                let text = format!("exposure {} to {}", old.exposure, new.exposure);
                add(found, Kind::Changes, &subject, text);
            }
            if old.stages != new.stages {
                let text = format!("stages {:?} to {:?}", old.stages, new.stages);
                add(found, Kind::Changes, &subject, text);
            }
        }
    });
}

fn backends(before: &File, after: &File, found: &mut Vec<Effect>) {
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

fn rest(before: &File, after: &File, found: &mut Vec<Effect>) {
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
