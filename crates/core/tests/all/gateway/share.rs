//! Tests of the number of nodes that the slack of retries is divided by.

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::share::{MEMORY_MS, Share};

/// Observes a list of `listed` nodes four times a second, from `from_ms` until `to_ms`.
fn observe(share: &mut Share, listed: usize, is_confirmed: bool, from_ms: u64, to_ms: u64) {
    for at_ms in (from_ms..to_ms).step_by(250) {
        share.observe(Instant::from_millis(at_ms), listed, is_confirmed);
    }
}

/// Guards against nodes that keep dividing by those which operators have taken away for good.
#[test]
fn nodes_removed_for_good_are_forgotten() {
    let mut share = Share::default();
    observe(&mut share, 100, true, 0, 1_000);
    observe(&mut share, 10, true, 1_000, MEMORY_MS);
    assert_eq!(share.nodes(), 100);
    observe(&mut share, 10, true, MEMORY_MS, MEMORY_MS + 1_000);
    assert_eq!(share.nodes(), 10);
}

/// Guards against nodes that forget the others in an outage which lasts longer than they remember.
#[test]
fn nodes_outage_forgets_none() {
    let mut share = Share::default();
    observe(&mut share, 100, true, 0, 1_000);
    let end = 1_000 + 10 * MEMORY_MS;
    observe(&mut share, 1, false, 1_000, end);
    assert_eq!(share.nodes(), 100);
    observe(&mut share, 1, true, end, end + MEMORY_MS - 1_000);
    assert_eq!(share.nodes(), 100);
}

/// Guards against a node that has forgotten the others with the store's word, loses the store, and
/// goes on with a share as large as all of theirs, while they count it no more.
#[test]
fn nodes_without_the_store_all_count_again() {
    let mut share = Share::default();
    observe(&mut share, 100, true, 0, 1_000);
    observe(&mut share, 1, true, 1_000, 3 * MEMORY_MS);
    assert_eq!(share.nodes(), 1);
    observe(&mut share, 1, false, 3 * MEMORY_MS, 3 * MEMORY_MS + 250);
    assert_eq!(share.nodes(), 100);
}

/// Guards against a node that starts before the others and takes all of the slack once they are there.
#[test]
fn nodes_new_ones_count_at_once() {
    let mut share = Share::default();
    observe(&mut share, 1, true, 0, 1_000);
    observe(&mut share, 9, true, 1_000, 1_250);
    assert_eq!(share.nodes(), 9);
}
