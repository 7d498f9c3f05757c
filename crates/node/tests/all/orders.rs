//! Orders to engines: only one instance sends them, even if it is paused.

use std::process::Command;

use fescuerack_wire::order::EngineOrder;

use crate::support::{Cluster, Process, wait_until};

/// Versions of the fleet `kaisla-llm` in the example configuration.
const VERSIONS: usize = 3;

fn holds_lease(process: &Process) -> bool {
    process.state()["orders"]["kaisla-llm"]["held"] == true
}

fn all_loaded(cluster: &Cluster) -> bool {
    let mut engines = cluster.engines.iter();
    engines.all(|engine| engine.orders().loaded().len() == VERSIONS)
}

fn fencing_tokens(orders: &[EngineOrder]) -> Vec<u64> {
    orders.iter().map(|order| order.fencing_token).collect()
}

fn signal(process: &Process, signal: &str) {
    let pid = process.child.id().to_string();
    let status = Command::new("kill").args([signal, &pid]).status();
    assert!(status.is_ok_and(|status| status.success()));
}

// The configuration lists three versions and the engines have none loaded. One
// instance must order the loads, and none may be ordered twice.
#[test]
fn engines_are_ordered_to_load_once() {
    let cluster = Cluster::new();
    let processes = cluster.start_instances(["entry-0", "entry-1"]);
    wait_until("every engine has every version", || all_loaded(&cluster));
    assert_eq!(
        processes
            .iter()
            .filter(|process| holds_lease(process))
            .count(),
        1
    );
    for engine in &cluster.engines {
        assert_eq!(engine.orders().executed().len(), VERSIONS);
    }
}

// One engine is busy and refuses orders. The other engines must still get
// theirs, and the instance must not release its lease, as it would after a
// refusal because of a higher fencing token.
#[test]
fn engine_busy_does_not_end_the_lease() {
    let cluster = Cluster::new();
    cluster.engines[0].orders().set_refuses_all(true);
    let [process] = cluster.start_instances(["entry-0"]);
    wait_until("the other engines have every version", || {
        let mut others = cluster.engines[1..].iter();
        others.all(|engine| engine.orders().loaded().len() == VERSIONS)
    });
    process.wait_for("orders.failed", 1);
    assert!(holds_lease(&process));
    assert_eq!(process.counter("orders.fenced"), 0);
    cluster.engines[0].orders().set_refuses_all(false);
    wait_until("the busy engine has every version later", || {
        all_loaded(&cluster)
    });
}

// The instance that sends the orders is suspended and its lease lapses. The
// other instance takes over and orders a load. When the first one resumes, its
// orders must not follow those of the new lease holder, although these engines
// ignore fencing tokens.
#[test]
fn holder_frozen_gives_no_order_after_a_newer_one() {
    let cluster = Cluster::new();
    cluster.publish_with("fences: true", "fences: false");
    for engine in &cluster.engines {
        engine.orders().set_ignores_fencing(true);
    }
    let processes = cluster.start_instances(["entry-0", "entry-1"]);
    wait_until("every engine has every version", || all_loaded(&cluster));
    let frozen = processes.iter().find(|process| holds_lease(process));
    let frozen = frozen.expect("an instance holds the lease");
    let other = processes.iter().find(|process| !holds_lease(process));
    let other = other.expect("an instance without the lease");
    signal(frozen, "-STOP");
    wait_until("the other instance takes over", || holds_lease(other));
    // The engines forget their versions, so that both instances have something
    // to order.
    for engine in &cluster.engines {
        engine.orders().unload_all();
    }
    wait_until("the other instance orders", || all_loaded(&cluster));
    for engine in &cluster.engines {
        engine.orders().unload_all();
    }
    signal(frozen, "-CONT");
    wait_until("an instance orders", || all_loaded(&cluster));
    wait_until("the resumed instance has lost the lease", || {
        !holds_lease(frozen)
    });
    for engine in &cluster.engines {
        let fencing_tokens = fencing_tokens(&engine.orders().executed());
        assert!(fencing_tokens.is_sorted(), "{fencing_tokens:?}");
    }
}
