//! Settings from file and environment, and the reports of invalid ones.

use fescuerack_node::{Settings, variables};
use rstest::rstest;

const GOOD: &str = "\
instance: entry-0
zone: espoo-a
platform: 10.0.0.2:7000
peer_key: a key for the tests
listen:
  callers: 10.0.0.7:8080
  operators: 10.0.0.7:8081
  peers: 10.0.0.7:8082
limits:
  concurrency: 200
";

fn parse(text: &str, variables: &[(&str, &str)]) -> Result<Settings, Vec<String>> {
    let variables = variables
        .iter()
        .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()));
    let settings = Settings::parse("node.yaml", text, variables);
    settings.map_err(|problems| problems.iter().map(ToString::to_string).collect())
}

#[test]
fn parse_takes_defaults() {
    let settings = parse(GOOD, &[]).expect("good settings");
    assert_eq!(settings.limits.concurrency, 200);
    assert_eq!(settings.limits.drain_lag_ms, 5_000);
    assert_eq!(settings.logs.level, "info");
}

#[test]
fn parse_environment_overrides_file() {
    let variables = [
        ("FESCUERACK_INSTANCE", "7"),
        ("FESCUERACK_LISTEN_CALLERS", "10.0.0.9:80"),
        ("FESCUERACK_LIMITS_DRAIN_LAG_MS", "250"),
        ("FESCUERACK_LOGS_JSON", "true"),
        ("FESCUERACK_SEED", "of a test"),
    ];
    let settings = parse(GOOD, &variables).expect("good settings");
    assert_eq!(settings.instance, "7");
    assert_eq!(settings.listen.callers, "10.0.0.9:80");
    assert_eq!(settings.limits.drain_lag_ms, 250);
    assert_eq!(settings.limits.concurrency, 200);
    assert!(settings.logs.json);
}

// Each error must name the file and line (or the variable), the setting and the
// accepted values, so that it can be corrected without reading the code.
#[rstest]
#[case::unknown_setting("  concurrency: 200", "  concurency: 200", &["node.yaml:10: ", "concurency", "concurrency"])]
#[case::wrong_type("  concurrency: 200", "  concurrency: many", &["node.yaml:10: limits.concurrency: ", "many"])]
#[case::out_of_range("  concurrency: 200", "  concurrency: 0", &["node.yaml:10: limits.concurrency: is 0; accepted are 1 to 100000"])]
#[case::no_address("  callers: 10.0.0.7:8080", "  callers: here", &["node.yaml:6: listen.callers: is `here`; accepted is an IP number and a port"])]
#[case::scheme("platform: 10.0.0.2:7000", "platform: http://10.0.0.2", &["node.yaml:3: platform: ", "without a scheme"])]
#[case::empty_name("instance: entry-0", "instance: \"\"", &["node.yaml:1: instance: "])]
#[case::missing("zone: espoo-a\n", "", &["node.yaml:", "zone"])]
#[case::short_key("peer_key: a key for the tests", "peer_key: k", &["node.yaml:4: peer_key: must hold at least 16 bytes"])]
#[case::drain("  concurrency: 200", "  drain_lag_ms: 500\n  drain_deadline_ms: 400", &["node.yaml:11: limits.drain_deadline_ms: is 400; accepted is more than"])]
#[case::syntax("instance: entry-0", "instance: [", &["node.yaml:"])]
fn parse_error_names_line_and_accepted_values(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &[&str],
) {
    let text = GOOD.replace(from, to);
    assert_ne!(text, GOOD);
    let report = parse(&text, &[]).expect_err("wrong settings").join("\n");
    for part in expected {
        assert!(report.contains(part), "`{part}` is not in: {report}");
    }
}

#[rstest]
#[case::out_of_range(
    "FESCUERACK_LIMITS_WORKERS",
    "0",
    "limits.workers: is 0; accepted are 1 to 1024"
)]
#[case::wrong_type("FESCUERACK_LIMITS_WORKERS", "two", "limits.workers: ")]
#[case::misspelt(
    "FESCUERACK_LIMITS_WORKER",
    "2",
    "accepted are FESCUERACK_LIMITS_CONCURRENCY"
)]
fn parse_error_names_variable(#[case] variable: &str, #[case] value: &str, #[case] expected: &str) {
    let problems = parse(GOOD, &[(variable, value)]).expect_err("a wrong variable");
    let report = problems.join("\n");
    assert!(
        report.contains(&format!("environment {variable}")),
        "{report}"
    );
    assert!(report.contains(expected), "{report}");
}

// The list of variables is separate from the settings' types. A setting that is
// missing in the list could not be set from the environment.
#[test]
fn variables_cover_every_setting() {
    let settings = format!("{:?}", parse(GOOD, &[]).expect("good settings"));
    let names = settings
        .split(|letter: char| !(letter.is_ascii_lowercase() || letter == '_' || letter == ':'))
        .filter_map(|word| word.strip_suffix(':'))
        .filter(|word| !word.is_empty() && !["listen", "limits", "logs"].contains(word));
    let known = variables();
    for name in names {
        let found = known
            .iter()
            .any(|(setting, _)| setting.rsplit('.').next() == Some(name));
        assert!(found, "{name} has no variable");
    }
    let names: std::collections::BTreeSet<_> = known.iter().map(|(_, name)| name).collect();
    assert_eq!(names.len(), known.len());
}
