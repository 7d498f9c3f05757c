//! Actions of operators, applied to the example folder.

use fescuerack_config::change::{Action, Fields, Refusal, apply};
use fescuerack_config::file::State;
use fescuerack_config::{Catalog, File, Folder, Merged, Names};

use super::examples::example;

fn apply_all(folder: &Folder, actions: &[Action]) -> (Folder, File) {
    let folder = actions.iter().fold(folder.clone(), |folder, action| {
        apply(&folder, action).expect("the action is applicable")
    });
    let merged = Merged::new(&folder).expect("no problems");
    Catalog::new(1, &merged, &mut Names::new()).expect("no problems");
    (folder, merged.file)
}

fn refusal_of(action: &Action) -> String {
    match apply(&example("hoivapolku"), action) {
        Err(Refusal::NotApplicable(message)) => message,
        other => panic!("{other:?}"),
    }
}

fn model() -> String {
    "kaisla-mini".to_owned()
}

#[test]
fn apply_rollout_from_open_to_close() {
    let step = Action::RolloutStep { model: model() };
    let close = Action::RolloutClose {
        model: model(),
        keep_current: false,
        stepped: false,
    };
    let before = example("hoivapolku");
    let (folder, file) = apply_all(&before, &[step.clone(), step.clone(), step.clone(), close]);
    assert_eq!(file.rollouts["kaisla-mini"].current, "kaisla-mini@2");
    assert_eq!(file.rollouts["kaisla-mini"].candidate, None);
    let open = Action::RolloutOpen {
        model: model(),
        candidate: "kaisla-mini@1".to_owned(),
        current: None,
        stages: Some(vec![0.5, 1.0]),
        exposure: None,
    };
    let (folder, file) = apply_all(&folder, &[open]);
    assert_eq!(file.rollouts["kaisla-mini"].stages, [0.5, 1.0]);
    assert_eq!(file.rollouts["kaisla-mini"].stage, 0);
    for (name, content) in &before.files {
        let same = folder.files[name] == *content;
        assert_eq!(same, name != "40-rollouts.yaml", "{name}");
    }
}

#[test]
fn apply_close_before_the_last_stage_is_refused() {
    let message = refusal_of(&Action::RolloutClose {
        model: model(),
        keep_current: false,
        stepped: false,
    });
    assert!(message.contains("at stage 1 of 4"), "{message}");
}

#[test]
fn apply_step_of_a_paused_rollout_is_refused() {
    let pause = Action::RolloutPause { model: model() };
    let (folder, file) = apply_all(&example("hoivapolku"), &[pause]);
    assert!(file.rollouts["kaisla-mini"].paused);
    let step = apply(&folder, &Action::RolloutStep { model: model() });
    assert!(matches!(step, Err(Refusal::NotApplicable(_))));
}

// The candidate turns bad and an operator withdraws it at night. The roll-out
// must end in the same change: otherwise new sessions would be sent to a version
// that accepts no work, and would be refused.
#[test]
fn apply_withdraw_of_the_candidate_ends_its_rollout() {
    let withdraw = Action::VersionWithdraw {
        version: "kaisla-mini@2".to_owned(),
        replacement: None,
    };
    let (_, file) = apply_all(&example("hoivapolku"), &[withdraw]);
    assert_eq!(file.versions["kaisla-mini@2"].state, State::Withdrawn);
    assert_eq!(file.rollouts["kaisla-mini"].candidate, None);
}

#[test]
fn apply_withdraw_of_the_current_version_requires_a_replacement() {
    let withdraw = |replacement| Action::VersionWithdraw {
        version: "kaisla-mini@1".to_owned(),
        replacement,
    };
    let message = refusal_of(&withdraw(None));
    assert!(message.contains("name the version that takes its place"));
    let replacement = Some("kaisla-mini@2".to_owned());
    let (_, file) = apply_all(&example("hoivapolku"), &[withdraw(replacement)]);
    assert_eq!(file.rollouts["kaisla-mini"].current, "kaisla-mini@2");
    assert_eq!(file.rollouts["kaisla-mini"].candidate, None);
}

#[test]
fn apply_server_retired_and_added_restores_the_folder() {
    let fleet = "kaisla-llm".to_owned();
    let server = "kaisla-llm-0".to_owned();
    let retire = Action::ServerRetire {
        fleet: fleet.clone(),
        server: server.clone(),
    };
    let add = Action::ServerAdd { fleet, server };
    let before = example("hoivapolku");
    let (retired, file) = apply_all(&before, std::slice::from_ref(&retire));
    assert_eq!(file.backends["kaisla-llm"].retired, ["kaisla-llm-0"]);
    assert!(matches!(
        apply(&retired, &retire),
        Err(Refusal::NotApplicable(_))
    ));
    let (added, _) = apply_all(&retired, &[add]);
    assert_eq!(added, before);
}

#[test]
fn apply_organisation_added_changed_and_removed() {
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
    let (folder, file) = apply_all(&before, &[create, change]);
    assert_eq!(file.organisations["uusi"].weight, 3);
    assert_eq!(file.organisations["uusi"].allow, ["kaisla-mini"]);
    let remove = Action::OrganisationRemove {
        organisation: "uusi".to_owned(),
    };
    assert_eq!(apply_all(&folder, &[remove]).0, before);
}

// A team's program misspells a field of an organisation. If the unknown field
// were ignored, the change would appear to have taken effect.
#[test]
fn action_unknown_field_is_refused() {
    for action in [
        r#"{"action": "organisation-set", "organisation": "a", "wieght": 3}"#,
        r#"{"action": "rollout-step", "model": "m", "stages": 3}"#,
    ] {
        assert!(serde_json::from_str::<Action>(action).is_err(), "{action}");
    }
}
