//! Upgrades: two builds of the program work with the same settings and store, one
//! after the other and beside each other.
//!
//! Without another build (`program`) both are the build under test.

use fescuerack_client::HttpStore;
use fescuerack_client::ledger::{self, Totals};
use fescuerack_wire::header;
use rstest::rstest;
use serde_json::{Value, json};

use crate::claims::{book, outcome};
use crate::program::Build;
use crate::support::{Cluster, Process, client, wait_until};
use crate::versions::{
    CANDIDATE, CHEAP, ask, read, rollout, wait_until_active, wait_until_informed,
};

/// Token of the operator who may change the roll-outs.
const TOKEN: &str = "demo-operator-model-team";
/// Organisation of the callers.
const ORGANISATION: &str = "perhepalvelut-espoo";
/// Milliseconds for which a caller waits.
const DEADLINE_MS: u64 = 2_000;
/// Every setting that [`Cluster`] does not set, so that both builds must accept
/// each of them.
const SETTINGS: &str = "\
fleet: fescuerack
logs: {level: info, json: true}
statsd: ''
limits:
  concurrency: 300
  connections: 5000
  workers: 2
  body_bytes: 1000000
  header_timeout_ms: 4000
  body_timeout_ms: 9000
  write_timeout_ms: 20000
  ledger_wait_ms: 5
  drain_lag_ms: 0
  drain_deadline_ms: 60000
";

fn totals(cluster: &Cluster) -> Totals {
    let store = HttpStore::new(&cluster.platform.address());
    ledger::totals(&store).expect("the ledger is readable")
}

/// Returns the number of billed requests of a version or service.
fn billed(totals: &Totals, version: &str) -> u64 {
    let sum = totals.sums[ORGANISATION].get(version);
    sum.map_or(0, |sum| sum.requests)
}

/// Changes the roll-outs through the operators' port of a process; returns the
/// new revision.
fn change_rollouts(process: &Process, rollouts: &str) -> u64 {
    let proposal = json!({
        "request": format!("change-{}", process.instance),
        "why": "test",
        "files": {"40-rollouts.yaml": rollouts},
    });
    let request = client()
        .post(format!("{}/v1/changes", process.operators))
        .header("authorization", format!("Bearer {TOKEN}"));
    let mut response = request.send_json(proposal).expect("an answer");
    let accepted: Value = response.body_mut().read_json().expect("JSON");
    let revision = accepted["revision"].as_u64();
    revision.unwrap_or_else(|| panic!("not accepted: {accepted}"))
}

fn is_halted(process: &Process) -> bool {
    let state = process.state();
    let record = &state["versions"]["rollouts"]["kaisla-mini"]["record"];
    record["halts"][CANDIDATE]["word"] == 1
}

/// Books under an idempotency key; returns the text of the answer and whether it
/// is a recorded one.
fn booked(process: &Process, key: &str) -> (String, bool) {
    let mut response = book(process, Some(key), "virtanen", DEADLINE_MS).expect("an answer");
    assert_eq!(outcome(&response), "done");
    let is_replayed = response.headers().contains_key(header::REPLAYED);
    let text = response.body_mut().read_to_string().expect("a body");
    (text, is_replayed)
}

fn runs(cluster: &Cluster) -> u64 {
    cluster.services[0].runs().values().sum()
}

// An instance changes the configuration, bills answers, records a booking and
// halts a candidate. It shuts down, and an instance of another build starts with
// the same settings and store. If it read any of this differently, it would lose
// bills, book twice or use the bad candidate again.
#[rstest]
#[case::upgrade(Build::Other, Build::Own)]
#[case::downgrade(Build::Own, Build::Other)]
fn start_data_of_another_build_is_used(#[case] before: Build, #[case] after: Build) {
    let cluster = Cluster::new();
    let mut first = cluster.start_build(before, "entry-0", SETTINGS);
    let revision = change_rollouts(&first, &rollout(1, 3));
    wait_until_active(&first, revision);
    wait_until_informed(&first);
    let (confirmation, is_replayed) = booked(&first, "upgrade");
    assert!(!is_replayed);
    cluster.platform.set_quality(CANDIDATE, 0.1);
    let mut answers = 0;
    wait_until("the candidate is halted", || {
        assert_eq!(ask(&first, "auto:chat-reply", None).status(), 200);
        answers += 1;
        is_halted(&first)
    });
    wait_until("the halt is stored", || first.counter("rollouts.kept") > 0);
    first.terminate();
    assert!(first.child.wait().expect("an exit").success());
    let stored = totals(&cluster);
    assert_eq!(stored.total().requests, answers + 1);
    assert_eq!(billed(&stored, "bookings"), 1);
    assert!(billed(&stored, CANDIDATE) > 0);

    let second = cluster.start_build(after, "entry-0", SETTINGS);
    assert_eq!(second.revision(), revision);
    wait_until_informed(&second);
    assert!(is_halted(&second));
    assert_eq!(totals(&cluster), stored);
    assert_eq!(booked(&second, "upgrade"), (confirmation, true));
    assert_eq!(runs(&cluster), 1);
    for _ in 0..8 {
        let answer = ask(&second, "kaisla-mini", None);
        assert_eq!(read(&answer, header::VERSION), CHEAP);
    }
    assert_eq!(ask(&second, CANDIDATE, None).status(), 503);
    // The recorded booking is billed again under its identity, which readers of
    // the ledger drop.
    wait_until("the ledger is stored", || {
        let totals = totals(&cluster);
        totals.total().requests == stored.total().requests + 8
            && totals.duplicates == stored.duplicates + 1
    });
    let risen = totals(&cluster);
    assert_eq!(billed(&risen, CHEAP), billed(&stored, CHEAP) + 8);
    for version in [CANDIDATE, "bookings"] {
        assert_eq!(billed(&risen, version), billed(&stored, version));
    }
}

// Two instances of different builds run beside each other, as in a rolling
// upgrade. Both must answer and bill, a booking of one must not run again on the
// other, and a configuration that either one accepts must become active on both.
#[test]
fn start_instances_of_two_builds_answers_and_bills() {
    const ANSWERS: u64 = 5;
    let cluster = Cluster::new();
    let processes = cluster.start_instances(["entry-0", "entry-1"]);
    for (index, process) in processes.iter().enumerate() {
        let other = &processes[1 - index];
        for _ in 0..ANSWERS {
            assert_eq!(ask(process, "auto:chat-reply", None).status(), 200);
        }
        let (confirmation, is_replayed) = booked(process, &process.instance);
        assert!(!is_replayed);
        assert_eq!(booked(other, &process.instance), (confirmation, true));
    }
    assert_eq!(runs(&cluster), 2);
    wait_until("the ledger is stored", || {
        let totals = totals(&cluster);
        totals.total().requests == 2 * ANSWERS + 2 && totals.duplicates == 2
    });
    assert_eq!(billed(&totals(&cluster), "bookings"), 2);
    for (process, word) in processes.iter().zip(1..) {
        let revision = change_rollouts(process, &rollout(word, 1));
        for process in &processes {
            wait_until_active(process, revision);
        }
    }
}
