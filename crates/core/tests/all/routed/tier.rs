//! Which model answers.

use fescuerack_core::routed::tier::{self, Prospect};
use rstest::rstest;

/// A large engine that is idle, a prompt that it reads in 200 ms and a caller who waits for 4 s.
const IDLE: Prospect = Prospect {
    passed_ms: 150.0,
    ahead_ms: 0.0,
    read_ms: 200.0,
    head_ms: 300.0,
    target_ms: 4_000.0,
};
/// The same engine with two seconds of other work.
const BUSY: Prospect = Prospect {
    ahead_ms: 2_000.0,
    head_ms: 2_300.0,
    ..IDLE
};
/// The same with so much work that the answer would be late.
const LATE: Prospect = Prospect {
    ahead_ms: 3_700.0,
    head_ms: 4_000.0,
    ..IDLE
};

#[rstest]
#[case::doubted(3, 0, Some(20), IDLE, Some(2))]
#[case::doubted_a_little(3, 0, Some(45), IDLE, Some(2))]
#[case::trusted(3, 0, Some(80), IDLE, None)]
#[case::says_nothing(3, 0, None, IDLE, None)]
#[case::largest_stands(3, 2, Some(0), IDLE, None)]
#[case::one_model(1, 0, Some(0), IDLE, None)]
#[case::some_load(3, 0, Some(45), BUSY, None)]
#[case::weak_answer_beats_late(3, 0, Some(20), LATE, None)]
#[case::hopeless_answer_is_asked_again(3, 0, Some(5), LATE, Some(2))]
fn next_asks_the_largest_when_in_doubt(
    #[case] models: usize,
    #[case] model: usize,
    #[case] confidence: Option<u8>,
    #[case] prospect: Prospect,
    #[case] next: Option<usize>,
) {
    assert_eq!(tier::next(models, model, confidence, &prospect), next);
}

/// In a burst engines fill up. The time of the large model goes first to the prompts that it
/// reads quickly, but the longest are not left with weak answers while it has room.
#[test]
fn room_is_left_for_long_prompts_on_an_idle_engine() {
    let long = Prospect {
        read_ms: 2_500.0,
        head_ms: 2_600.0,
        ..IDLE
    };
    assert!(long.room() > 0.6, "{}", long.room());
    assert!(long.room() < IDLE.room());
    let waiting = Prospect {
        ahead_ms: 800.0,
        head_ms: 3_400.0,
        ..long
    };
    assert!(waiting.room() < long.room());
}

#[test]
fn room_has_no_target_of_zero() {
    let prospect = Prospect {
        target_ms: 0.0,
        ..IDLE
    };
    assert!((prospect.room() - tier::LEAST).abs() < 1e-9);
}

/// An answer of the smallest model takes a tenth of the time: it goes before those of the larger
/// ones of its rank and after everything that is more urgent.
#[rstest]
#[case(0, Some(0), 0)]
#[case(0, Some(2), 1)]
#[case(1, Some(0), 2)]
#[case(1, None, 2)]
#[case(u32::MAX, Some(1), u32::MAX)]
fn rank_small_model_goes_first(#[case] rank: u32, #[case] model: Option<usize>, #[case] told: u32) {
    assert_eq!(tier::rank(rank, model), told);
}

#[test]
fn first_is_the_smallest() {
    assert_eq!((tier::first(3), tier::first(0)), (Some(0), None));
}
