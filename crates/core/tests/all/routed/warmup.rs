//! A crowd of nodes before servers that are warming up.

use fescuerack_core::clock::Instant;
use fescuerack_core::routed::warmup::{Limit, Pacer, is_sender};
use proptest::prelude::*;
use rstest::rstest;

fn names(nodes: usize) -> Vec<String> {
    (0..nodes).map(|number| format!("n{number}")).collect()
}

fn users(limit: Limit, names: &[String], sees: impl Fn(&str, &str) -> bool) -> Vec<&String> {
    let is_one = |own: &&String| {
        let known: Vec<&str> = names
            .iter()
            .map(String::as_str)
            .filter(|other| sees(own, other))
            .collect();
        is_sender(own, known.iter().copied(), 17, limit.senders(known.len()))
    };
    names.iter().filter(is_one).collect()
}

/// Most requests within any second if each user sends whenever it may; a user is its spacing and
/// the moment of its first request, in milliseconds.
fn most_within_second(users: &[(u64, u64)]) -> usize {
    let mut sent: Vec<u64> = Vec::new();
    for &(spacing_ms, first_ms) in users {
        let mut turn = Pacer::default();
        for millis in first_ms..4_000 {
            let now = Instant::from_millis(10_000 + millis);
            if turn.is_due(now) {
                turn.record_send(now, spacing_ms);
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

/// Users of a fleet in which all know each other and begin together.
fn all_users(limit: Limit, nodes: usize) -> Vec<(u64, u64)> {
    vec![(limit.spacing_ms(nodes), 0); limit.senders(nodes)]
}

/// Guards against a crowd at a cold server, whatever the size of the fleet.
#[rstest]
#[case::few_nodes(7, 21.5)]
#[case::many_nodes(78, 21.5)]
#[case::hundreds_of_nodes(295, 21.5)]
#[case::low_limit(7, 5.0)]
#[case::low_limit_many_nodes(78, 5.0)]
#[case::low_limit_hundreds(295, 5.0)]
#[case::one_request(295, 1.0)]
fn share_sum_over_all_nodes_keeps_the_limit(#[case] nodes: usize, #[case] most: f64) {
    let limit = Limit::new(most, 1.0, 0.0);
    let names = names(nodes);
    let users = users(limit, &names, |_, _| true);
    assert_eq!(users.len(), limit.senders(nodes));
    let sent = most_within_second(&all_users(limit, nodes));
    assert!(sent >= 1 && f64::from(u32::try_from(sent).expect("few")) <= most);
}

/// Guards against users that are too few to be of use: a cold server gets a third of its limit at
/// least.
#[rstest]
#[case(7)]
#[case(78)]
#[case(295)]
fn share_uses_the_limit(#[case] nodes: usize) {
    let limit = Limit::new(11.0, 1.5, 5.0);
    let sent = most_within_second(&all_users(limit, nodes));
    assert!(sent >= 8);
}

/// Guards against a server that bears nothing and gets one request from each node.
#[test]
fn users_of_a_server_that_bears_nothing_are_none() {
    assert_eq!(Limit::new(0.0, 1.5, 0.0).senders(78), 0);
}

/// Guards against the same few nodes that serve all cold servers of a zone.
#[test]
fn is_user_spreads_servers_over_nodes() {
    let names = names(78);
    let all = || names.iter().map(String::as_str);
    let used = |own: &str| {
        (0..23)
            .filter(|&server| is_sender(own, all(), server * 7_919, 6))
            .count()
    };
    let most = names.iter().map(|own| used(own)).max().expect("nodes");
    assert!(most <= 6);
}

proptest! {
    /// Guards against nodes that disagree about who the others are: two parts of the fleet that do
    /// not know each other.
    #[test]
    fn share_nodes_that_disagree_keep_the_limit(
        nodes in 7usize..300,
        most in 5.0f64..60.0,
        cut in 0usize..3,
        starts in proptest::collection::vec(0u64..1_000, 60),
    ) {
        let limit = Limit::new(most, 1.0, 0.0);
        let names = names(nodes);
        let is_cut = |name: &str| name[1..].parse::<usize>().expect("number") % 3 == cut;
        let users = users(limit, &names, |own, other| is_cut(own) == is_cut(other));
        let size = |part: bool| names.iter().filter(|name| is_cut(name) == part).count();
        let turns = users.iter().zip(&starts).map(|(name, &first_ms)| {
            (limit.spacing_ms(size(is_cut(name))), first_ms)
        });
        let sent = most_within_second(&turns.collect::<Vec<_>>());
        prop_assert!(f64::from(u32::try_from(sent).expect("few")) <= most);
    }
}
