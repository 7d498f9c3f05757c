//! Outages of the store: requests are served, and no ledger entry is lost.

use std::time::Duration;

use fescuerack_client::{HttpStore, ledger};
use fescuerack_standin::Fault;
use serde_json::{Value, json};

use crate::claims::outcome;
use crate::support::{Cluster, KEY, Process, client, wait_until};

fn chat(process: &Process) -> String {
    let url = format!("{}/v1/chat/completions", process.callers);
    let body: Value = json!({
        "model": "auto:chat-reply",
        "max_tokens": 4,
        "messages": [{"role": "user", "content": "Who can sit tonight?"}],
    });
    let request = client()
        .post(url)
        .header("authorization", format!("Bearer {KEY}"));
    outcome(&request.send_json(&body).expect("an answer"))
}

fn billed(cluster: &Cluster) -> (u64, u64) {
    let store = HttpStore::new(&cluster.platform.address());
    let totals = ledger::totals(&store).expect("the ledger is readable");
    (totals.total().requests, totals.duplicates)
}

// The store is unavailable for a while. Chat requests must still be answered,
// and every answer of that time must be billed exactly once when the store is
// back.
#[test]
fn chat_store_unavailable_is_billed_once() {
    let cluster = Cluster::new();
    let process = cluster.start("entry-0");
    let store = cluster.platform.store_faults();
    store.set(Fault::Down, 1);
    for _ in 0..5 {
        assert_eq!(chat(&process), "done");
    }
    assert_eq!(process.state()["ledger"]["pending"], 5);
    store.set(Fault::Down, 0);
    wait_until("the ledger is stored", || billed(&cluster).0 == 5);
    assert!(process.is_ready());
}

// An instance shuts down during a long store outage. It must hand its ledger to
// a peer, which writes it when the store is back.
#[test]
fn drain_store_unavailable_hands_off() {
    let cluster = Cluster::new();
    let [mut first, second] = cluster.start_instances(["entry-0", "entry-1"]);
    cluster.platform.store_faults().set(Fault::Down, 1);
    for _ in 0..3 {
        assert_eq!(chat(&first), "done");
    }
    assert_eq!(chat(&second), "done");
    first.terminate();
    assert!(first.child.wait().expect("an exit").success());
    assert_eq!(stored_segments(&cluster), 0);
    cluster.platform.store_faults().set(Fault::Down, 0);
    wait_until("the ledger is stored", || billed(&cluster).0 == 4);
    wait_until("the peer has nothing left", || {
        second.state()["ledger"]["pending"] == 0
    });
    assert_eq!(billed(&cluster).0, 4);
}

/// Returns the number of ledger segments in the store, without a call.
fn stored_segments(cluster: &Cluster) -> usize {
    cluster
        .platform
        .with_store(|store| store.keys("ledger/", 0).items.len())
}

// During a store outage an instance answers a request and is killed right
// afterwards. A peer that holds a copy of the entry must write it once the owner
// has sent no message for some time.
#[test]
fn kill_store_unavailable_peer_keeps_the_entry() {
    let cluster = Cluster::new();
    let [mut first, second] = cluster.start_instances(["entry-0", "entry-1"]);
    cluster.platform.store_faults().set(Fault::Down, 1);
    assert_eq!(chat(&first), "done");
    wait_until("a copy is held", || {
        second.state()["ledger"]["copies_held"] == 1
    });
    first.child.kill().expect("it is killed");
    first.child.wait().expect("it ends");
    cluster.platform.store_faults().set(Fault::Down, 0);
    wait_until("the peer has written it", || billed(&cluster).0 == 1);
}

// An instance starts during a store outage. It must activate the verified
// configuration of a peer and report the peer as the source.
#[test]
fn start_store_unavailable_takes_a_peers_configuration() {
    let cluster = Cluster::new();
    let first = cluster.start("entry-0");
    cluster.list_own(&first);
    cluster.platform.store_faults().set(Fault::Down, 1);
    let second = cluster.start("entry-1");
    assert_eq!(second.revision(), first.revision());
    let source = second.state()["configuration"]["source"].clone();
    assert_eq!(source["peer"], first.peers.as_str());
    assert_eq!(chat(&second), "done");
}

// An instance starts with neither store nor peers, and so has no configuration.
// It must not become ready, and must refuse requests as not run.
#[test]
fn start_store_unavailable_alone_takes_no_callers() {
    let cluster = Cluster::new();
    cluster.platform.store_faults().set(Fault::Down, 1);
    let process = cluster.spawn("entry-0", "drain_lag_ms: 0");
    wait_until("the store was tried", || {
        let state = client().get(format!("{}/state", process.operators)).call();
        state.is_ok() && process.counter("force.store_failed") > 1
    });
    assert!(!process.is_ready());
    assert_eq!(chat(&process), "not-run");
    cluster.platform.store_faults().set(Fault::Down, 0);
    wait_until("it becomes ready", || process.is_ready());
}

// The store answers, but slowly, for a long time. Calls with a claim must still
// run, although later, and chat requests must be answered.
#[test]
fn chat_and_claim_store_slow_are_answered() {
    let cluster = Cluster::new();
    let process = cluster.start("entry-0");
    let store = cluster.platform.store_faults();
    store.set(Fault::DelayMs, 300);
    assert_eq!(chat(&process), "done");
    let booked = crate::claims::book(&process, Some("slow"), "virtanen", 10_000);
    assert_eq!(outcome(&booked.expect("an answer")), "done");
    store.set(Fault::DelayMs, 0);
    wait_until("the ledger is stored", || billed(&cluster).0 == 2);
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(billed(&cluster).0, 2);
}
