//! At-most-once calls: the same idempotency key sent to any instance, with an
//! instance killed at each step.

use std::time::Duration;

use fescuerack_standin::Fault;
use fescuerack_wire::header;
use rstest::rstest;
use serde_json::json;

use crate::support::{Cluster, KEY, Process, client, wait_until};

type Response = ureq::http::Response<ureq::Body>;

/// Milliseconds for which a caller waits.
const DEADLINE_MS: u64 = 2_000;

/// Sends a booking; returns `None` if the connection broke.
pub fn book(
    process: &Process,
    key: Option<&str>,
    body: &str,
    deadline_ms: u64,
) -> Option<Response> {
    let url = format!("{}/v1/services/bookings/confirm", process.callers);
    let mut request = client()
        .post(url)
        .header("authorization", format!("Bearer {KEY}"))
        .header(header::DEADLINE, deadline_ms.to_string());
    if let Some(key) = key {
        request = request.header(header::IDEMPOTENCY, key);
    }
    request.send_json(json!({"family": body})).ok()
}

/// Returns the header that names the outcome.
pub fn outcome(response: &Response) -> String {
    let value = response.headers().get(header::OUTCOME);
    value
        .map_or("", |value| value.to_str().expect("text"))
        .to_owned()
}

fn runs(cluster: &Cluster) -> u64 {
    cluster.services[0].runs().values().sum()
}

/// Step at which an instance is killed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Claiming,
    Running,
    Recording,
    Answered,
}

// An instance is killed during a booking: before the claim is stored, while the
// service runs the call, before the answer is recorded, or after it was sent. The
// caller sends the booking again through another instance. The service's count
// shows that it never runs twice.
#[rstest]
#[case::claiming(Step::Claiming)]
#[case::running(Step::Running)]
#[case::recording(Step::Recording)]
#[case::answered(Step::Answered)]
fn booking_killed_runs_once(#[case] step: Step) {
    let cluster = Cluster::new();
    let mut first = cluster.start("entry-0");
    let second = cluster.start("entry-1");
    let service = cluster.services[0].faults();
    let store = cluster.platform.store_faults();
    match step {
        Step::Claiming => store.set(Fault::DelayMs, 400),
        Step::Running | Step::Recording => service.set(Fault::DelayMs, 400),
        Step::Answered => {}
    }
    let first_address = Process::address_of(&first);
    let caller = std::thread::spawn(move || {
        let url = format!("{first_address}/v1/services/bookings/confirm");
        let request = client()
            .post(url)
            .header("authorization", format!("Bearer {KEY}"));
        let request = request.header(header::IDEMPOTENCY, "killed");
        request.send_json(json!({"family": "virtanen"})).is_ok()
    });
    match step {
        Step::Claiming => std::thread::sleep(Duration::from_millis(150)),
        Step::Running => wait_until("the service works", || runs(&cluster) == 1),
        Step::Recording => {
            wait_until("the service works", || runs(&cluster) == 1);
            store.set(Fault::Down, 1);
            std::thread::sleep(Duration::from_millis(600));
        }
        Step::Answered => wait_until("the booking is done", || first.counter("callers.done") == 1),
    }
    first.child.kill().expect("it is killed");
    first.child.wait().expect("it ends");
    let answered = caller.join().expect("the caller ends");
    for fault in [Fault::DelayMs, Fault::Down] {
        store.set(fault, 0);
        service.set(fault, 0);
    }
    let response = book(&second, Some("killed"), "virtanen", DEADLINE_MS).expect("an answer");
    let (status, outcome) = (response.status().as_u16(), outcome(&response));
    match step {
        Step::Claiming => assert!(["done", "unknown"].contains(&outcome.as_str())),
        Step::Running | Step::Recording => {
            assert!(!answered || step == Step::Recording);
            assert_eq!(outcome, "unknown", "status {status}");
        }
        Step::Answered => {
            assert_eq!(outcome, "done");
            assert!(response.headers().contains_key(header::REPLAYED));
        }
    }
    assert!(runs(&cluster) <= 1, "{step:?}: booked twice");
}

// The store accepts a claim but its answers are lost repeatedly. An instance that
// took this for a failure would either never run the booking or run it twice.
#[test]
fn booking_lost_answers_runs_once() {
    let cluster = Cluster::new();
    let [first, second] = cluster.start_instances(["entry-0", "entry-1"]);
    let store = cluster.platform.store_faults();
    store.set(Fault::DropAnswers, 1);
    let address = Process::address_of(&first);
    let caller = std::thread::spawn(move || {
        let url = format!("{address}/v1/services/bookings/confirm");
        let request = client()
            .post(url)
            .header("authorization", format!("Bearer {KEY}"));
        let request = request.header(header::IDEMPOTENCY, "lost");
        let response = request.send_json(json!({"family": "korhonen"}));
        outcome(&response.expect("an answer"))
    });
    let claims = || {
        cluster
            .platform
            .with_store(|store| store.keys("claim/", 0).items.len())
    };
    wait_until("the claim took effect", || claims() == 1);
    store.set(Fault::DropAnswers, 0);
    assert_eq!(caller.join().expect("the caller ends"), "done");
    let again = book(&second, Some("lost"), "korhonen", DEADLINE_MS).expect("an answer");
    assert!(again.headers().contains_key(header::REPLAYED));
    assert_eq!(runs(&cluster), 1);
}

// Another booking is sent under a key that was already used. Replaying the first
// answer would confirm a booking that was never made.
#[test]
fn booking_other_body_is_refused() {
    let cluster = Cluster::new();
    let process = cluster.start("entry-0");
    let first = book(&process, Some("one"), "virtanen", DEADLINE_MS).expect("an answer");
    assert_eq!(outcome(&first), "done");
    let other = book(&process, Some("one"), "korhonen", DEADLINE_MS).expect("an answer");
    assert_eq!(
        (other.status().as_u16(), outcome(&other).as_str()),
        (409, "not-run")
    );
    assert_eq!(runs(&cluster), 1);
}

// A client without an idempotency key times out and sends its booking again. A
// resent call could not be told from a new one, so a call without a key is refused
// at once.
#[test]
fn booking_without_key_is_refused() {
    let cluster = Cluster::new();
    let process = cluster.start("entry-0");
    let response = book(&process, None, "virtanen", DEADLINE_MS).expect("an answer");
    assert_eq!(
        (response.status().as_u16(), outcome(&response).as_str()),
        (400, "not-run")
    );
    assert_eq!(runs(&cluster), 0);
}

// The store is unavailable: a booking waits, as the store may return, and is then
// refused as not run. The same key works once the store is back.
#[test]
fn booking_store_unavailable_is_not_run() {
    let cluster = Cluster::new();
    let process = cluster.start("entry-0");
    let store = cluster.platform.store_faults();
    store.set(Fault::Down, 1);
    let refused = book(&process, Some("out"), "virtanen", 600).expect("an answer");
    assert_eq!(
        (refused.status().as_u16(), outcome(&refused).as_str()),
        (503, "not-run")
    );
    assert_eq!(runs(&cluster), 0);
    store.set(Fault::Down, 0);
    wait_until("the abandoned claim is recorded as not run", || {
        let again = book(&process, Some("out"), "virtanen", DEADLINE_MS);
        again.is_some_and(|again| outcome(&again) == "done")
    });
    assert_eq!(runs(&cluster), 1);
}
