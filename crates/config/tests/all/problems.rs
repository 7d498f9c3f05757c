//! Problems are reported with file and line, all of them in one run.

use fescuerack_config::{Catalog, Folder, Merged, Names};
use rstest::rstest;

fn problems(files: &[(&str, &str)]) -> Vec<String> {
    let folder = files.iter().fold(Folder::new(), |folder, (name, text)| {
        folder.with_file(name, (*text).to_owned())
    });
    let reported = Merged::new(&folder)
        .and_then(|merged| Catalog::new(1, &merged, &mut Names::new()).map(|_| ()));
    let reported = reported.expect_err("the folder holds problems");
    reported.iter().map(ToString::to_string).collect()
}

const BASE: &str = "\
models:
  m: {}
versions:
  m@1: {cost_input: 1, cost_output: 1}
  m@2: {cost_input: 1, cost_output: 1}
backends:
  e: {kind: engine, versions: [m@1]}
  s: {kind: service}
services:
  book: {backend: s}
targets:
  chat: {quality: 0.5, models: [m]}
";

#[rstest]
#[case::key(
    "organisations:\n  a:\n    keys:\n      - short\n",
    "b.yaml:4: organisations/a/keys/0: a key is kept as its SHA-256"
)]
#[case::allow(
    "organisations:\n  a:\n    allow: [m,\n      zz]\n",
    "b.yaml:4: organisations/a/allow/1: zz names no model and no version; defined are m, m@1, m@2"
)]
#[case::service(
    "organisations:\n  a: {services: [pay]}\n",
    "b.yaml:2: organisations/a/services/0: no service is named pay; defined are book"
)]
#[case::weight(
    "organisations:\n  a:\n    weight: 0\n",
    "b.yaml:3: organisations/a/weight: must be at least 1"
)]
#[case::name(
    "organisations:\n  a/b: {}\n",
    "b.yaml:2: organisations/a/b: a name holds 1 to 64 letters"
)]
#[case::model_of_version(
    "versions:\n  n@1: {cost_input: 1, cost_output: 1}\n",
    "b.yaml:2: versions/n@1: the part before `@` must name a model; defined are m"
)]
#[case::quality(
    "versions:\n  m@3:\n    cost_input: 1\n    cost_output: 1\n    quality:\n      chat: 1.5\n",
    "b.yaml:6: versions/m@3/quality/chat: 1.5 must lie between 0 and 1"
)]
#[case::class(
    "versions:\n  m@3:\n    cost_input: 1\n    cost_output: 1\n    quality: {talk: 1}\n",
    "b.yaml:5: versions/m@3/quality/talk: no target is named talk; defined are chat"
)]
#[case::target_model(
    "targets:\n  t:\n    quality: 1\n    models: [x]\n",
    "b.yaml:4: targets/t/models/0: no model is named x; defined are m"
)]
#[case::target_empty(
    "targets:\n  t:\n    quality: 1\n    models: []\n",
    "b.yaml:4: targets/t/models: must name at least one model"
)]
#[case::first_token(
    "targets:\n  t:\n    quality: 1\n    models: [m]\n    deadline_ms: 10\n",
    "b.yaml:2: targets/t/first_token_ms: must not be over deadline_ms, 10"
)]
#[case::current(
    "rollouts:\n  m:\n    current: m@9\n",
    "b.yaml:3: rollouts/m/current: m@9 is no version of m; defined are m@1, m@2"
)]
#[case::candidate(
    "rollouts:\n  m:\n    current: m@1\n    candidate: m@1\n",
    "b.yaml:4: rollouts/m/candidate: must be another version than current"
)]
#[case::stages(
    "rollouts:\n  m:\n    current: m@1\n    stages: [0.5, 0.2]\n",
    "b.yaml:4: rollouts/m/stages: shares must rise"
)]
#[case::stage(
    "rollouts:\n  m:\n    current: m@1\n    stage: 5\n",
    "b.yaml:4: rollouts/m/stage: 5 must be a position in stages, 0 to 4"
)]
#[case::rollout_model(
    "rollouts:\n  x: {current: m@1}\n",
    "b.yaml:2: rollouts/x: no model has this name; defined are m"
)]
#[case::served(
    "backends:\n  f:\n    kind: engine\n    versions: [m@1, m@1]\n",
    "b.yaml:4: backends/f/versions/1: m@1 stands here twice"
)]
#[case::service_versions(
    "backends:\n  f:\n    kind: service\n    versions: [m@1]\n",
    "b.yaml:4: backends/f/versions: only a fleet of kind `engine` serves versions"
)]
#[case::service_kind(
    "services:\n  pay: {backend: e}\n",
    "b.yaml:2: services/pay/backend: e must be a backend of kind `service`"
)]
#[case::backend(
    "services:\n  pay: {backend: z}\n",
    "b.yaml:2: services/pay/backend: no backend is named z; defined are e, s"
)]
#[case::operator(
    "operators:\n  o:\n    tokens: [abc]\n    organisations: [q]\n",
    "b.yaml:3: operators/o/tokens/0: a token is kept as its SHA-256"
)]
#[case::limit_bounds(
    "limits:\n  admission.queue: -1\n",
    "b.yaml:2: limits/admission.queue: must lie between 0 and 64"
)]
#[case::limit_unknown(
    "limits:\n  a: 1\n",
    "b.yaml:2: limits/a: no such limit; accepted are admission."
)]
#[case::doubled(
    "models:\n  m: {}\n",
    "b.yaml:2: models/m already stands in a.yaml; an entry may stand in one file only"
)]
fn compile_problem_names_line_and_accepted_values(#[case] text: &str, #[case] expected: &str) {
    let reported = problems(&[("a.yaml", BASE), ("b.yaml", text)]);
    assert!(
        reported.iter().any(|problem| problem.starts_with(expected)),
        "{reported:#?}"
    );
}

#[rstest]
#[case::unknown_field(
    "organisations:\n  a: {}\n  b:\n    wieght: 3\n",
    "b.yaml:4: organisations/b/wieght: unknown field `wieght`, expected one of `keys`"
)]
#[case::unknown_section(
    "organisation:\n  a: {}\n",
    "b.yaml:1: no section is named organisation; the sections are operators, organisations,"
)]
#[case::wrong_type(
    "versions:\n  m@1:\n    cost_input: dear\n    cost_output: 1\n",
    "b.yaml:3: versions/m@1/cost_input: invalid type: string \"dear\", expected a whole number"
)]
#[case::missing(
    "versions:\n  m@1:\n    cost_input: 1\n",
    "b.yaml:2: versions/m@1: missing field `cost_output`"
)]
#[case::variant(
    "backends:\n  e:\n    kind: gpu\n",
    "b.yaml:3: backends/e/kind: unknown variant `gpu`, expected `engine` or `service`"
)]
#[case::syntax("organisations:\n  a: [\n", "b.yaml:")]
#[case::twice("organisations:\n  a: {}\n  a: {}\n", "b.yaml:3: ")]
fn parse_problem_names_line_and_accepted_values(#[case] text: &str, #[case] expected: &str) {
    let reported = problems(&[("b.yaml", text)]);
    assert!(reported[0].starts_with(expected), "{reported:#?}");
    assert!(!reported[0].starts_with("b.yaml:0"), "{reported:#?}");
}

// Guards against reporting only the first error: a team lead would correct a
// long file line by line, with one run for each error, while callers wait.
#[test]
fn merge_reports_the_problems_of_all_files() {
    let first = "organisations:\n  a:\n    weight: -1\n    kees: []\n  b:\n    weight: x\n";
    let second = "targets:\n  t: {quality: high}\n";
    let reported = problems(&[("1.yaml", first), ("2.yaml", second)]);
    let positions: Vec<_> = reported
        .iter()
        .map(|problem| problem.split(": ").next().expect("a position"))
        .collect();
    assert_eq!(
        positions,
        ["1.yaml:3", "1.yaml:4", "1.yaml:6", "2.yaml:2", "2.yaml:2"],
        "{reported:#?}"
    );
}

#[test]
fn merge_takes_the_last_limit() {
    let folder = Folder::new()
        .with_file("a.yaml", "limits: {x: 1, y: 2}\n")
        .with_file("b.yaml", "limits: {x: 3}\n")
        .with_file("c.yaml", "");
    let merged = Merged::new(&folder).expect("no problems");
    assert_eq!(merged.file.limits["x"].to_bits(), 3f64.to_bits());
    assert_eq!(merged.position("limits/x"), ("b.yaml", 1));
    assert_eq!(merged.position("limits/y"), ("a.yaml", 1));
}

#[test]
fn merge_combines_sections_of_several_files() {
    let folder = Folder::new()
        .with_file("9-b.yaml", "models:\n  b: {}\n")
        .with_file("10-a.yaml", "models:\n  a: {}\n");
    let merged = Merged::new(&folder).expect("no problems");
    assert_eq!(merged.file.models.len(), 2);
    assert_eq!(merged.position("models/a/note"), ("10-a.yaml", 2));
    let names: Vec<_> = folder.files.keys().collect();
    assert_eq!(names, ["10-a.yaml", "9-b.yaml"]);
}
