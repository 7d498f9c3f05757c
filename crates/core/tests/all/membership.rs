//! Tests of who is there.

use fescuerack_core::clock::Instant;
use fescuerack_core::membership::{CALM_MS, Membership, RETURN_MS};

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Returns what `n0` knows, with ten nodes listed.
fn ten() -> Membership {
    let mut membership = Membership::new();
    for number in 0..10 {
        membership.list(at(0), &format!("n{number}"));
    }
    assert!(membership.observe(at(0), "n0", true).is_empty());
    membership
}

/// Guards against a node that takes a serving node for gone because its lease has ended.
#[test]
fn observe_missing_name_is_a_member_until_it_may_have_registered_again() {
    let mut membership = ten();
    membership.unlist(at(1_000), "n3");
    assert!(
        membership
            .observe(at(1_000 + RETURN_MS - 1), "n0", true)
            .is_empty()
    );
    assert_eq!((membership.count(), membership.missing_count()), (10, 1));
    let gone = membership.observe(at(1_000 + RETURN_MS), "n0", true);
    assert_eq!(gone, ["n3"]);
    assert_eq!((membership.count(), membership.missing_count()), (9, 0));
}

/// Guards against names that are dropped one after the other while nobody can register.
#[test]
fn observe_nothing_goes_without_the_store() {
    let mut membership = ten();
    membership.unlist(at(1_000), "n3");
    let outage_ms = 10 * RETURN_MS;
    for millis in (1_000..outage_ms).step_by(250) {
        assert!(membership.observe(at(millis), "n0", false).is_empty());
    }
    let back = outage_ms + RETURN_MS;
    assert!(membership.observe(at(back - 300), "n0", true).is_empty());
    assert_eq!(membership.observe(at(back), "n0", true), ["n3"]);
}

/// Guards against a node that is alone in its list, since it has lost its own entry with the others.
#[test]
fn observe_nothing_goes_while_this_node_is_missing() {
    let mut membership = ten();
    for number in 0..10 {
        membership.unlist(at(1_000), &format!("n{number}"));
    }
    for millis in (1_000..10 * RETURN_MS).step_by(250) {
        assert!(membership.observe(at(millis), "n0", true).is_empty());
    }
    assert_eq!(membership.count(), 10);
}

/// Guards against duties that begin while others do not know yet who has joined, and against a lapse
/// that counts as a change.
#[test]
fn is_calm_after_a_change_only_once_others_know_it() {
    let mut membership = ten();
    assert!(membership.is_calm(at(CALM_MS)));
    membership.unlist(at(5_000), "n4");
    membership.observe(at(5_100), "n0", true);
    assert!(membership.is_calm(at(5_200)));
    membership.list(at(6_000), "n4");
    assert!(membership.is_calm(at(6_100)));
    membership.list(at(7_000), "joined");
    assert!(!membership.is_calm(at(7_000 + CALM_MS - 1)));
    assert!(membership.is_calm(at(7_000 + CALM_MS)));
    membership.observe(at(9_000), "n0", false);
    assert!(!membership.is_calm(at(9_000)));
    membership.unlist(at(9_500), "n0");
    membership.observe(at(9_500), "n0", true);
    assert!(!membership.is_calm(at(9_500)));
}

/// Guards against a process that takes itself for the first of its instance.
#[test]
fn standing_listed_instance_has_started_before() {
    let mut membership = ten();
    membership.record_start("n0");
    assert!(!membership.standing(at(0)).is_first_start);
    membership.record_start("new");
    assert!(membership.standing(at(0)).is_first_start);
}
