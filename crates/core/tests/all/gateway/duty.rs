//! Tests of when a node begins what one or few nodes do for all.

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::duty::{Duties, SETTLE_MS};
use fescuerack_core::membership::{CALM_MS, Standing};

const CALM: Standing = Standing {
    is_calm: true,
    is_first_start: false,
};
const RESTLESS: Standing = Standing {
    is_calm: false,
    is_first_start: false,
};

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Guards against a server that gets twice what it can run while its owner changes, and against nodes
/// that have just started and know no others.
#[test]
fn has_new_owner_waits_for_the_one_before() {
    let mut duties = Duties::new(at(0));
    assert!(
        !duties.has(at(10), CALM, (1, 0), || true),
        "it has just started"
    );
    let ready = SETTLE_MS;
    assert!(
        duties.has(at(ready), CALM, (1, 0), || true),
        "no other owned it"
    );
    assert!(!duties.has(at(ready), CALM, (2, 0), || false));
    assert!(!duties.has(at(ready + 600), CALM, (2, 0), || true));
    assert!(!duties.has(at(ready + 1_500), CALM, (2, 0), || true));
    assert!(duties.has(at(ready + 1_700), CALM, (2, 0), || true));
    assert!(
        !duties.has(at(ready + 2_300), CALM, (2, 0), || false),
        "it gives up at once"
    );
}

/// Guards against a server without an owner while names come and go all the while.
#[test]
fn has_restless_list_delays_a_new_owner_only_for_a_while() {
    let mut duties = Duties::new(at(0));
    let ready = SETTLE_MS;
    assert!(!duties.has(at(ready), RESTLESS, (2, 0), || false));
    let taken_over = ready + 600;
    assert!(!duties.has(at(taken_over), RESTLESS, (2, 0), || true));
    let later = taken_over + CALM_MS + 100;
    assert!(!duties.has(at(later), RESTLESS, (2, 0), || true));
    assert!(duties.has(at(taken_over + SETTLE_MS), RESTLESS, (2, 0), || true));
}

/// Guards against limited servers that get nothing for seconds when all nodes start together and
/// know each other.
#[test]
fn has_first_start_begins_once_the_list_is_calm() {
    let first = Standing {
        is_calm: true,
        is_first_start: true,
    };
    let mut duties = Duties::new(at(0));
    assert!(!duties.has(at(500), RESTLESS, (1, 0), || true));
    assert!(duties.has(at(1_100), first, (1, 0), || true));
    let mut again = Duties::new(at(0));
    assert!(
        !again.has(at(1_100), CALM, (1, 0), || true),
        "a process before it may have sent"
    );
}

/// Guards against a limit whose senders change with each round and never begin.
#[test]
fn has_new_round_begins_at_once() {
    let mut duties = Duties::new(at(0));
    let ready = SETTLE_MS;
    assert!(!duties.has(at(ready), CALM, (1, 0), || false));
    assert!(duties.has(at(ready + 10), CALM, (1, 1), || true));
}
