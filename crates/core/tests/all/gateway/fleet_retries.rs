//! Tests of the retry budget over all nodes, at the planned sizes, in trouble.

use rstest::rstest;

use super::retry_fleet::{self, Event, Size, TRAFFIC_MS};

/// Plays `events` on a fleet all of whose nodes run from the beginning, and checks the bound.
fn check(size: Size, length_ms: u64, events: &[(u64, Event)]) {
    check_started(size, size.nodes, length_ms, events);
}

/// The same, on a fleet of which `started` nodes run from the beginning.
fn check_started(size: Size, started: usize, length_ms: u64, events: &[(u64, Event)]) {
    let record = retry_fleet::play(size, started, length_ms, events);
    let (excess, further, from) = record.excess(&size.bound());
    assert!(
        excess <= 0.0,
        "{further} further attempts from {from} ms, {excess:.0} too many"
    );
}

/// Returns the event of each node, at the milliseconds that `at` gives for its number.
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
fn play_failing_service_uses_most_of_the_bound(#[values(7, 78, 295, 985)] nodes: usize) {
    let size = Size::new(nodes);
    let record = retry_fleet::play(size, size.nodes, 50_000, &[]);
    let (excess, further, from) = record.excess(&size.bound());
    assert!(excess <= 0.0, "{further} from {from} ms");
    let used = record.used(&size.bound(), 20_000);
    assert!(used >= 0.8, "{used:.3} of the bound");
}

/// Guards against nodes that each take all of the slack when the entries of the others lapse.
#[rstest]
fn play_lapsed_entries_stay_within_the_bound(#[values(7, 78, 295, 985)] nodes: usize) {
    let size = Size::new(nodes);
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
fn play_restarts_of_all_stay_within_the_bound(#[values(7, 78, 295, 985)] nodes: usize) {
    let size = Size::new(nodes);
    let kills = (16_000..40_000).step_by(2_000);
    let events: Vec<_> = kills
        .flat_map(|at| each(size.nodes, Event::Restart, move |_| at))
        .collect();
    check(size, 50_000, &events);
}

/// Guards against the same with processes that start anew one after the other, while the store is out.
#[rstest]
fn play_restarts_in_an_outage_stay_within_the_bound(#[values(7, 78, 295, 985)] nodes: usize) {
    let size = Size::new(nodes);
    let number_of_nodes = u64::try_from(nodes).expect("few");
    let mut events = vec![
        (14_000, Event::StoreDown),
        (15_000, Event::Lapse),
        (28_000, Event::StoreUp),
    ];
    for begin in (16_000..40_000).step_by(3_000) {
        let at = move |number| begin + number * 3_000 / number_of_nodes;
        events.extend(each(size.nodes, Event::Restart, at));
    }
    check(size, 55_000, &events);
}

/// Guards against nodes that start one after the other, of which each counts only those before it.
#[rstest]
fn play_starts_in_a_row_stay_within_the_bound(
    #[values(7, 78, 295, 985)] nodes: usize,
    #[values(1_000, 8_000)] duration_ms: u64,
) {
    let size = Size::new(nodes);
    let number_of_nodes = u64::try_from(nodes).expect("few");
    let at = |number| TRAFFIC_MS + number * duration_ms / number_of_nodes;
    let events = each(size.nodes, Event::Start, at);
    check_started(size, 1, 45_000, &events[1..]);
}

/// Guards against nodes that lose the store for longer than their entries last, a third of them after
/// the other, so that those that still reach it count only each other.
#[rstest]
fn play_cuts_in_turn_stay_within_the_bound(
    #[values(7, 78, 295, 985)] nodes: usize,
    #[values(1, 3)] groups: usize,
) {
    let size = Size::new(nodes);
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
    #[values(7, 78, 295, 985)] nodes: usize,
    #[values(2_000, 5_000, 8_000)] pause_ms: u64,
) {
    let size = Size::new(nodes);
    let pause = |index| Event::Pause(index, 25_000 + pause_ms);
    check(size, 60_000, &each(size.nodes, pause, |_| 25_000));
}

/// Guards against callers who go from nodes that end to the others, where their requests count again.
#[rstest]
fn play_callers_of_ended_nodes_stay_within_the_bound(#[values(7, 78, 295, 985)] nodes: usize) {
    let size = Size::new(nodes);
    let events = each(size.nodes / 2, Event::End, |number| {
        25_000 + number % 8 * 1_000
    });
    check(size, 60_000, &events);
}

/// Guards against retries that a link has held for seconds and that arrive together with later ones.
#[rstest]
fn play_held_links_stay_within_the_bound(#[values(7, 78, 295, 985)] nodes: usize) {
    let size = Size::new(nodes);
    check(size, 60_000, &[(25_000, Event::Hold { until: 28_000 })]);
}
