//! What each verb does, what it prints, and how it ends.

use std::fs;

use fescuerack_standin::Fault;

use super::support::{ADMIN, MODEL_TEAM, World, example, run_alone};

fn folder_with(name: &str, text: &str) -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    fs::write(folder.path().join(name), text).expect("a file");
    folder
}

fn path(folder: &tempfile::TempDir) -> &str {
    folder.path().to_str().expect("a path of text")
}

#[test]
fn check_prints_every_problem_and_ends_with_3() {
    let folder = folder_with(
        "a.yaml",
        "models:\n  m: {nite: x}\ntargets:\n  t: {quality: 1}\n",
    );
    let ran = run_alone(&["check", path(&folder)]);
    assert_eq!(ran.code, 3);
    assert!(
        ran.err.contains("a.yaml:2: models/m/nite: unknown field"),
        "{ran:?}"
    );
    assert!(
        ran.err
            .contains("a.yaml:4: targets/t: missing field `models`"),
        "{ran:?}"
    );
    let ran = run_alone(&["check", "--output", "json", path(&folder)]);
    assert_eq!(ran.json()["problems"].as_array().map(Vec::len), Some(2));
    let ran = run_alone(&["check", example().to_str().expect("a path")]);
    assert_eq!(ran.code, 0);
}

#[test]
fn usage_without_an_instance_ends_with_2() {
    assert_eq!(run_alone(&["show"]).code, 2);
    assert_eq!(run_alone(&["no-such-verb"]).code, 2);
}

#[test]
fn show_without_a_listener_ends_with_6() {
    let ran = run_alone(&["show", "--node", "127.0.0.1:1"]);
    assert_eq!(ran.code, 6, "{ran:?}");
}

#[test]
fn token_wrong_or_missing_ends_with_5() {
    let world = World::new();
    for verb in ["show", "history", "ledger", "dump"] {
        assert_eq!(world.run("nobody", &[verb]).code, 5, "{verb}");
    }
    let ran = world.run("nobody", &["rollout", "step", "kaisla-mini", "--why", "w"]);
    assert_eq!(ran.code, 5);
}

// Two teams work at the same time; one of them edits a file of the other by
// mistake. It must be refused whole, and the history must show nothing.
#[test]
fn apply_of_other_teams_file_is_refused() {
    let world = World::new();
    let folder = tempfile::tempdir().expect("a folder");
    let into = path(&folder);
    assert_eq!(world.run(MODEL_TEAM, &["show", "--into", into]).code, 0);
    let file = folder.path().join("30-targets.yaml");
    let text = fs::read_to_string(&file).expect("the file");
    fs::write(&file, text.replace("quality: 0.8\n", "quality: 0.7\n")).expect("written");
    let ran = world.run(MODEL_TEAM, &["apply", into, "--why", "mistake"]);
    assert_eq!(ran.code, 5, "{ran:?}");
    assert!(
        ran.err
            .contains("30-targets.yaml:0: operator model-team may not change"),
        "{ran:?}"
    );
    let history = world.run(ADMIN, &["history", "--output", "json"]).json();
    assert_eq!(history["changes"][0]["revision"], 1);
}

#[test]
fn apply_is_in_force_on_all_and_recorded() {
    let world = World::new();
    let ran = world.run(
        MODEL_TEAM,
        &[
            "rollout",
            "step",
            "kaisla-mini",
            "--why",
            "a calm day",
            "--output",
            "json",
        ],
    );
    assert_eq!(ran.code, 0, "{ran:?}");
    let outcome = ran.json();
    assert_eq!(outcome["revision"], 2);
    assert_eq!(outcome["in_force_everywhere"], true);
    assert_eq!(outcome["instances"].as_array().map(Vec::len), Some(2));
    assert_eq!(outcome["effects"][0]["kind"], "moves");
    let history = world.run(ADMIN, &["history", "--output", "json"]).json();
    let change = &history["changes"][0];
    assert_eq!(change["author"], "model-team");
    assert_eq!(change["why"], "a calm day");
    assert_eq!(change["put"][0], "40-rollouts.yaml");
    let status = world.rollouts();
    assert_eq!(status[0]["stage"], 2);
}

// An operator's connection breaks right after a step was sent, and the
// operator sends it again. A second step would double the exposure.
#[test]
fn step_sent_again_under_its_request_changes_once() {
    let world = World::new();
    let step = |why| {
        let arguments = [
            "rollout",
            "step",
            "kaisla-mini",
            "--why",
            why,
            "--request",
            "r-1",
        ];
        world.run(
            MODEL_TEAM,
            &[&arguments[..], &["--output", "json"]].concat(),
        )
    };
    let first = step("once");
    assert_eq!(first.json()["revision"], 2, "{first:?}");
    let other = step("another reason");
    assert_eq!(other.code, 4, "{other:?}");
    let status = world.rollouts();
    assert_eq!(status[0]["stage"], 2);
}

// Two operators take the folder at the same time and change the same file. The
// second must be told by whom, and change nothing.
#[test]
fn apply_on_a_file_changed_meanwhile_is_a_conflict() {
    let world = World::new();
    let folders = [0, 1].map(|_| tempfile::tempdir().expect("a folder"));
    for (index, folder) in folders.iter().enumerate() {
        assert_eq!(world.run(ADMIN, &["show", "--into", path(folder)]).code, 0);
        let file = folder.path().join("30-targets.yaml");
        let text = fs::read_to_string(&file).expect("the file");
        fs::write(&file, format!("{text}# {index}\n")).expect("written");
    }
    let apply = |folder| world.run(ADMIN, &["apply", path(folder), "--why", "race"]);
    assert_eq!(apply(&folders[0]).code, 0);
    let second = apply(&folders[1]);
    assert_eq!(second.code, 4, "{second:?}");
    assert!(
        second
            .err
            .contains("platform-team changed it in revision 2"),
        "{second:?}"
    );
    let shown = world.run(ADMIN, &["show", "30-targets.yaml"]);
    assert!(shown.out.ends_with("# 0\n"));
}

#[test]
fn apply_with_a_problem_is_refused_and_changes_nothing() {
    let world = World::new();
    let folder = folder_with("60-x.yaml", "services:\n  pay: {backend: nowhere}\n");
    let ran = world.run(ADMIN, &["apply", path(&folder), "--why", "new service"]);
    assert_eq!(ran.code, 3, "{ran:?}");
    assert!(
        ran.err
            .contains("60-x.yaml:2: services/pay/backend: no backend is named nowhere")
    );
    assert_eq!(world.nodes.len(), 2);
    let show = world.run(ADMIN, &["show", "--output", "json"]).json();
    assert_eq!(show["revision"], 1);
}

// The store goes out at night. What is in force must still be shown, and said
// to be perhaps not the latest; a change must say that nothing was changed.
#[test]
fn verbs_with_the_store_down_say_what_they_could_not_do() {
    let world = World::new();
    world.platform.store_faults().set(Fault::Down, 1);
    let show = world.run(ADMIN, &["show"]);
    assert_eq!(show.code, 0, "{show:?}");
    assert!(show.out.contains("50-organisations.yaml"));
    assert!(show.err.contains("the store gives no answer"), "{show:?}");
    assert_eq!(world.run(ADMIN, &["rollout", "status"]).code, 0);
    assert_eq!(world.run(ADMIN, &["top", "--rounds", "1"]).code, 0);
    for verb in ["history", "ledger"] {
        let ran = world.run(ADMIN, &[verb]);
        assert_eq!(ran.code, 6, "{ran:?}");
        assert!(ran.err.contains("the store gives no answer"), "{ran:?}");
    }
    let step = ["rollout", "step", "kaisla-mini", "--why", "w"];
    let ran = world.run(ADMIN, &step);
    assert_eq!(ran.code, 6, "{ran:?}");
    assert!(ran.err.contains("nothing was changed"), "{ran:?}");
    world.platform.store_faults().set(Fault::Down, 0);
    assert_eq!(world.run(ADMIN, &step).code, 0);
}

// With no configuration nobody is an operator yet; the first one goes to the
// store itself.
#[test]
fn apply_to_the_store_needs_no_instance() {
    let world = World::new();
    let folder = folder_with("60-limits.yaml", "# nothing yet\n");
    let store = world.platform.address();
    let arguments = [
        "apply",
        path(&folder),
        "--store",
        &store,
        "--why",
        "first",
        "--within",
        "0",
    ];
    let ran = run_alone(&arguments);
    assert_eq!(ran.code, 0, "{ran:?}");
    let history = run_alone(&["history", "--store", &store, "--output", "json"]).json();
    assert_eq!(history["changes"][0]["author"], "store");
}

// A dump goes into a report that many read. No token, no key of a caller and
// no key of the peers may be in it, nor in anything else that is printed.
#[test]
fn outputs_hold_no_secrets() {
    let world = World::new();
    let secrets = [
        ADMIN,
        MODEL_TEAM,
        "demo-perhepalvelut-espoo",
        "a key of tests for peers",
    ];
    for verb in ["dump", "show", "history", "ledger"] {
        let ran = world.run(ADMIN, &[verb, "--output", "json"]);
        assert_eq!(ran.code, 0, "{ran:?}");
        for secret in secrets {
            // The example's comments name the keys of the demo on purpose.
            let shown = ran
                .out
                .lines()
                .filter(|line| !line.contains("The digest of the demo's"));
            assert!(
                !shown.into_iter().any(|line| line.contains(secret)),
                "{verb}: {secret}"
            );
        }
    }
}

#[test]
fn server_retired_shows_as_leaving() {
    let world = World::new();
    let retire = [
        "server",
        "retire",
        "kaisla-llm",
        "kaisla-llm-0",
        "--why",
        "disk",
    ];
    assert_eq!(world.run(ADMIN, &retire).code, 0);
    World::wait(|| {
        let status = world
            .run(ADMIN, &["server", "status", "--output", "json"])
            .json();
        let servers = status.as_array().expect("a list");
        servers.iter().all(|row| row[1]["state"] == "leaving")
    });
    let again = world.run(ADMIN, &retire);
    assert_eq!(again.code, 3, "{again:?}");
    assert!(again.err.contains("is retired already"));
}

#[test]
fn digest_makes_a_token_that_only_its_owner_reads() {
    use std::os::unix::fs::PermissionsExt as _;
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("token");
    let ran = run_alone(&["digest", "--new", file.to_str().expect("a path")]);
    assert_eq!(ran.code, 0);
    let token = fs::read_to_string(&file).expect("the token");
    let digest = fescuerack_config::folder::digest(token.trim().as_bytes());
    assert_eq!(ran.out.trim(), digest);
    let mode = fs::metadata(&file).expect("its data").permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
}

#[test]
fn completions_name_every_verb() {
    let ran = run_alone(&["completions", "bash"]);
    for verb in ["apply", "rollout", "organisation", "top"] {
        assert!(ran.out.contains(verb));
    }
}

#[rstest::rstest]
#[case::hoivapolku("hoivapolku-entry-0.yaml")]
#[case::opozivnik("opozivnik-entry-0.yaml")]
fn settings_of_the_examples_are_accepted(#[case] name: &str) {
    let path = example().join("../settings").join(name);
    let settings = fescuerack_node::Settings::read(&path).expect("accepted");
    assert_eq!(settings.instance, "entry-0");
}

// The store takes writes and loses every answer for a while, in the middle of
// the night. An operator who steps a roll-out must never be told that nothing
// was changed when something was; the same request, sent again, tells.
#[test]
fn step_with_lost_answers_is_never_denied() {
    let world = World::new();
    let step = [
        "rollout",
        "step",
        "kaisla-mini",
        "--why",
        "w",
        "--request",
        "r-1",
    ];
    let step = [&step[..], &["--within", "0"]].concat();
    let faults = world.platform.store_faults();
    let first = std::thread::scope(|scope| {
        let ran = scope.spawn(|| world.run(MODEL_TEAM, &step));
        std::thread::sleep(std::time::Duration::from_millis(30));
        faults.set(Fault::DropAnswers, 1);
        ran.join().expect("it ran")
    });
    faults.set(Fault::DropAnswers, 0);
    let status = || world.rollouts();
    let stepped = status()[0]["stage"] == 2;
    match first.code {
        0 => assert!(stepped, "{first:?}"),
        6 => assert!(!stepped, "{first:?}"),
        7 => {}
        _ => panic!("{first:?}"),
    }
    let second = world.run(MODEL_TEAM, &step);
    assert_eq!(second.code, 0, "{second:?}");
    assert_eq!(status()[0]["stage"], 2, "{first:?} {second:?}");
}

// An operator's tool lost the answer to a step. By the time it sends the step
// again under the same identifier, the first sending is in force and the tool
// sees other files. The step must be recognised: neither refused nor repeated.
#[test]
fn step_sent_again_when_in_force_is_recognised() {
    let world = World::new();
    let step = ["rollout", "step", "kaisla-mini", "--why", "w"];
    let step = [&step[..], &["--request", "r-1", "--output", "json"]].concat();
    for unchanged in [false, true] {
        let ran = world.run(MODEL_TEAM, &step);
        assert_eq!(ran.code, 0, "{ran:?}");
        let outcome = ran.json();
        assert_eq!(outcome["in_force_everywhere"], true);
        assert_eq!(outcome["revision"], 2);
        assert_eq!(outcome["unchanged"], unchanged);
    }
}

// Two operators step the same roll-out in the same second. One step was meant;
// two would show the candidate to four times as many sessions.
#[test]
fn step_by_two_operators_at_once_is_one_step() {
    let world = World::new();
    let step = [
        "rollout",
        "step",
        "kaisla-mini",
        "--why",
        "w",
        "--within",
        "0",
    ];
    let step = [&step[..], &["--output", "json"]].concat();
    let ran: Vec<_> = std::thread::scope(|scope| {
        let ran = [ADMIN, MODEL_TEAM, ADMIN, MODEL_TEAM]
            .map(|token| scope.spawn(|| world.run(token, &step)));
        ran.map(|thread| thread.join().expect("it ran")).into()
    });
    assert!(ran.iter().all(|ran| [0, 4].contains(&ran.code)), "{ran:?}");
    // An operator whose wish stands already is told so. One who looked after
    // another's step has seen it, and steps on.
    let accepted = ran.iter().filter(|ran| ran.code == 0);
    let changes = accepted
        .filter(|ran| ran.json()["unchanged"] == false)
        .count();
    let status = world.rollouts();
    let stage = status[0]["stage"].as_u64().expect("a stage");
    assert_eq!(stage, 1 + u64::try_from(changes).expect("few"), "{ran:?}");
    let history = world.run(ADMIN, &["history", "--output", "json"]).json();
    assert_eq!(
        history["changes"].as_array().map(Vec::len),
        Some(1 + changes)
    );
}
