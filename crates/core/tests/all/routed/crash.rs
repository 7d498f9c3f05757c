//! Requests that crash servers.

use fescuerack_core::clock::Instant;
use fescuerack_core::routed::crash::{CRASH_LIMIT, MEMORY_MS, Suspects};

const NOW: Instant = Instant::from_millis(1_000);

/// One request ends every server that runs it, and its caller sends it again through
/// another node. Two nodes that saw one and two crashes must both refuse it.
#[test]
fn is_refused_crashes_of_peers_count() {
    let mut here = Suspects::default();
    let mut there = Suspects::default();
    here.record_crash(NOW, 5);
    there.record_crash(NOW, 5);
    there.record_crash(NOW, 5);
    assert!(!here.is_refused(NOW, 5));
    for (digest, crashes) in there.local_crashes().collect::<Vec<_>>() {
        here.receive(NOW, digest, crashes);
    }
    assert!(here.is_refused(NOW, 5));
    assert!(!here.is_refused(NOW, 6));
}

/// A neighbour of the guilty request met two crashes and then ended well. It must
/// run again.
#[test]
fn is_refused_a_good_end_clears() {
    let mut suspects = Suspects::default();
    for _ in 1..CRASH_LIMIT {
        suspects.record_crash(NOW, 5);
    }
    suspects.record_success(NOW, 5);
    suspects.record_crash(NOW, 5);
    assert!(!suspects.is_refused(NOW, 5));
}

#[test]
fn is_refused_is_forgotten_in_time() {
    let mut suspects = Suspects::default();
    for _ in 0..CRASH_LIMIT {
        suspects.record_crash(NOW, 5);
    }
    assert!(suspects.is_refused(NOW, 5));
    assert!(!suspects.is_refused(NOW.plus_millis(MEMORY_MS), 5));
}

/// Many requests meet crashes of servers' own making. Memory stays bounded.
#[test]
fn crashed_memory_is_bounded() {
    let mut suspects = Suspects::default();
    for digest in 0..100_000 {
        suspects.record_crash(NOW, digest);
        suspects.record_crash(NOW, digest);
    }
    assert!(suspects.local_crashes().count() <= 4_096);
}

/// Many callers ask the same; one server crashes and breaks four of them. The question was
/// refused to all callers for a minute, here and at peers, though it had just been answered.
#[test]
fn is_refused_what_was_answered_lately_is_not_suspected() {
    let mut suspects = Suspects::default();
    suspects.record_success(NOW, 5);
    for _ in 0..2 * CRASH_LIMIT {
        suspects.record_crash(NOW.plus_millis(50), 5);
    }
    suspects.receive(NOW.plus_millis(60), 5, CRASH_LIMIT);
    assert!(!suspects.is_refused(NOW.plus_millis(100), 5));
    assert_eq!(suspects.local_crashes().count(), 0);
    // Memory of good ends is bounded too.
    for digest in 0..100_000 {
        suspects.record_success(NOW, digest);
    }
    let later = NOW.plus_millis(MEMORY_MS);
    for _ in 0..CRASH_LIMIT {
        suspects.record_crash(later, 5);
    }
    assert!(suspects.is_refused(later, 5));
}
