//! Tests of the detection of poison requests.

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::crash::{
    CRASH_LIMIT, MAX_SHARED, Mark, RETENTION_MS, SAME_EVENT_MS, Suspects, owners,
};

const NOW: Instant = Instant::from_millis(1_000);

/// Returns as many servers as must crash until a request is refused.
fn servers() -> u32 {
    u32::try_from(CRASH_LIMIT).expect("few")
}

fn mark(request: u64, servers: &[u32], age_ms: u64) -> Mark {
    Mark {
        request,
        servers: servers.to_vec(),
        age_ms,
    }
}

/// Guards against a request that is refused for good because nodes tell each other of its crashes
/// over and over, long after the last one.
#[test]
fn receive_marks_do_not_keep_each_other_alive() {
    let (mut one, mut other) = (Suspects::default(), Suspects::default());
    for server in 0..servers() {
        one.record_crash(NOW, NOW, 5, server);
    }
    for _ in 0..3 {
        let mut now = NOW;
        while now < NOW.plus_millis(RETENTION_MS) {
            one.marks(now)
                .iter()
                .for_each(|mark| other.receive(now, mark));
            other
                .marks(now)
                .iter()
                .for_each(|mark| one.receive(now, mark));
            assert!(other.is_refused(now, 5));
            now = now.plus_millis(250);
        }
        assert!(!one.is_refused(now, 5) && !other.is_refused(now, 5));
        assert!(one.marks(now).is_empty() && other.marks(now).is_empty());
    }
}

/// Guards against a hub that hears of crashes from one node and does not tell the others.
#[test]
fn marks_pass_on_what_was_received() {
    let mut hub = Suspects::default();
    hub.receive(NOW, &mark(5, &[1, 2, 3], 1_000));
    assert_eq!(
        hub.marks(NOW.plus_millis(500)),
        [mark(5, &[1, 2, 3], 1_500)]
    );
}

/// A request crashes every server that runs it, and its caller repeats it through another node. A
/// node that observed one crash must refuse it once a peer has reported two more.
#[test]
fn is_refused_crashes_of_peers_count() {
    let mut local = Suspects::default();
    let mut peer = Suspects::default();
    local.record_crash(NOW, NOW, 5, 1);
    peer.record_crash(NOW, NOW, 5, 2);
    peer.record_crash(NOW, NOW, 5, 3);
    assert!(!local.is_refused(NOW, 5));
    for mark in peer.marks(NOW) {
        local.receive(NOW, &mark);
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
        suspects.record_crash(NOW, NOW, 5, server);
    }
    suspects.record_success(NOW, 5);
    suspects.record_crash(NOW, NOW, 5, servers());
    assert!(!suspects.is_refused(NOW, 5));
}

#[test]
fn is_refused_expires() {
    let mut suspects = Suspects::default();
    for server in 0..servers() {
        suspects.record_crash(NOW, NOW, 5, server);
    }
    assert!(suspects.is_refused(NOW, 5));
    assert!(!suspects.is_refused(NOW.plus_millis(RETENTION_MS), 5));
}

/// Many requests are broken by crashes that the servers cause themselves. Memory stays bounded.
#[test]
fn record_crash_memory_is_bounded() {
    let mut suspects = Suspects::default();
    for digest in 0..100_000 {
        suspects.record_crash(NOW, NOW, digest, 1);
        suspects.record_crash(NOW, NOW, digest, 2);
    }
    assert_eq!(suspects.marks(NOW).len(), MAX_SHARED);
    for digest in 0..100_000 {
        suspects.receive(NOW, &mark(digest, &[1, 2], 0));
    }
    let text = format!("{suspects:?}");
    assert!(text.matches("Crashed").count() <= 4_096);
}

/// Many callers send the same request, and one server crashes and breaks several of them. Guards
/// against refusing that request to all callers for a minute, on this node and on peers, although
/// it has just succeeded.
#[test]
fn is_refused_recent_success_is_not_suspected() {
    let mut suspects = Suspects::default();
    suspects.record_success(NOW, 5);
    for server in 0..2 * servers() {
        suspects.record_crash(NOW.plus_millis(50), NOW, 5, server);
    }
    suspects.receive(NOW.plus_millis(60), &mark(5, &[7, 8, 9], 0));
    assert!(!suspects.is_refused(NOW.plus_millis(100), 5));
    assert!(suspects.marks(NOW.plus_millis(100)).is_empty());
    // The memory for successes is bounded too.
    for digest in 0..100_000 {
        suspects.record_success(NOW, digest);
    }
    let later = NOW.plus_millis(RETENTION_MS);
    for server in 0..servers() {
        suspects.record_crash(later, later, 5, server);
    }
    assert!(suspects.is_refused(later, 5));
}

/// Guards against refusing a popular request to all callers because one server, or its link, broke
/// several of them: only crashes of different servers tell of the request.
#[test]
fn is_refused_breaks_of_one_server_count_once() {
    let mut suspects = Suspects::default();
    for _ in 0..2 * CRASH_LIMIT {
        suspects.record_crash(NOW, NOW, 5, 1);
        suspects.receive(NOW, &mark(5, &[1, 2], 0));
    }
    assert!(!suspects.is_refused(NOW, 5));
    suspects.receive(NOW, &mark(5, &[2, 3], 0));
    assert!(suspects.is_refused(NOW, 5));
}

/// Guards against a popular request that is refused because a zone or this node's links were lost
/// while it ran on many servers.
#[test]
fn is_refused_breaks_at_the_same_moment_count_once() {
    let mut suspects = Suspects::default();
    for server in 0..100 {
        let at = NOW.plus_millis(u64::from(server));
        suspects.record_crash(at, NOW.minus_millis(500), 5, server);
    }
    assert!(!suspects.is_refused(NOW.plus_millis(100), 5));
    assert!(suspects.marks(NOW.plus_millis(100)).is_empty());
    // Runs that begin after each crash crash theirs, too.
    for server in [101, 102] {
        let at = NOW.plus_millis(u64::from(server));
        suspects.record_crash(at, at, 5, server);
    }
    assert!(suspects.is_refused(NOW.plus_millis(200), 5));
}

/// Guards against a request that crashes servers and is never refused because its runs overlap.
#[test]
fn is_refused_overlapping_runs_count_after_a_while() {
    let mut suspects = Suspects::default();
    let mut at = NOW;
    for server in 0..servers() {
        suspects.record_crash(at, NOW.minus_millis(5_000), 5, server);
        at = at.plus_millis(SAME_EVENT_MS);
    }
    assert!(suspects.is_refused(at, 5));
}

/// Guards against a sound request that is refused because the links to servers broke which answer
/// on, on this node or at a peer that hears of it.
#[test]
fn is_refused_later_answer_refutes_a_crash() {
    let (mut local, mut peer) = (Suspects::default(), Suspects::default());
    for server in 0..servers() {
        local.record_crash(NOW, NOW, 5, server);
    }
    let later = NOW.plus_millis(40);
    local
        .marks(later)
        .iter()
        .for_each(|mark| peer.receive(later, mark));
    assert!(local.is_refused(later, 5) && peer.is_refused(later, 5));
    // What was sent before the crash says nothing.
    local.record_answer(later, 0, NOW);
    assert!(local.is_refused(later, 5));
    for suspects in [&mut local, &mut peer] {
        suspects.record_answer(later, 0, NOW.plus_millis(1));
        assert!(!suspects.is_refused(later, 5));
    }
    local.record_crash(later, later, 5, servers());
    assert!(local.is_refused(later, 5));
}

/// Guards against a request that succeeds, changes, and crashes servers for a minute without being
/// refused.
#[test]
fn is_refused_change_after_a_success_is_noticed() {
    let mut suspects = Suspects::default();
    suspects.record_success(NOW, 5);
    let mut lost = 0;
    while !suspects.is_refused(NOW.plus_millis(1_000), 5) {
        suspects.record_crash(NOW.plus_millis(1_000), NOW.plus_millis(1_000), 5, lost);
        lost += 1;
        assert!(lost <= 2 * servers(), "{lost} servers");
    }
    assert!(!suspects.marks(NOW.plus_millis(1_000)).is_empty());
}

/// Guards against a caller who repeats a request that crashes servers each second, and costs three
/// servers a minute for hours: a refusal that was right is followed by a longer one.
#[test]
fn is_refused_repeated_for_an_hour_costs_few_servers() {
    let mut suspects = Suspects::default();
    let mut lost = 0;
    for second in 0..3_600 {
        let now = NOW.plus_millis(second * 1_000);
        if !suspects.is_refused(now, 5) {
            suspects.record_crash(now, now, 5, lost);
            lost += 1;
        }
    }
    // Three, then one each after 1, 2, 4, 8, 16 and 32 minutes.
    assert!(lost <= servers() + 6, "{lost} servers");
}

/// Guards against peers that never hear of the oldest of many requests that crash servers.
#[test]
fn marks_all_requests_have_their_turn() {
    let (mut local, mut peer) = (Suspects::default(), Suspects::default());
    for request in 0..10 {
        for server in 0..servers() {
            local.record_crash(NOW, NOW, request, server);
        }
    }
    for _ in 0..3 {
        local
            .marks(NOW)
            .iter()
            .for_each(|mark| peer.receive(NOW, mark));
    }
    assert!((0..10).all(|request| peer.is_refused(NOW, request)));
}

/// Guards against nodes that tell crashes of one request to different owners, none of which then
/// counts to three, and against owners that change for all requests when a node goes.
#[test]
fn owners_are_the_same_on_all_nodes() {
    let names: Vec<String> = (0..985).map(|number| format!("n{number}")).collect();
    let mut moved = 0;
    for request in 0..100 {
        let first = owners(request, names.iter().map(String::as_str));
        let reversed = owners(request, names.iter().rev().map(String::as_str));
        assert_eq!(first, reversed);
        assert_eq!(first.len(), 2);
        let others = names
            .iter()
            .map(String::as_str)
            .filter(|name| *name != "n7");
        moved += usize::from(owners(request, others) != first);
    }
    assert!(moved <= 2, "{moved} requests moved");
}
