//! Tests of servers that have asked a node for rest.

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::rest::{MAX_REST_MS, Rests};
use rstest::rstest;

const SERVER: u64 = 17;

const fn at(millis: u64) -> Instant {
    Instant::from_millis(100_000 + millis)
}

#[test]
fn record_server_rests_until_the_end() {
    let mut rests = Rests::new();
    assert_eq!(rests.record(at(0), SERVER, 3_000, 0.0), Some(at(3_000)));
    assert_eq!(rests.end(at(2_999), SERVER), Some(at(3_000)));
    assert_eq!(rests.end(at(3_000), SERVER), None);
    assert_eq!(rests.end(at(0), SERVER + 1), None);
    assert_eq!(rests.remove_ended(at(3_000)), [SERVER]);
    assert!(rests.is_empty());
}

/// Guards against a rest that a later answer with a shorter one ends.
#[test]
fn record_shorter_rest_does_not_replace_a_longer_one() {
    let mut rests = Rests::new();
    rests.record(at(0), SERVER, 3_000, 0.0);
    assert_eq!(rests.record(at(100), SERVER, 500, 0.0), None);
    assert_eq!(rests.record(at(200), SERVER, 0, 0.0), None);
    assert_eq!(rests.end(at(200), SERVER), Some(at(3_000)));
    assert_eq!(rests.record(at(300), SERVER, 9_000, 0.0), Some(at(9_300)));
}

/// Guards against a server that one wrong answer takes out for ever.
#[test]
fn record_ten_years_are_cut_down() {
    let mut rests = Rests::new();
    rests.record(at(0), SERVER, u64::MAX, 0.0);
    assert_eq!(rests.end(at(0), SERVER), Some(at(MAX_REST_MS)));
}

/// Guards against all nodes returning at the same moment to a server that has turned all away: no
/// tenth of a second may have more than a quarter of them, and none may return early.
#[rstest]
fn record_ends_of_a_fleet_are_spread(#[values(7, 78, 295, 985)] nodes: u32) {
    let end = |node: u32| {
        let spread = (f64::from(node) + 0.5) / f64::from(nodes);
        let end = Rests::new().record(at(0), SERVER, 3_000, spread);
        end.expect("a rest")
    };
    let ends: Vec<Instant> = (0..nodes).map(end).collect();
    assert!(ends.iter().all(|end| *end >= at(3_000)));
    let within = |from: &Instant| {
        let in_time = |end: &&Instant| **end >= *from && **end < from.plus_millis(100);
        ends.iter().filter(in_time).count()
    };
    let most = ends.iter().map(within).max().expect("nodes");
    assert!(
        most <= usize::try_from(nodes.div_ceil(4)).expect("few"),
        "{most}"
    );
}
