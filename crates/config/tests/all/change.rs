//! Changes by name.

use fescuerack_config::change::{Action, Fields, Refusal, apply};
use fescuerack_config::file::State;
use fescuerack_config::{Catalog, File, Folder, Merged, Names};

use super::examples::example;

fn after(folder: &Folder, actions: &[Action]) -> (Folder, File) {
    let folder = actions.iter().fold(folder.clone(), |folder, action| {
        apply(&folder, action).expect("the action makes sense")
    });
    let merged = Merged::new(&folder).expect("no problems");
    Catalog::new(1, &merged, &mut Names::new()).expect("no problems");
    (folder, merged.file)
}

fn refusal(action: &Action) -> String {
    match apply(&example("hoivapolku"), action) {
        Err(Refusal::NotApplicable(message)) => message,
        other => panic!("{other:?}"),
    }
}

fn model() -> String {
    "kaisla-mini".to_owned()
}

#[test]
fn rollout_runs_from_open_to_close() {
    let step = Action::RolloutStep { model: model() };
    let close = Action::RolloutClose {
        model: model(),
        keep_current: false,
        stepped: false,
    };
    let before = example("hoivapolku");
    let (folder, file) = after(&before, &[step.clone(), step.clone(), step.clone(), close]);
    assert_eq!(file.rollouts["kaisla-mini"].current, "kaisla-mini@2");
    assert_eq!(file.rollouts["kaisla-mini"].candidate, None);
    let open = Action::RolloutOpen {
        model: model(),
        candidate: "kaisla-mini@1".to_owned(),
        current: None,
        stages: Some(vec![0.5, 1.0]),
        exposure: None,
    };
    let (folder, file) = after(&folder, &[open]);
    assert_eq!(file.rollouts["kaisla-mini"].stages, [0.5, 1.0]);
    assert_eq!(file.rollouts["kaisla-mini"].stage, 0);
    for (name, content) in &before.files {
        let same = folder.files[name] == *content;
        assert_eq!(same, name != "40-rollouts.yaml", "{name}");
    }
}

#[test]
fn rollout_close_before_the_last_stage_is_refused() {
    let message = refusal(&Action::RolloutClose {
        model: model(),
        keep_current: false,
        stepped: false,
    });
    assert!(message.contains("at stage 1 of 4"), "{message}");
}

#[test]
fn rollout_pause_stops_steps() {
    let pause = Action::RolloutPause { model: model() };
    let (folder, file) = after(&example("hoivapolku"), &[pause]);
    assert!(file.rollouts["kaisla-mini"].paused);
    let step = apply(&folder, &Action::RolloutStep { model: model() });
    assert!(matches!(step, Err(Refusal::NotApplicable(_))));
}

// A new version turns bad at night. The operator withdraws it: the roll-out
// ends in the same change, or new sessions would be sent to a version that
// takes no work, and be refused.
#[test]
fn withdraw_candidate_ends_its_rollout() {
    let withdraw = Action::VersionWithdraw {
        version: "kaisla-mini@2".to_owned(),
        replacement: None,
    };
    let (_, file) = after(&example("hoivapolku"), &[withdraw]);
    assert_eq!(file.versions["kaisla-mini@2"].state, State::Withdrawn);
    assert_eq!(file.rollouts["kaisla-mini"].candidate, None);
}

#[test]
fn withdraw_version_of_today_needs_a_replacement() {
    let withdraw = |replacement| Action::VersionWithdraw {
        version: "kaisla-mini@1".to_owned(),
        replacement,
    };
    let message = refusal(&withdraw(None));
    assert!(message.contains("name the version that takes its place"));
    let replacement = Some("kaisla-mini@2".to_owned());
    let (_, file) = after(&example("hoivapolku"), &[withdraw(replacement)]);
    assert_eq!(file.rollouts["kaisla-mini"].current, "kaisla-mini@2");
    assert_eq!(file.rollouts["kaisla-mini"].candidate, None);
}

#[test]
fn server_retired_and_added_leaves_no_trace() {
    let fleet = "kaisla-llm".to_owned();
    let server = "kaisla-llm-0".to_owned();
    let retire = Action::ServerRetire {
        fleet: fleet.clone(),
        server: server.clone(),
    };
    let add = Action::ServerAdd { fleet, server };
    let before = example("hoivapolku");
    let (retired, file) = after(&before, std::slice::from_ref(&retire));
    assert_eq!(file.backends["kaisla-llm"].retired, ["kaisla-llm-0"]);
    assert!(matches!(
        apply(&retired, &retire),
        Err(Refusal::NotApplicable(_))
    ));
    let (added, _) = after(&retired, &[add]);
    assert_eq!(added, before);
}

#[test]
fn organisation_added_changed_and_removed() {
    let set = |fields| Action::OrganisationSet {
        organisation: "uusi".to_owned(),
        fields,
    };
    let create = set(Fields {
        allow: Some(vec!["kaisla-mini".to_owned()]),
        ..Fields::default()
    });
    let change = set(Fields {
        weight: Some(3),
        ..Fields::default()
    });
    let before = example("hoivapolku");
    let (folder, file) = after(&before, &[create, change]);
    assert_eq!(file.organisations["uusi"].weight, 3);
    assert_eq!(file.organisations["uusi"].allow, ["kaisla-mini"]);
    let remove = Action::OrganisationRemove {
        organisation: "uusi".to_owned(),
    };
    assert_eq!(after(&folder, &[remove]).0, before);
}

// A program of a team misspells a field of an organisation. The change must be
// refused; without the field it would seem to have taken effect.
#[test]
fn action_with_an_unknown_field_is_refused() {
    for action in [
        r#"{"action": "organisation-set", "organisation": "a", "wieght": 3}"#,
        r#"{"action": "rollout-step", "model": "m", "stages": 3}"#,
    ] {
        assert!(serde_json::from_str::<Action>(action).is_err(), "{action}");
    }
}
