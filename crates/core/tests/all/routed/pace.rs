//! How long engines take, learned from answers.

use fescuerack_core::routed::pace::{Pace, Reading};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use rstest::rstest;

const MODEL: u64 = 7;

/// Answers of a model that reads a token in `token_ms`, with queues that are known about half right.
fn learned(seed: u64, heaviness: f64, token_ms: f64, base_ms: f64, answers: u32) -> Reading {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut pace = Pace::default();
    for _ in 0..answers {
        let tokens = 300.0 * 50_f64.powf(random.random());
        let ahead = 400.0 * random.random::<f64>().powi(3);
        let head_ms = (ahead * (0.5 + random.random::<f64>()) + base_ms + tokens * token_ms)
            * (0.8 + 0.4 * random.random::<f64>());
        pace.learn(MODEL, heaviness, ahead, tokens, head_ms);
    }
    pace.reading(MODEL, heaviness)
}

/// A deployment's engines are five times as slow, or as fast, as is thought of a model of that rank.
/// After two hundred answers, some seconds of a service's traffic, a prompt's reading is
/// known within a quarter.
#[rstest]
#[case::slow(1.0, 0.03)]
#[case::fast(1.0, 0.0012)]
#[case::slow_large(10.0, 0.3)]
#[case::fast_large(10.0, 0.012)]
#[case::as_thought(10.0, 0.06)]
fn learn_finds_the_pace(#[case] heaviness: f64, #[case] token_ms: f64) {
    for seed in 0..20 {
        let reading = learned(seed, heaviness, token_ms, 100.0, 200);
        let tokens = 8_000.0;
        let (expected, seen) = (100.0 + tokens * token_ms, reading.head_ms(0.0, tokens));
        let ratio = seen / expected;
        assert!(
            (0.75..1.34).contains(&ratio),
            "seed {seed}: {ratio} ({reading:?})"
        );
    }
}

/// One server is frozen and answers after ten seconds again and again, beside sound ones. What is
/// believed of the model moves, but not by more than a half.
#[test]
fn learn_is_not_led_by_one_frozen_server() {
    let mut pace = Pace::default();
    for answer in 0..400 {
        let seen = if answer % 12 == 0 { 10_000.0 } else { 400.0 };
        pace.learn(MODEL, 10.0, 0.0, 5_000.0, seen);
    }
    let seen = pace.reading(MODEL, 10.0).head_ms(0.0, 5_000.0);
    assert!((300.0..600.0).contains(&seen), "{seen}");
}

/// Answers that come at once, or never, leave both figures positive and bounded.
#[test]
fn learn_stays_within_its_range() {
    let mut pace = Pace::default();
    for _ in 0..10_000 {
        pace.learn(MODEL, 1.0, 0.0, 1_000.0, 0.0);
    }
    let fastest = pace.reading(MODEL, 1.0);
    assert!(fastest.base_ms > 0.0 && fastest.token_ms > 0.0);
    for _ in 0..10_000 {
        pace.learn(MODEL, 1.0, 0.0, 1_000.0, 1e9);
    }
    let slowest = pace.reading(MODEL, 1.0);
    assert!(slowest.token_ms < 1.0 && slowest.base_ms < 10_000.0);
}

#[test]
fn reading_unknown_model_is_the_prior() {
    let pace = Pace::default();
    assert_eq!(pace.reading(MODEL, 10.0), Reading::prior(10.0));
}
