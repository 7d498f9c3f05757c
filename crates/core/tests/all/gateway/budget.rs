//! Tests of the retry budget over all nodes.

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::budget::{Bound, Budget};
use fescuerack_core::gateway::share::Share;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use rstest::rstest;

use super::retry_fleet::{self, Event, Size, TRAFFIC_MS};

const BOUND: Bound = Bound {
    ratio: 0.9,
    slack: 58.0,
    window_ms: 10_000,
};

/// Returns the share of a node that has known `nodes` nodes for longer than a window.
fn share(nodes: usize) -> f64 {
    let mut share = Share::default();
    share.register(Instant::ORIGIN);
    let now = Instant::ORIGIN.plus_millis(BOUND.window_ms);
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

/// Guards against a denied retry at the first failure of a service with little traffic.
#[test]
fn take_first_failure_with_little_traffic_is_covered() {
    let mut budget = Budget::default();
    let now = Instant::from_millis(5);
    budget.count_request(now, &BOUND);
    assert!(budget.take(now, &BOUND, share(9)).is_taken);
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

const SEVEN: Size = Size {
    nodes: 7,
    requests_per_s: 56.0,
    slack: 54.0,
};
const SEVENTY_EIGHT: Size = Size {
    nodes: 78,
    requests_per_s: 300.0,
    slack: 196.0,
};
const TWO_HUNDRED_NINETY_FIVE: Size = Size {
    nodes: 295,
    requests_per_s: 600.0,
    slack: 630.0,
};
const NINE_HUNDRED_EIGHTY_FIVE: Size = Size {
    nodes: 985,
    requests_per_s: 663.0,
    slack: 1_040.0,
};

/// Plays `events` on a fleet all of whose nodes run from the beginning, and checks the bound.
fn check(size: Size, length_ms: u64, events: &[(u64, Event)]) {
    check_started(size, size.nodes, length_ms, events);
}

fn check_started(size: Size, started: usize, length_ms: u64, events: &[(u64, Event)]) {
    let record = retry_fleet::play(size, started, length_ms, events);
    let (excess, further, from) = record.excess(&size.bound());
    assert!(
        excess <= 0.0,
        "{further} further attempts from {from} ms, {excess:.0} too many"
    );
}

fn each(
    nodes: usize,
    event: impl Fn(usize) -> Event,
    at: impl Fn(u64) -> u64,
) -> Vec<(u64, Event)> {
    let nodes = (0..nodes).zip(0_u64..);
    // Events happen at whole steps.
    let at = |number| at(number) / 10 * 10;
    nodes
        .map(|(index, number)| (at(number), event(index)))
        .collect()
}

/// Guards against callers of failing servers that lose retries which the bound allows.
#[rstest]
fn play_failing_service_uses_most_of_the_bound(
    #[values(
        SEVEN,
        SEVENTY_EIGHT,
        TWO_HUNDRED_NINETY_FIVE,
        NINE_HUNDRED_EIGHTY_FIVE
    )]
    size: Size,
) {
    let record = retry_fleet::play(size, size.nodes, 50_000, &[]);
    let (excess, further, from) = record.excess(&size.bound());
    assert!(excess <= 0.0, "{further} from {from} ms");
    let used = record.used(&size.bound(), 20_000);
    assert!(used >= 0.75, "{used:.3} of the bound");
}

/// Guards against nodes that each take all of the slack when the entries of the others lapse.
#[rstest]
fn play_lapsed_entries_stay_within_the_bound(
    #[values(
        SEVEN,
        SEVENTY_EIGHT,
        TWO_HUNDRED_NINETY_FIVE,
        NINE_HUNDRED_EIGHTY_FIVE
    )]
    size: Size,
) {
    let events = [
        (14_000, Event::StoreDown),
        (16_000, Event::Lapse),
        (23_000, Event::StoreUp),
    ];
    check(size, 50_000, &events);
}

/// Guards against processes that are all killed every other second, and each time spend their share of
/// the slack again.
#[rstest]
fn play_restarts_of_all_stay_within_the_bound(
    #[values(
        SEVEN,
        SEVENTY_EIGHT,
        TWO_HUNDRED_NINETY_FIVE,
        NINE_HUNDRED_EIGHTY_FIVE
    )]
    size: Size,
) {
    let kills = (16_000..40_000).step_by(2_000);
    let events: Vec<_> = kills
        .flat_map(|at| each(size.nodes, Event::Restart, move |_| at))
        .collect();
    check(size, 50_000, &events);
}

/// Guards against the same with processes that start anew one after the other, while the store is out.
#[rstest]
fn play_restarts_in_an_outage_stay_within_the_bound(
    #[values(
        SEVEN,
        SEVENTY_EIGHT,
        TWO_HUNDRED_NINETY_FIVE,
        NINE_HUNDRED_EIGHTY_FIVE
    )]
    size: Size,
) {
    let nodes = u64::try_from(size.nodes).expect("few");
    let mut events = vec![
        (14_000, Event::StoreDown),
        (15_000, Event::Lapse),
        (28_000, Event::StoreUp),
    ];
    for begin in (16_000..40_000).step_by(3_000) {
        let at = move |number| begin + number * 3_000 / nodes;
        events.extend(each(size.nodes, Event::Restart, at));
    }
    check(size, 55_000, &events);
}

/// Guards against nodes that start one after the other, of which each counts only those before it.
#[rstest]
fn play_starts_in_a_row_stay_within_the_bound(
    #[values(
        SEVEN,
        SEVENTY_EIGHT,
        TWO_HUNDRED_NINETY_FIVE,
        NINE_HUNDRED_EIGHTY_FIVE
    )]
    size: Size,
    #[values(1_000, 8_000)] duration_ms: u64,
) {
    let nodes = u64::try_from(size.nodes).expect("few");
    let at = |number| TRAFFIC_MS + number * duration_ms / nodes;
    let events = each(size.nodes, Event::Start, at);
    check_started(size, 1, 45_000, &events[1..]);
}

/// Guards against nodes that lose the store for longer than their entries last, a third of them after
/// the other, so that those that still reach it count only each other.
#[rstest]
fn play_cuts_in_turn_stay_within_the_bound(
    #[values(
        SEVEN,
        SEVENTY_EIGHT,
        TWO_HUNDRED_NINETY_FIVE,
        NINE_HUNDRED_EIGHTY_FIVE
    )]
    size: Size,
    #[values(1, 3)] groups: usize,
) {
    let group = size.nodes.div_ceil(3);
    let events: Vec<_> = (0..groups)
        .flat_map(|turn| {
            let from = 14_000 + 21_000 * u64::try_from(turn).expect("few");
            (turn * group..((turn + 1) * group).min(size.nodes)).flat_map(move |index| {
                [
                    (from, Event::Cut(index, true)),
                    (from + 20_000, Event::Cut(index, false)),
                ]
            })
        })
        .collect();
    check(size, 85_000, &events);
}

/// Guards against processes that stand still for seconds, and then read what was sent meanwhile as if it
/// had been sent at once.
#[rstest]
fn play_paused_processes_stay_within_the_bound(
    #[values(
        SEVEN,
        SEVENTY_EIGHT,
        TWO_HUNDRED_NINETY_FIVE,
        NINE_HUNDRED_EIGHTY_FIVE
    )]
    size: Size,
    #[values(2_000, 5_000, 8_000)] pause_ms: u64,
) {
    let pause = |index| Event::Pause(index, 25_000 + pause_ms);
    check(size, 60_000, &each(size.nodes, pause, |_| 25_000));
}

/// Guards against callers who go from nodes that end to the others, where their requests count again.
#[rstest]
fn play_callers_of_ended_nodes_stay_within_the_bound(
    #[values(
        SEVEN,
        SEVENTY_EIGHT,
        TWO_HUNDRED_NINETY_FIVE,
        NINE_HUNDRED_EIGHTY_FIVE
    )]
    size: Size,
) {
    let events = each(size.nodes / 2, Event::End, |number| {
        25_000 + number % 8 * 1_000
    });
    check(size, 60_000, &events);
}

/// Guards against retries that a link has held for seconds and that arrive together with later ones.
#[rstest]
fn play_held_links_stay_within_the_bound(
    #[values(
        SEVEN,
        SEVENTY_EIGHT,
        TWO_HUNDRED_NINETY_FIVE,
        NINE_HUNDRED_EIGHTY_FIVE
    )]
    size: Size,
) {
    check(size, 60_000, &[(25_000, Event::Hold { until: 28_000 })]);
}
