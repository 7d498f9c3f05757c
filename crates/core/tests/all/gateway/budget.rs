//! Tests of the retry budget over all nodes.

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::budget::{Bound, Budget};
use fescuerack_core::gateway::share::{Part, Share};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use rstest::rstest;

use super::repeats::Record;

const BOUND: Bound = Bound {
    ratio: 0.9,
    slack: 58.0,
    window_ms: 10_000,
};

/// Returns the share of a node that has known `nodes` nodes for longer than a window.
fn share(nodes: usize) -> Part {
    share_at(nodes, BOUND.window_ms, 0.0)
}

/// Returns the share at `at_ms` of a process that has known `nodes` nodes since zero.
fn share_at(nodes: usize, at_ms: u64, phase: f64) -> Part {
    let mut share = Share::new(phase);
    share.register(Instant::ORIGIN);
    let now = Instant::ORIGIN.plus_millis(at_ms);
    share.observe(now, nodes, true);
    share.of(now, BOUND.slack, BOUND.window_ms)
}

/// Guards against retries that exceed the bound when a service fails every request for a minute.
/// Each node retries as often as its budget allows, without messages between nodes, also while
/// about half of the nodes have not been discovered yet.
#[rstest]
#[case::nine(9, 9, 75.0)]
#[case::nine_of_which_five_are_discovered(9, 5, 75.0)]
#[case::many(340, 340, 500.0)]
fn take_sum_over_nodes_stays_within_the_bound(
    #[case] nodes: usize,
    #[case] known: usize,
    #[case] requests_per_s: f64,
) {
    let share = share(known);
    let mut random = Pcg64::seed_from_u64(7);
    let mut budgets = vec![Budget::default(); nodes];
    let mut requests = Vec::new();
    let mut further = Vec::new();
    for step in 0..60_000_u64 {
        let now = Instant::from_millis(step);
        if random.random::<f64>() >= requests_per_s / 1_000.0 {
            continue;
        }
        let budget = &mut budgets[random.random_range(0..nodes)];
        budget.count_request(now, &BOUND);
        requests.push(step);
        for _ in 0..3 {
            if budget.take(now, &BOUND, share).is_taken {
                further.push(step);
            }
        }
    }
    let within = |times: &[u64], from: u64| {
        let to = from + BOUND.window_ms;
        let count = times
            .iter()
            .filter(|&&time| (from..to).contains(&time))
            .count();
        f64::from(u32::try_from(count).expect("few"))
    };
    for from in (0..50_000).step_by(250) {
        let max = BOUND.ratio * within(&requests, from) + BOUND.slack;
        let sent = within(&further, from);
        assert!(sent <= max, "{sent} of {max} from {from} ms");
    }
    assert!(
        further.len() * 2 > requests.len(),
        "most of the budget is used"
    );
}

/// Guards against repeats of many quiet nodes that sum up to more than the bound, because each node
/// rounds its own up, where a service fails from the first request on and its failures come at
/// once.
#[rstest]
fn take_sum_over_quiet_nodes_stays_within_the_bound(
    #[values(7, 9, 78, 295, 985)] nodes: usize,
    #[values(250.0, 1_000.0)] requests_per_s: f64,
    #[values(false, true)] is_even: bool,
) {
    for seed in 0..4 {
        let mut random = Pcg64::seed_from_u64(seed);
        let shares: Vec<Part> = (0..nodes)
            .map(|_| share_at(nodes, BOUND.window_ms, random.random()))
            .collect();
        let mut budgets = vec![Budget::default(); nodes];
        let mut record = Record::default();
        // The windows begin before the traffic.
        for step in BOUND.window_ms..3 * BOUND.window_ms {
            let mut expected = requests_per_s / 1_000.0;
            while random.random::<f64>() < expected {
                expected -= 1.0;
                let now = Instant::from_millis(step);
                let turn = record.requests.len() % nodes;
                let drawn = random.random_range(0..nodes);
                let node = if is_even { turn } else { drawn };
                let budget = &mut budgets[node];
                budget.count_request(now, &BOUND);
                record.requests.push(step);
                for _ in 0..3 {
                    if budget.take(now, &BOUND, shares[node]).is_taken {
                        record.further.push(step);
                    }
                }
            }
        }
        let (excess, further, from) = record.excess(&BOUND);
        assert!(
            excess <= 0.0,
            "seed {seed}: {further} from {from} ms, {excess:.0} too many"
        );
    }
}

/// Guards against a denied retry at the first failure of a service with little traffic, also at a
/// new process, which has no share of the slack.
#[rstest]
#[case::known_process(share(9))]
#[case::new_process(share_at(9, 0, 0.0))]
fn take_first_failure_with_little_traffic_is_covered(#[case] share: Part) {
    let mut budget = Budget::default();
    let now = Instant::from_millis(5);
    budget.count_request(now, &BOUND);
    assert!(budget.take(now, &BOUND, share).is_taken);
}

/// Guards against a node whose memory grows with each request to a service that never fails.
#[test]
fn count_request_drops_what_is_out_of_the_window() {
    let mut budget = Budget::default();
    for minute in 0..100 {
        budget.count_request(Instant::from_millis(minute * 60_000), &BOUND);
    }
    let text = format!("{budget:?}");
    assert_eq!(text.matches("Slot {").count(), 1, "{text}");
}

/// Guards against callers of quiet nodes in a large fleet, where each node has hardly any slack,
/// whose failures are never retried.
#[test]
fn take_first_failure_at_most_of_many_quiet_nodes_is_covered() {
    let mut random = Pcg64::seed_from_u64(7);
    let now = Instant::from_millis(5);
    let is_covered = |_: &u32| {
        let mut budget = Budget::default();
        budget.count_request(now, &BOUND);
        let share = share_at(985, BOUND.window_ms, random.random());
        budget.take(now, &BOUND, share).is_taken
    };
    let covered = (0..985).filter(is_covered).count();
    assert!(covered * 4 >= 985 * 3, "{covered} of 985");
}

#[test]
fn take_budget_is_restored_after_the_window() {
    let mut budget = Budget::default();
    let now = Instant::from_millis(0);
    let mut is_taken = |at_ms| {
        let at = now.plus_millis(at_ms);
        budget.take(at, &BOUND, share(1)).is_taken
    };
    let spent = (0..1_000).filter(|_| is_taken(0)).count();
    assert_eq!(spent, 29);
    assert!(!is_taken(9_000));
    assert!(is_taken(10_600));
}
