//! Random sequences of operators' actions.
//!
//! An action is either refused and changes nothing, or the resulting files
//! parse, every file that does not own the changed entry stays identical byte
//! for byte, and no comment outside a changed entry is lost. `FESCUERACK_STEPS`
//! sets the number of actions and `FESCUERACK_SEED` the seed.

use fescuerack_config::change::{Action, Fields, apply};
use fescuerack_config::{Catalog, Folder, Merged, Names};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

use super::examples::example;

const STEPS: u32 = 400;
const SEED: u64 = 11;
const ACTIONS_PER_SEQUENCE: usize = 12;

fn from_environment<T: std::str::FromStr>(name: &str, default: T) -> T {
    let value = std::env::var(name).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn one_of(names: &'static [&'static str]) -> impl Strategy<Value = String> {
    prop::sample::select(names).prop_map(str::to_owned)
}

fn version() -> impl Strategy<Value = String> {
    one_of(&[
        "kaisla-mini@1",
        "kaisla-mini@2",
        "kaisla-max@1",
        "kaisla-mini@9",
    ])
}

fn model() -> impl Strategy<Value = String> {
    one_of(&["kaisla-mini", "kaisla-max", "no-model"])
}

fn organisation() -> impl Strategy<Value = String> {
    one_of(&["iltahoito", "yohoito", "uusi-1", "uusi-2", "bad name"])
}

fn action() -> impl Strategy<Value = Action> {
    let stages = prop::option::of(prop::sample::select(vec![
        vec![0.5, 1.0],
        vec![1.0],
        vec![0.9, 0.1],
    ]));
    let open = (model(), version(), prop::option::of(version()), stages).prop_map(
        |(model, candidate, current, stages)| Action::RolloutOpen {
            model,
            candidate,
            current,
            stages,
            exposure: Some(3),
        },
    );
    let close =
        (model(), any::<bool>(), any::<bool>()).prop_map(|(model, keep_current, stepped)| {
            Action::RolloutClose {
                model,
                keep_current,
                stepped,
            }
        });
    let withdraw = (version(), prop::option::of(version())).prop_map(|(version, replacement)| {
        Action::VersionWithdraw {
            version,
            replacement,
        }
    });
    let server = || {
        let fleet = one_of(&["kaisla-llm", "varaus-api", "x"]);
        (fleet, one_of(&["s-0", "s-1", "#'\" :"]))
    };
    let set = (
        organisation(),
        prop::option::of(0..9u32),
        prop::option::of(version()),
    )
        .prop_map(|(organisation, weight, allow)| Action::OrganisationSet {
            organisation,
            fields: Fields {
                weight,
                allow: allow.map(|name| vec![name]),
                ..Fields::default()
            },
        });
    prop_oneof![
        open,
        model().prop_map(|model| Action::RolloutStep { model }),
        model().prop_map(|model| Action::RolloutPause { model }),
        model().prop_map(|model| Action::RolloutResume { model }),
        close,
        withdraw,
        version().prop_map(|version| Action::VersionOpen { version }),
        server().prop_map(|(fleet, server)| Action::ServerRetire { fleet, server }),
        server().prop_map(|(fleet, server)| Action::ServerAdd { fleet, server }),
        set,
        organisation().prop_map(|organisation| Action::OrganisationRemove { organisation }),
    ]
}

/// Returns the files that an action may change.
fn owners(action: &Action) -> &'static [&'static str] {
    match action {
        Action::ServerAdd { .. } | Action::ServerRetire { .. } => &["20-backends.yaml"],
        Action::OrganisationSet { .. } | Action::OrganisationRemove { .. } => {
            &["50-organisations.yaml"]
        }
        Action::VersionOpen { .. } => &["10-models.yaml"],
        _ => &["10-models.yaml", "40-rollouts.yaml"],
    }
}

/// Returns the number of comments of a file that are outside all entries.
fn count_comments(folder: &Folder, name: &str) -> usize {
    let text = String::from_utf8_lossy(&folder.files[name]).into_owned();
    // Comments without indentation are outside all entries.
    text.lines().filter(|line| line.starts_with('#')).count()
}

/// Applies an action, checks the result and returns the folder that is then active.
fn check(before: &Folder, action: &Action) -> Result<Folder, TestCaseError> {
    let Ok(after) = apply(before, action) else {
        return Ok(before.clone());
    };
    let merged = Merged::new(&after);
    prop_assert!(merged.is_ok(), "{action:?}: {merged:?}");
    for (name, content) in &before.files {
        let same = after.files.get(name) == Some(content);
        prop_assert!(
            same || owners(action).contains(&name.as_str()),
            "{action:?}: {name}"
        );
        prop_assert_eq!(count_comments(before, name), count_comments(&after, name));
    }
    // A folder that the checks refuse is not activated: the files stay as they
    // were.
    let merged = merged.unwrap_or_default();
    let accepted = Catalog::new(1, &merged, &mut Names::new()).is_ok();
    Ok(if accepted { after } else { before.clone() })
}

#[test]
fn apply_random_actions_keep_other_files() {
    let config = Config {
        cases: from_environment("FESCUERACK_STEPS", STEPS) / 12,
        rng_seed: RngSeed::Fixed(from_environment("FESCUERACK_SEED", SEED)),
        failure_persistence: None,
        ..Config::default()
    };
    let actions = prop::collection::vec(action(), ACTIONS_PER_SEQUENCE);
    let result = TestRunner::new(config).run(&actions, |actions| {
        let mut folder = example("hoivapolku");
        for action in &actions {
            folder = check(&folder, action)?;
        }
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
