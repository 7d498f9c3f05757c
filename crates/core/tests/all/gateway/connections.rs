//! Tests of the connections of callers, under more of them than there may be.

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::connections::{Admission, Connections, Key};

const MAX: usize = 3;

const fn at(millis: u64) -> Instant {
    Instant::from_millis(100_000 + millis)
}

fn open(connections: &mut Connections, millis: u64) -> Key {
    match connections.open(at(millis)) {
        Admission::Opened(key) => key,
        other => panic!("{other:?}"),
    }
}

/// Guards against connections without a request that keep out new ones.
#[test]
fn open_replaces_the_one_that_has_waited_for_longest() {
    let mut connections = Connections::new(MAX);
    let keys: Vec<Key> = (0..3)
        .map(|number| open(&mut connections, number))
        .collect();
    connections.begin_request(keys[0]);
    connections.begin_request(keys[1]);
    connections.end_request(at(10), keys[1]);
    let replaced = connections.open(at(20));
    assert!(
        matches!(replaced, Admission::Replaced(_, other) if other == keys[2]),
        "{replaced:?}"
    );
    assert_eq!(connections.count(), MAX);
}

/// Guards against a request in progress that loses its connection to a new one.
#[test]
fn open_all_in_progress_refuses() {
    let mut connections = Connections::new(MAX);
    let keys: Vec<Key> = (0..3)
        .map(|number| open(&mut connections, number))
        .collect();
    for key in &keys {
        connections.begin_request(*key);
    }
    assert_eq!(connections.open(at(60_000)), Admission::Refused);
    connections.end_request(at(60_001), keys[1]);
    let replaced = connections.open(at(60_002));
    assert!(matches!(replaced, Admission::Replaced(_, other) if other == keys[1]));
}

/// Guards against an answer whose end is recorded for the connection that took its place.
#[test]
fn end_request_of_a_closed_connection_changes_nothing() {
    let mut connections = Connections::new(1);
    let first = open(&mut connections, 0);
    connections.close(first);
    let second = open(&mut connections, 1);
    connections.begin_request(second);
    connections.end_request(at(2), first);
    assert_eq!(connections.open(at(3)), Admission::Refused);
    connections.close(first);
    assert_eq!(connections.count(), 1);
}
