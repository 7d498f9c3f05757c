//! Entries that vanish while the store is away.

use fescuerack_core::clock::Instant;
use fescuerack_core::routed::lease_expiry::{Outage, REREGISTRATION_MS};

/// Leases lapse in an outage, and the removals are heard of when the store returns.
/// They are held while entries may come back; on a calm day a removal counts at once.
#[test]
fn holds_until_only_after_an_outage() {
    let mut outage = Outage::default();
    let back = Instant::from_millis(9_000);
    assert_eq!(outage.hold_until(back), None);
    assert!(outage.record_failure());
    assert!(!outage.record_failure(), "told once");
    assert!(outage.record_answer(back));
    assert!(!outage.record_answer(back.plus_millis(10)), "told once");
    let until = back.plus_millis(REREGISTRATION_MS);
    assert_eq!(outage.hold_until(back.plus_millis(100)), Some(until));
    assert_eq!(outage.hold_until(until), None);
}

/// The store flaps: each return opens the time again.
#[test]
fn holds_until_counts_from_the_last_return() {
    let mut outage = Outage::default();
    outage.record_failure();
    outage.record_answer(Instant::from_millis(1_000));
    outage.record_failure();
    assert!(outage.is_ongoing());
    outage.record_answer(Instant::from_millis(2_500));
    assert!(outage.hold_until(Instant::from_millis(4_000)).is_some());
}
