//! Tests of the escalation to a larger model.

use std::time::Duration;

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::escalation::{self, Limits, Outlook};
use rstest::rstest;

#[rstest]
#[case::low_confidence(3, 0, Some(20), 0.0, Some(2))]
#[case::high_confidence(3, 0, Some(80), 0.0, None)]
#[case::no_confidence(3, 0, None, 0.0, None)]
#[case::largest_answer_is_kept(3, 2, Some(0), 0.0, None)]
#[case::one_model(1, 0, Some(0), 0.0, None)]
#[case::weak_answer_is_kept_under_load(3, 0, Some(20), 200.0, None)]
#[case::very_low_confidence_under_load(3, 0, Some(5), 200.0, Some(2))]
#[case::some_load(3, 0, Some(45), 60.0, None)]
#[case::small_doubt_on_idle_engines(3, 0, Some(45), 0.0, Some(2))]
#[case::small_doubt_under_load(3, 0, Some(30), 30.0, Some(1))]
#[case::great_doubt_under_load(3, 0, Some(10), 30.0, Some(2))]
#[case::two_models(2, 0, Some(45), 30.0, Some(1))]
fn next_follows_doubt_and_load(
    #[case] models: usize,
    #[case] model: usize,
    #[case] confidence: Option<u8>,
    #[case] pressure: f64,
    #[case] next: Option<usize>,
) {
    assert_eq!(escalation::next(models, model, confidence, pressure), next);
}

#[test]
fn first_is_the_smallest() {
    assert_eq!(
        (escalation::first(3), escalation::first(0)),
        (Some(0), None)
    );
}

const NOW: Instant = Instant::from_millis(10_000);

/// Returns what is expected of an answer whose first token and end come after these seconds.
fn outlook(first_s: u64, end_s: u64) -> Outlook {
    Outlook {
        first_token: NOW + Duration::from_secs(first_s),
        end: Some(NOW + Duration::from_secs(end_s)),
    }
}

/// Guards against an answer at hand that is discarded for one of a larger model that will not be there
/// before the deadline, or is later than the target although the one at hand may be right.
#[rstest]
#[case::largest_ends_in_time(10, [outlook(1, 4), outlook(1, 6)], Some(2))]
#[case::only_the_middle_one_ends_in_time(10, [outlook(1, 4), outlook(1, 7)], Some(1))]
#[case::none_ends_in_time(10, [outlook(1, 7), outlook(1, 9)], None)]
#[case::late_and_hardly_ever_right(10, [outlook(3, 4), outlook(3, 5)], Some(2))]
#[case::late_and_may_be_right(30, [outlook(3, 4), outlook(3, 5)], None)]
fn select_largest_in_time(
    #[case] confidence: u8,
    #[case] outlooks: [Outlook; 2],
    #[case] selected: Option<usize>,
) {
    let limits = Limits {
        target: Some(NOW + Duration::from_secs(2)),
        deadline: NOW + Duration::from_secs(8),
    };
    let of_rank = |rank: usize| outlooks.get(rank - 1).copied();
    let found = escalation::select(2, 0, Some(confidence), NOW, limits, of_rank);
    assert_eq!(found, selected);
}

/// Guards against a refusal to use a larger model of which nothing is known yet.
#[test]
fn select_without_outlook_is_taken() {
    let limits = Limits {
        target: None,
        deadline: NOW,
    };
    let found = escalation::select(2, 0, Some(5), NOW, limits, |_| None);
    assert_eq!(found, Some(2));
}

/// Guards against requests that may run only once and get a model that load or time does not allow, or one
/// that no server has.
#[rstest]
#[case::idle(0.0, [Some(outlook(1, 4)), Some(outlook(1, 6))], Some(2))]
#[case::some_load(40.0, [Some(outlook(1, 4)), Some(outlook(1, 6))], Some(1))]
#[case::full(escalation::HIGH_PRESSURE, [Some(outlook(1, 4)), Some(outlook(1, 6))], Some(0))]
#[case::largest_ends_too_late(0.0, [Some(outlook(1, 4)), Some(outlook(1, 7))], Some(1))]
#[case::largest_begins_too_late(0.0, [Some(outlook(1, 4)), Some(outlook(3, 4))], Some(1))]
#[case::no_server_has_the_largest(0.0, [Some(outlook(1, 4)), None], Some(1))]
#[case::no_server_has_a_larger_one(0.0, [None, None], Some(0))]
fn only_largest_that_load_and_time_allow(
    #[case] pressure: f64,
    #[case] outlooks: [Option<Outlook>; 2],
    #[case] chosen: Option<usize>,
) {
    let limits = Limits {
        target: Some(NOW + Duration::from_secs(2)),
        deadline: NOW + Duration::from_secs(8),
    };
    let of_rank = |rank: usize| outlooks.get(rank - 1).copied().flatten();
    let found = escalation::only(3, pressure, NOW, limits, of_rank);
    assert_eq!(found, chosen);
}
