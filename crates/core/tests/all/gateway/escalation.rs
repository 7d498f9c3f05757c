//! Tests of the escalation to a larger model.

use fescuerack_core::gateway::escalation;
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
fn next_is_the_largest_on_low_confidence(
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
