//! Tests of the detection of poison requests.

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::crash::{CRASH_LIMIT, RETENTION_MS, Suspects};

const NOW: Instant = Instant::from_millis(1_000);

/// Returns as many servers as must crash until a request is refused.
fn servers() -> u32 {
    u32::try_from(CRASH_LIMIT).expect("few")
}

/// A request crashes every server that runs it, and its caller repeats it through another node. A
/// node that observed one crash must refuse it once a peer has reported two more.
#[test]
fn is_refused_crashes_of_peers_count() {
    let mut local = Suspects::default();
    let mut peer = Suspects::default();
    local.record_crash(NOW, 5, 1);
    peer.record_crash(NOW, 5, 2);
    peer.record_crash(NOW, 5, 3);
    assert!(!local.is_refused(NOW, 5));
    for (digest, servers) in peer.local_crashes() {
        local.receive(NOW, digest, &servers);
    }
    assert!(local.is_refused(NOW, 5));
    assert!(!local.is_refused(NOW, 6));
}

/// A request that ran beside the one that crashes servers has two crashes and then succeeds. It
/// must be allowed to run again.
#[test]
fn is_refused_success_clears() {
    let mut suspects = Suspects::default();
    for server in 1..servers() {
        suspects.record_crash(NOW, 5, server);
    }
    suspects.record_success(NOW, 5);
    suspects.record_crash(NOW, 5, servers());
    assert!(!suspects.is_refused(NOW, 5));
}

#[test]
fn is_refused_expires() {
    let mut suspects = Suspects::default();
    for server in 0..servers() {
        suspects.record_crash(NOW, 5, server);
    }
    assert!(suspects.is_refused(NOW, 5));
    assert!(!suspects.is_refused(NOW.plus_millis(RETENTION_MS), 5));
}

/// Many requests are broken by crashes that the servers cause themselves. Memory stays bounded.
#[test]
fn record_crash_memory_is_bounded() {
    let mut suspects = Suspects::default();
    for digest in 0..100_000 {
        suspects.record_crash(NOW, digest, 1);
        suspects.record_crash(NOW, digest, 2);
    }
    assert!(suspects.local_crashes().count() <= 4_096);
}

/// Many callers send the same request, and one server crashes and breaks several of them. Guards
/// against refusing that request to all callers for a minute, on this node and on peers, although
/// it has just succeeded.
#[test]
fn is_refused_recent_success_is_not_suspected() {
    let mut suspects = Suspects::default();
    suspects.record_success(NOW, 5);
    for server in 0..2 * servers() {
        suspects.record_crash(NOW.plus_millis(50), 5, server);
    }
    suspects.receive(NOW.plus_millis(60), 5, &[7, 8, 9]);
    assert!(!suspects.is_refused(NOW.plus_millis(100), 5));
    assert_eq!(suspects.local_crashes().count(), 0);
    // The memory for successes is bounded too.
    for digest in 0..100_000 {
        suspects.record_success(NOW, digest);
    }
    let later = NOW.plus_millis(RETENTION_MS);
    for server in 0..servers() {
        suspects.record_crash(later, 5, server);
    }
    assert!(suspects.is_refused(later, 5));
}

/// Guards against refusing a popular request to all callers because one server, or its link, broke
/// several of them: only crashes of different servers tell of the request.
#[test]
fn is_refused_breaks_of_one_server_count_once() {
    let mut suspects = Suspects::default();
    for _ in 0..2 * CRASH_LIMIT {
        suspects.record_crash(NOW, 5, 1);
        suspects.receive(NOW, 5, &[1, 2]);
    }
    assert!(!suspects.is_refused(NOW, 5));
    suspects.receive(NOW, 5, &[2, 3]);
    assert!(suspects.is_refused(NOW, 5));
}
