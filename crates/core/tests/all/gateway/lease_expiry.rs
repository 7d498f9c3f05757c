//! Tests of removals during and after an outage of the store.

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::lease_expiry::{Outage, REREGISTRATION_MS};

/// Leases expire in an outage, and the removals are received when the store is back. They are held
/// while servers may register again; without an outage a removal takes effect immediately.
#[test]
fn hold_until_only_after_an_outage() {
    let mut outage = Outage::default();
    let back = Instant::from_millis(9_000);
    assert_eq!(outage.hold_until(back), None);
    assert!(outage.record_failure());
    assert!(!outage.record_failure(), "reported once");
    assert!(outage.record_answer(back));
    assert!(!outage.record_answer(back.plus_millis(10)), "reported once");
    let until = back.plus_millis(REREGISTRATION_MS);
    assert_eq!(outage.hold_until(back.plus_millis(100)), Some(until));
    assert_eq!(outage.hold_until(until), None);
}

/// The store goes down repeatedly: the hold time starts again at the end of each outage.
#[test]
fn hold_until_counts_from_the_end_of_the_last_outage() {
    let mut outage = Outage::default();
    outage.record_failure();
    outage.record_answer(Instant::from_millis(1_000));
    outage.record_failure();
    assert!(outage.is_ongoing());
    outage.record_answer(Instant::from_millis(2_500));
    assert!(outage.hold_until(Instant::from_millis(4_000)).is_some());
}
