//! Entries that vanish while the store is away.

use fescuerack_core::clock::Instant;
use fescuerack_core::routed::lease_expiry::{Outage, RETURN_MS};

/// Leases lapse in an outage, and the removals are heard of when the store returns.
/// They are held while entries may come back; on a calm day a removal counts at once.
#[test]
fn holds_until_only_after_an_outage() {
    let mut outage = Outage::default();
    let back = Instant::from_millis(9_000);
    assert_eq!(outage.holds_until(back), None);
    assert!(outage.fail());
    assert!(!outage.fail(), "told once");
    assert!(outage.answer(back));
    assert!(!outage.answer(back.plus_millis(10)), "told once");
    let until = back.plus_millis(RETURN_MS);
    assert_eq!(outage.holds_until(back.plus_millis(100)), Some(until));
    assert_eq!(outage.holds_until(until), None);
}

/// The store flaps: each return opens the time again.
#[test]
fn holds_until_counts_from_the_last_return() {
    let mut outage = Outage::default();
    outage.fail();
    outage.answer(Instant::from_millis(1_000));
    outage.fail();
    assert!(outage.is_away());
    outage.answer(Instant::from_millis(2_500));
    assert!(outage.holds_until(Instant::from_millis(4_000)).is_some());
}
