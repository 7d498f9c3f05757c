//! Subcommands: what they change, what they print and their exit codes.

use std::fs;

use fescuerack_standin::Fault;

use super::support::{ADMIN_TOKEN, Cluster, MODEL_TEAM_TOKEN, example_folder, run_without_nodes};

/// Creates a folder that holds one file.
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
    let result = run_without_nodes(&["check", path(&folder)]);
    assert_eq!(result.code, 3);
    assert!(
        result
            .err
            .contains("a.yaml:2: models/m/nite: unknown field"),
        "{result:?}"
    );
    assert!(
        result
            .err
            .contains("a.yaml:4: targets/t: missing field `models`"),
        "{result:?}"
    );
    let result = run_without_nodes(&["check", "--output", "json", path(&folder)]);
    assert_eq!(result.json()["problems"].as_array().map(Vec::len), Some(2));
    let result = run_without_nodes(&["check", example_folder().to_str().expect("a path")]);
    assert_eq!(result.code, 0);
}

#[test]
fn usage_without_an_instance_ends_with_2() {
    assert_eq!(run_without_nodes(&["show"]).code, 2);
    assert_eq!(run_without_nodes(&["no-such-verb"]).code, 2);
}

#[test]
fn show_without_a_listener_ends_with_6() {
    let result = run_without_nodes(&["show", "--node", "127.0.0.1:1"]);
    assert_eq!(result.code, 6, "{result:?}");
}

#[test]
fn token_wrong_or_missing_ends_with_5() {
    let cluster = Cluster::new();
    for verb in ["show", "history", "ledger", "dump"] {
        assert_eq!(cluster.run("nobody", &[verb]).code, 5, "{verb}");
    }
    let result = cluster.run("nobody", &["rollout", "step", "kaisla-mini", "--why", "w"]);
    assert_eq!(result.code, 5);
}

// A team edits another team's file by mistake. The change must be refused as a
// whole and must not appear in the history.
#[test]
fn apply_of_other_teams_file_is_refused() {
    let cluster = Cluster::new();
    let folder = tempfile::tempdir().expect("a folder");
    let into = path(&folder);
    assert_eq!(
        cluster
            .run(MODEL_TEAM_TOKEN, &["show", "--into", into])
            .code,
        0
    );
    let file = folder.path().join("30-targets.yaml");
    let text = fs::read_to_string(&file).expect("the file");
    fs::write(&file, text.replace("quality: 0.8\n", "quality: 0.7\n")).expect("written");
    let result = cluster.run(MODEL_TEAM_TOKEN, &["apply", into, "--why", "mistake"]);
    assert_eq!(result.code, 5, "{result:?}");
    assert!(
        result
            .err
            .contains("30-targets.yaml:0: operator model-team may not change"),
        "{result:?}"
    );
    let history = cluster
        .run(ADMIN_TOKEN, &["history", "--output", "json"])
        .json();
    assert_eq!(history["changes"][0]["revision"], 1);
}

#[test]
fn apply_is_in_force_on_all_and_recorded() {
    let cluster = Cluster::new();
    let result = cluster.run(
        MODEL_TEAM_TOKEN,
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
    assert_eq!(result.code, 0, "{result:?}");
    let outcome = result.json();
    assert_eq!(outcome["revision"], 2);
    assert_eq!(outcome["in_force_everywhere"], true);
    assert_eq!(outcome["instances"].as_array().map(Vec::len), Some(2));
    assert_eq!(outcome["effects"][0]["kind"], "moves");
    let history = cluster
        .run(ADMIN_TOKEN, &["history", "--output", "json"])
        .json();
    let change = &history["changes"][0];
    assert_eq!(change["author"], "model-team");
    assert_eq!(change["why"], "a calm day");
    assert_eq!(change["put"][0], "40-rollouts.yaml");
    let status = cluster.rollouts();
    assert_eq!(status[0]["stage"], 2);
}

// An operator's connection breaks right after a step was sent, and the operator
// sends it again under the same identifier with another reason. A second step
// would double the exposure.
#[test]
fn step_sent_again_under_its_request_changes_once() {
    let cluster = Cluster::new();
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
        cluster.run(
            MODEL_TEAM_TOKEN,
            &[&arguments[..], &["--output", "json"]].concat(),
        )
    };
    let first = step("once");
    assert_eq!(first.json()["revision"], 2, "{first:?}");
    let other = step("another reason");
    assert_eq!(other.code, 4, "{other:?}");
    let status = cluster.rollouts();
    assert_eq!(status[0]["stage"], 2);
}

// Two operators copy the configuration at the same time and change the same
// file. The second must get a conflict that names the first, and change nothing.
#[test]
fn apply_on_a_file_changed_meanwhile_is_a_conflict() {
    let cluster = Cluster::new();
    let folders = [0, 1].map(|_| tempfile::tempdir().expect("a folder"));
    for (index, folder) in folders.iter().enumerate() {
        assert_eq!(
            cluster
                .run(ADMIN_TOKEN, &["show", "--into", path(folder)])
                .code,
            0
        );
        let file = folder.path().join("30-targets.yaml");
        let text = fs::read_to_string(&file).expect("the file");
        fs::write(&file, format!("{text}# {index}\n")).expect("written");
    }
    let apply = |folder| cluster.run(ADMIN_TOKEN, &["apply", path(folder), "--why", "race"]);
    assert_eq!(apply(&folders[0]).code, 0);
    let second = apply(&folders[1]);
    assert_eq!(second.code, 4, "{second:?}");
    assert!(
        second
            .err
            .contains("platform-team changed it in revision 2"),
        "{second:?}"
    );
    let shown = cluster.run(ADMIN_TOKEN, &["show", "30-targets.yaml"]);
    assert!(shown.out.ends_with("# 0\n"));
}

#[test]
fn apply_with_a_problem_is_refused_and_changes_nothing() {
    let cluster = Cluster::new();
    let folder = folder_with("60-x.yaml", "services:\n  pay: {backend: nowhere}\n");
    let result = cluster.run(
        ADMIN_TOKEN,
        &["apply", path(&folder), "--why", "new service"],
    );
    assert_eq!(result.code, 3, "{result:?}");
    assert!(
        result
            .err
            .contains("60-x.yaml:2: services/pay/backend: no backend is named nowhere")
    );
    assert_eq!(cluster.nodes.len(), 2);
    let show = cluster
        .run(ADMIN_TOKEN, &["show", "--output", "json"])
        .json();
    assert_eq!(show["revision"], 1);
}

// The store is down. The active configuration must still be shown, with a
// warning that it may not be the latest; a change must report that nothing was
// changed.
#[test]
fn verbs_with_the_store_down_say_what_they_could_not_do() {
    let cluster = Cluster::new();
    cluster.platform.store_faults().set(Fault::Down, 1);
    let show = cluster.run(ADMIN_TOKEN, &["show"]);
    assert_eq!(show.code, 0, "{show:?}");
    assert!(show.out.contains("50-organisations.yaml"));
    assert!(show.err.contains("the store gives no answer"), "{show:?}");
    assert_eq!(cluster.run(ADMIN_TOKEN, &["rollout", "status"]).code, 0);
    assert_eq!(cluster.run(ADMIN_TOKEN, &["top", "--rounds", "1"]).code, 0);
    for verb in ["history", "ledger"] {
        let result = cluster.run(ADMIN_TOKEN, &[verb]);
        assert_eq!(result.code, 6, "{result:?}");
        assert!(
            result.err.contains("the store gives no answer"),
            "{result:?}"
        );
    }
    let step = ["rollout", "step", "kaisla-mini", "--why", "w"];
    let result = cluster.run(ADMIN_TOKEN, &step);
    assert_eq!(result.code, 6, "{result:?}");
    assert!(result.err.contains("nothing was changed"), "{result:?}");
    cluster.platform.store_faults().set(Fault::Down, 0);
    assert_eq!(cluster.run(ADMIN_TOKEN, &step).code, 0);
}

// Before the first configuration there are no operators, so it is written
// directly to the store.
#[test]
fn apply_to_the_store_needs_no_instance() {
    let cluster = Cluster::new();
    let folder = folder_with("60-limits.yaml", "# nothing yet\n");
    let store = cluster.platform.address();
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
    let result = run_without_nodes(&arguments);
    assert_eq!(result.code, 0, "{result:?}");
    let history = run_without_nodes(&["history", "--store", &store, "--output", "json"]).json();
    assert_eq!(history["changes"][0]["author"], "store");
}

// Dumps are attached to reports with many readers. Neither they nor other output
// may contain operators' tokens, callers' keys or the peers' key.
#[test]
fn outputs_hold_no_secrets() {
    let cluster = Cluster::new();
    let secrets = [
        ADMIN_TOKEN,
        MODEL_TEAM_TOKEN,
        "demo-perhepalvelut-espoo",
        "a key of tests for peers",
    ];
    for verb in ["dump", "show", "history", "ledger"] {
        let result = cluster.run(ADMIN_TOKEN, &[verb, "--output", "json"]);
        assert_eq!(result.code, 0, "{result:?}");
        for secret in secrets {
            // The example's comments name the demo's keys deliberately.
            let shown = result
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
    let cluster = Cluster::new();
    let retire = [
        "server",
        "retire",
        "kaisla-llm",
        "kaisla-llm-0",
        "--why",
        "disk",
    ];
    assert_eq!(cluster.run(ADMIN_TOKEN, &retire).code, 0);
    Cluster::wait(|| {
        let status = cluster
            .run(ADMIN_TOKEN, &["server", "status", "--output", "json"])
            .json();
        let servers = status.as_array().expect("a list");
        servers.iter().all(|row| row[1]["state"] == "leaving")
    });
    let again = cluster.run(ADMIN_TOKEN, &retire);
    assert_eq!(again.code, 3, "{again:?}");
    assert!(again.err.contains("is retired already"));
}

#[test]
fn digest_makes_a_token_that_only_its_owner_reads() {
    use std::os::unix::fs::PermissionsExt as _;
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("token");
    let result = run_without_nodes(&["digest", "--new", file.to_str().expect("a path")]);
    assert_eq!(result.code, 0);
    let token = fs::read_to_string(&file).expect("the token");
    let digest = fescuerack_config::folder::digest(token.trim().as_bytes());
    assert_eq!(result.out.trim(), digest);
    let mode = fs::metadata(&file).expect("its data").permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
}

#[test]
fn completions_name_every_verb() {
    let result = run_without_nodes(&["completions", "bash"]);
    for verb in ["apply", "rollout", "organisation", "top"] {
        assert!(result.out.contains(verb));
    }
}

#[rstest::rstest]
#[case::hoivapolku("hoivapolku-entry-0.yaml")]
#[case::opozivnik("opozivnik-entry-0.yaml")]
fn settings_of_the_examples_are_accepted(#[case] name: &str) {
    let path = example_folder().join("../settings").join(name);
    let settings = fescuerack_node::Settings::read(&path).expect("accepted");
    assert_eq!(settings.instance, "entry-0");
}

// The store applies writes but its answers are lost for a while. The outcome of
// a roll-out step must never be reported as "nothing was changed" when it was
// applied; sending the same request again must settle it.
#[test]
fn step_with_lost_answers_is_never_denied() {
    let cluster = Cluster::new();
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
    let faults = cluster.platform.store_faults();
    let first = std::thread::scope(|scope| {
        let thread = scope.spawn(|| cluster.run(MODEL_TEAM_TOKEN, &step));
        std::thread::sleep(std::time::Duration::from_millis(30));
        faults.set(Fault::DropAnswers, 1);
        thread.join().expect("it ran")
    });
    faults.set(Fault::DropAnswers, 0);
    let status = || cluster.rollouts();
    let stepped = status()[0]["stage"] == 2;
    match first.code {
        0 => assert!(stepped, "{first:?}"),
        6 => assert!(!stepped, "{first:?}"),
        7 => {}
        _ => panic!("{first:?}"),
    }
    let second = cluster.run(MODEL_TEAM_TOKEN, &step);
    assert_eq!(second.code, 0, "{second:?}");
    assert_eq!(status()[0]["stage"], 2, "{first:?} {second:?}");
}

// The answer to a step is lost. When the step is sent again under the same
// identifier, the first one is already active, so the proposal is based on other
// digests. It must be recognised: neither refused nor applied twice.
#[test]
fn step_sent_again_when_in_force_is_recognised() {
    let cluster = Cluster::new();
    let step = ["rollout", "step", "kaisla-mini", "--why", "w"];
    let step = [&step[..], &["--request", "r-1", "--output", "json"]].concat();
    for unchanged in [false, true] {
        let result = cluster.run(MODEL_TEAM_TOKEN, &step);
        assert_eq!(result.code, 0, "{result:?}");
        let outcome = result.json();
        assert_eq!(outcome["in_force_everywhere"], true);
        assert_eq!(outcome["revision"], 2);
        assert_eq!(outcome["unchanged"], unchanged);
    }
}

// Operators step the same roll-out at the same time. Only one step was meant;
// two would expose four times as many sessions to the candidate.
#[test]
fn step_by_two_operators_at_once_is_one_step() {
    let cluster = Cluster::new();
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
    let results: Vec<_> = std::thread::scope(|scope| {
        let threads = [ADMIN_TOKEN, MODEL_TEAM_TOKEN, ADMIN_TOKEN, MODEL_TEAM_TOKEN]
            .map(|token| scope.spawn(|| cluster.run(token, &step)));
        threads.map(|thread| thread.join().expect("it ran")).into()
    });
    assert!(
        results.iter().all(|result| [0, 4].contains(&result.code)),
        "{results:?}"
    );
    // An accepted request that changed nothing reports `unchanged`. An operator who
    // read the files after another's step bases a further step on it.
    let accepted = results.iter().filter(|result| result.code == 0);
    let changes = accepted
        .filter(|result| result.json()["unchanged"] == false)
        .count();
    let status = cluster.rollouts();
    let stage = status[0]["stage"].as_u64().expect("a stage");
    assert_eq!(
        stage,
        1 + u64::try_from(changes).expect("few"),
        "{results:?}"
    );
    let history = cluster
        .run(ADMIN_TOKEN, &["history", "--output", "json"])
        .json();
    assert_eq!(
        history["changes"].as_array().map(Vec::len),
        Some(1 + changes)
    );
}
