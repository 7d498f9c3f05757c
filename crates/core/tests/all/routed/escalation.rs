//! Which model answers.

use fescuerack_core::routed::escalation;
use rstest::rstest;

#[rstest]
#[case::doubted(3, 0, Some(20), 0.0, Some(2))]
#[case::trusted(3, 0, Some(80), 0.0, None)]
#[case::says_nothing(3, 0, None, 0.0, None)]
#[case::largest_stands(3, 2, Some(0), 0.0, None)]
#[case::one_model(1, 0, Some(0), 0.0, None)]
#[case::weak_answer_beats_none(3, 0, Some(20), 200.0, None)]
#[case::hopeless_answer_under_load(3, 0, Some(5), 200.0, Some(2))]
#[case::some_load(3, 0, Some(45), 60.0, None)]
fn next_asks_the_largest_when_in_doubt(
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
