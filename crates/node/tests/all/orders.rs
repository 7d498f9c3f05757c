//! Orders to engines: one instance gives them, also when it is paused.

use std::process::Command;

use fescuerack_wire::order::Order;

use crate::support::{Process, World, wait_until};

/// Versions of the fleet `kaisla-llm` in the example configuration.
const VERSIONS: usize = 3;

fn holds(process: &Process) -> bool {
    process.state()["orders"]["kaisla-llm"]["held"] == true
}

fn all_loaded(world: &World) -> bool {
    let mut engines = world.engines.iter();
    engines.all(|engine| engine.orders().loaded().len() == VERSIONS)
}

fn numbers(orders: &[Order]) -> Vec<u64> {
    orders.iter().map(|order| order.number).collect()
}

fn signal(process: &Process, signal: &str) {
    let pid = process.child.id().to_string();
    let status = Command::new("kill").args([signal, &pid]).status();
    assert!(status.is_ok_and(|status| status.success()));
}

// The configuration names three versions and the engines have none. One
// instance orders the loads; nothing is ordered twice.
#[test]
fn engines_are_ordered_to_load_once() {
    let world = World::new();
    let fleet = world.start_fleet(["entry-0", "entry-1"]);
    wait_until("every engine has every version", || all_loaded(&world));
    assert_eq!(fleet.iter().filter(|process| holds(process)).count(), 1);
    for engine in &world.engines {
        assert_eq!(engine.orders().taken().len(), VERSIONS);
    }
}

// One engine is busy and takes no order. The others must get theirs, and the
// instance must not give up the lease as if a newer holder had been seen.
#[test]
fn engine_busy_does_not_end_the_lease() {
    let world = World::new();
    world.engines[0].orders().refuse(true);
    let [process] = world.start_fleet(["entry-0"]);
    wait_until("the others have every version", || {
        let mut others = world.engines[1..].iter();
        others.all(|engine| engine.orders().loaded().len() == VERSIONS)
    });
    process.wait_for("orders.failed", 1);
    assert!(holds(&process));
    assert_eq!(process.counter("orders.fenced"), 0);
    world.engines[0].orders().refuse(false);
    wait_until("the busy one has them later", || all_loaded(&world));
}

// The instance that gives the orders is frozen and its lease lapses. The other
// takes over and orders a load. The first wakes: its orders must not come
// after the newer holder's, although these engines ignore fencing numbers.
#[test]
fn holder_frozen_gives_no_order_after_a_newer_one() {
    let world = World::new();
    world.publish_with("fences: true", "fences: false");
    for engine in &world.engines {
        engine.orders().ignore_fence(true);
    }
    let fleet = world.start_fleet(["entry-0", "entry-1"]);
    wait_until("every engine has every version", || all_loaded(&world));
    let frozen = fleet.iter().find(|process| holds(process));
    let frozen = frozen.expect("an instance holds the lease");
    let other = fleet.iter().find(|process| !holds(process));
    let other = other.expect("and one does not");
    signal(frozen, "-STOP");
    wait_until("the other instance takes over", || holds(other));
    // An engine that lost its memory gives both something to order.
    for engine in &world.engines {
        engine.orders().forget();
    }
    wait_until("the other instance orders", || all_loaded(&world));
    for engine in &world.engines {
        engine.orders().forget();
    }
    signal(frozen, "-CONT");
    wait_until("somebody orders", || all_loaded(&world));
    wait_until("the woken instance knows", || !holds(frozen));
    for engine in &world.engines {
        let numbers = numbers(&engine.orders().taken());
        assert!(numbers.is_sorted(), "{numbers:?}");
    }
}
