//! Tests of the rate limits of servers that all nodes keep together.

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::shared_limit::{Gate, Limit, Pacer, Target, is_sender};
use fescuerack_core::membership::Standing;
use proptest::prelude::*;
use rstest::rstest;

fn names(nodes: usize) -> Vec<String> {
    (0..nodes).map(|number| format!("n{number}")).collect()
}

fn senders(
    limit: Limit,
    names: &[String],
    has_discovered: impl Fn(&str, &str) -> bool,
) -> Vec<&String> {
    let is_chosen = |local: &&String| {
        let known: Vec<&str> = names
            .iter()
            .map(String::as_str)
            .filter(|other| has_discovered(local, other))
            .collect();
        is_sender(local, known.iter().copied(), 17, limit.senders(known.len()))
    };
    names.iter().filter(is_chosen).collect()
}

/// Returns the maximum number of requests within any second if each sender sends whenever it may. A
/// sender is given by its spacing and the time of its first request, in milliseconds.
fn max_within_second(senders: &[(u64, u64)]) -> usize {
    let mut sent: Vec<u64> = Vec::new();
    for &(spacing_ms, first_ms) in senders {
        let mut pacer = Pacer::default();
        for millis in first_ms..4_000 {
            let now = Instant::from_millis(10_000 + millis);
            if pacer.is_due(now) {
                pacer.record_send(now, spacing_ms);
                sent.push(millis);
            }
        }
    }
    sent.sort_unstable();
    let within = |from: &u64| {
        sent.iter()
            .filter(|&&at| (*from..from + 1_000).contains(&at))
            .count()
    };
    sent.iter().map(within).max().unwrap_or(0)
}

/// Returns the senders of a fleet whose nodes have all discovered each other and start together.
fn all_senders(limit: Limit, nodes: usize) -> Vec<(u64, u64)> {
    vec![(limit.spacing_ms(nodes), 0); limit.senders(nodes)]
}

/// Guards against too many requests to a cold server, for any size of the fleet.
#[rstest]
#[case::few_nodes(7, 21.5)]
#[case::many_nodes(78, 21.5)]
#[case::hundreds_of_nodes(295, 21.5)]
#[case::low_limit(7, 5.0)]
#[case::low_limit_many_nodes(78, 5.0)]
#[case::low_limit_hundreds(295, 5.0)]
#[case::one_request(295, 1.0)]
fn spacing_ms_sum_over_all_nodes_keeps_the_limit(#[case] nodes: usize, #[case] max: f64) {
    let limit = Limit::warmup(max, 1.0, 0.0);
    let names = names(nodes);
    let senders = senders(limit, &names, |_, _| true);
    assert_eq!(senders.len(), limit.senders(nodes));
    let sent = max_within_second(&all_senders(limit, nodes));
    assert!(sent >= 1 && f64::from(u32::try_from(sent).expect("few")) <= max);
}

/// Guards against too few senders: a cold server must get at least a third of its limit.
#[rstest]
#[case(7)]
#[case(78)]
#[case(295)]
fn spacing_ms_uses_the_limit(#[case] nodes: usize) {
    let limit = Limit::warmup(11.0, 1.5, 5.0);
    let sent = max_within_second(&all_senders(limit, nodes));
    assert!(sent >= 8);
}

/// Guards against a server that tolerates no requests and gets one from each node.
#[test]
fn senders_of_a_server_without_capacity_are_none() {
    assert_eq!(Limit::warmup(0.0, 1.5, 0.0).senders(78), 0);
}

/// Guards against the same few nodes being the senders for all cold servers of a zone.
#[test]
fn is_sender_spreads_servers_over_nodes() {
    let names = names(78);
    let all = || names.iter().map(String::as_str);
    let used = |local: &str| {
        (0..23)
            .filter(|&server| is_sender(local, all(), server * 7_919, 6))
            .count()
    };
    let max = names.iter().map(|local| used(local)).max().expect("nodes");
    assert!(max <= 6);
}

proptest! {
    /// Guards against exceeding the limit while nodes disagree on the list of nodes: two partitions
    /// of the fleet that have not discovered each other.
    #[test]
    fn is_sender_nodes_that_disagree_keep_the_limit(
        nodes in 7usize..300,
        max in 5.0f64..60.0,
        cut in 0usize..3,
        starts in proptest::collection::vec(0u64..1_000, 60),
    ) {
        let limit = Limit::warmup(max, 1.0, 0.0);
        let names = names(nodes);
        let is_cut = |name: &str| name[1..].parse::<usize>().expect("number") % 3 == cut;
        let senders = senders(limit, &names, |local, other| is_cut(local) == is_cut(other));
        let size = |part: bool| names.iter().filter(|name| is_cut(name) == part).count();
        let pacers = senders.iter().zip(&starts).map(|(name, &first_ms)| {
            (limit.spacing_ms(size(is_cut(name))), first_ms)
        });
        let sent = max_within_second(&pacers.collect::<Vec<_>>());
        prop_assert!(f64::from(u32::try_from(sent).expect("few")) <= max);
    }
}

/// A node that has run for a while.
const STANDING: Standing = Standing {
    is_calm: true,
    is_first_start: false,
};

/// Guards against callers that are told to return before any node can send a request, or long after.
#[test]
fn next_at_is_the_next_request_of_any_sender() {
    let now = Instant::from_millis(100_000);
    let target = Target {
        identity: 17,
        limit: Limit::stated(4.2),
        round: 0,
    };
    let (spacing_ms, senders) = (target.limit.spacing_ms(78), target.limit.senders(78));
    let wait_ms = spacing_ms / u64::try_from(senders).expect("few");
    let mut gate = Gate::new(Instant::ORIGIN);
    assert!(!gate.admits(now, STANDING, &target, || false));
    assert_eq!(gate.next_at(now, &target, 78), now.plus_millis(wait_ms));
    let mut single = Gate::new(Instant::ORIGIN);
    assert!(single.admits(now, STANDING, &target, || true));
    single.record_send(now, &target, 1);
    let next = single.next_at(now, &target, 1);
    assert!(!single.admits(Instant(next.0 - 1), STANDING, &target, || true));
    assert!(single.admits(next, STANDING, &target, || true));
}
