//! Tests of sessions that stay on their version.

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::session::Recent;

const NOW: Instant = Instant::from_millis(1_000);

/// A canary starts in the middle of a session. The next answer must come from the same version;
/// after a pause the session may move.
#[test]
fn is_ongoing_until_it_pauses() {
    let mut recent = Recent::default();
    recent.record(NOW, 7, 5_000);
    assert!(recent.is_ongoing(NOW.plus_millis(4_999), 7));
    recent.record(NOW.plus_millis(4_000), 7, 5_000);
    assert!(recent.is_ongoing(NOW.plus_millis(8_000), 7));
    assert!(!recent.is_ongoing(NOW.plus_millis(9_000), 7));
    assert!(!recent.is_ongoing(NOW, 8));
}

/// Only the few sessions that the canary would move are sent to other nodes.
#[test]
fn ongoing_returns_the_filtered_sessions() {
    let mut recent = Recent::default();
    for session in 0..100 {
        recent.record(NOW, session, 5_000);
    }
    let mut moved = recent.ongoing(NOW, |session| session < 5);
    moved.sort_unstable();
    assert_eq!(moved, [0, 1, 2, 3, 4]);
    assert!(recent.ongoing(NOW.plus_millis(5_000), |_| true).is_empty());
}
