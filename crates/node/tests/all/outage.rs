//! Outages of the store: what goes on, and that nothing is lost.

use std::time::Duration;

use fescuerack_client::{HttpStore, ledger};
use fescuerack_standin::Fault;
use serde_json::{Value, json};

use crate::claims::outcome;
use crate::support::{KEY, Process, World, client, wait_until};

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

fn billed(world: &World) -> (u64, u64) {
    let store = HttpStore::new(&world.platform.address());
    let totals = ledger::totals(&store).expect("the ledger is readable");
    (totals.total().requests, totals.duplicates)
}

// The store is out for a while. Parents' chat must not notice, and every
// answer of that time is billed once when the store is back.
#[test]
fn chat_store_out_is_billed_once() {
    let world = World::new();
    let process = world.start("entry-0");
    let store = world.platform.store_faults();
    store.set(Fault::Down, 1);
    for _ in 0..5 {
        assert_eq!(chat(&process), "done");
    }
    assert_eq!(process.state()["ledger"]["pending"], 5);
    store.set(Fault::Down, 0);
    wait_until("the ledger is kept", || billed(&world).0 == 5);
    assert!(process.is_ready());
}

// Instances are replaced in a long outage. The one that ends hands its ledger
// to a peer, which writes it when the store is back.
#[test]
fn drain_store_out_hands_off() {
    let world = World::new();
    let [mut first, second] = world.start_fleet(["entry-0", "entry-1"]);
    world.platform.store_faults().set(Fault::Down, 1);
    for _ in 0..3 {
        assert_eq!(chat(&first), "done");
    }
    assert_eq!(chat(&second), "done");
    first.terminate();
    assert!(first.child.wait().expect("an exit").success());
    assert_eq!(billed_while_out(&world), 0);
    world.platform.store_faults().set(Fault::Down, 0);
    wait_until("the ledger is kept", || billed(&world).0 == 4);
    wait_until("the peer has nothing left", || {
        second.state()["ledger"]["pending"] == 0
    });
    assert_eq!(billed(&world).0, 4);
}

fn billed_while_out(world: &World) -> usize {
    world
        .platform
        .with_store(|store| store.keys("ledger/", 0).items.len())
}

// In an outage an instance answers and is killed at once. A peer has a copy of
// the entry and writes it after the owner has been silent.
#[test]
fn kill_store_out_peer_keeps_the_entry() {
    let world = World::new();
    let [mut first, second] = world.start_fleet(["entry-0", "entry-1"]);
    world.platform.store_faults().set(Fault::Down, 1);
    assert_eq!(chat(&first), "done");
    wait_until("a copy is held", || {
        second.state()["ledger"]["copies_held"] == 1
    });
    first.child.kill().expect("it is killed");
    first.child.wait().expect("it ends");
    world.platform.store_faults().set(Fault::Down, 0);
    wait_until("the peer has kept it", || billed(&world).0 == 1);
}

// An instance is replaced in an outage: the new one takes the verified
// configuration of a peer and says so.
#[test]
fn start_store_out_takes_a_peers_configuration() {
    let world = World::new();
    let first = world.start("entry-0");
    world.list_own(&first);
    world.platform.store_faults().set(Fault::Down, 1);
    let second = world.start("entry-1");
    assert_eq!(second.revision(), first.revision());
    let source = second.state()["configuration"]["source"].clone();
    assert_eq!(source["peer"], first.peers.as_str());
    assert_eq!(chat(&second), "done");
}

// Without store and without peers there is no configuration to go by: the
// instance takes no callers and says so, rather than guess.
#[test]
fn start_store_out_alone_takes_no_callers() {
    let world = World::new();
    world.platform.store_faults().set(Fault::Down, 1);
    let process = world.spawn("entry-0", "drain_lag_ms: 0");
    wait_until("the store was tried", || {
        let state = client().get(format!("{}/state", process.operators)).call();
        state.is_ok() && process.counter("force.store_failed") > 1
    });
    assert!(!process.is_ready());
    assert_eq!(chat(&process), "not-run");
    world.platform.store_faults().set(Fault::Down, 0);
    wait_until("it becomes ready", || process.is_ready());
}

// The store answers, but late, for a long time: claims take longer and still
// run, and chat does not notice.
#[test]
fn store_slow_goes_on() {
    let world = World::new();
    let process = world.start("entry-0");
    let store = world.platform.store_faults();
    store.set(Fault::SlowMs, 300);
    assert_eq!(chat(&process), "done");
    let booked = crate::claims::book(&process, Some("slow"), "virtanen", 10_000);
    assert_eq!(outcome(&booked.expect("an answer")), "done");
    store.set(Fault::SlowMs, 0);
    wait_until("the ledger is kept", || billed(&world).0 == 2);
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(billed(&world).0, 2);
}
