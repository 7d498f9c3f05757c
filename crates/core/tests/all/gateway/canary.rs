//! Tests of the canary of a new version.

use std::time::Duration;

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::affinity;
use fescuerack_core::gateway::canary::{CanaryPlan, Count, Counts, Evidence, Pair, Stage, Verdict};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use rstest::rstest;

const ORDERED: Instant = Instant::from_millis(2_000);

const fn canary() -> CanaryPlan {
    CanaryPlan {
        ordered_at: ORDERED,
        deadline: ORDERED.plus_millis(24_000),
        max_request_share: 0.15,
    }
}

/// Share of a route's answers that are bad, by route, version and time.
type BadShare = fn(route: usize, is_new: bool, passed_ms: u64) -> f64;

/// Result of a simulated canary.
struct Simulated {
    verdict: Verdict,
    /// Time of the verdict, in milliseconds after the order.
    decided_ms: u64,
    /// Bad answers of the new version until the verdict.
    bad_answers: u32,
    /// Share of the new version in all requests of the canary's time.
    exposure: f64,
}

/// Simulates requests of three routes during a canary.
fn simulate(seed: u64, per_s: f64, bad: BadShare) -> Simulated {
    let mut rng = Pcg64::seed_from_u64(seed);
    let canary = canary();
    let mut evidence = Evidence::default();
    let (mut all, mut new, mut bad_new) = (0_u32, 0_u32, 0_u32);
    let mut decided = None;
    for passed in 0..24_000_u64 {
        let now = ORDERED.plus_millis(passed);
        if rng.random::<f64>() < per_s / 1_000.0 {
            all += 1;
            if decided.is_some() {
                continue;
            }
            let route = rng.random_range(0..3_usize);
            let session = affinity::mix(rng.random_range(0..400));
            let is_new = canary.includes(canary.stage(now), session);
            let is_bad = rng.random::<f64>() < bad(route, is_new, passed);
            let pair: &mut Pair = evidence.counts.entry(route.to_string()).or_default();
            let side: &mut Count = if is_new { &mut pair.new } else { &mut pair.old };
            side.all += 1;
            side.bad += u32::from(is_bad);
            new += u32::from(is_new);
            bad_new += u32::from(is_new && is_bad);
        }
        // Nodes exchange their counts once a second.
        if passed % 1_000 == 0 && decided.is_none() {
            let verdict = canary.evaluate(now, &evidence);
            decided = (verdict != Verdict::Hold).then_some((verdict, passed));
        }
    }
    let (verdict, passed) = decided.expect("the canary must be decided in its time");
    Simulated {
        verdict,
        decided_ms: passed,
        bad_answers: bad_new,
        exposure: f64::from(new) / f64::from(all),
    }
}

/// A good version is completed before 20 of its 24 s, also when both versions fail at times. Wrong
/// rejections are rare.
#[rstest]
#[case::no_failures(|_, _, _| 0.0)]
#[case::usual_failures(|_, _, _| 0.05)]
fn evaluate_good_version_is_completed(#[case] bad: BadShare) {
    let decided: Vec<_> = (0..200).map(|seed| simulate(seed, 75.0, bad)).collect();
    let completed = decided
        .iter()
        .filter(|one| one.verdict == Verdict::Complete)
        .count();
    assert!(completed >= 194, "{completed} of 200");
    assert!(decided.iter().all(|one| one.decided_ms < 20_000));
    assert!(decided.iter().all(|one| one.exposure < 0.15), "exposure");
}

/// Versions that are bad in different ways are all rejected before fifty callers have got a bad
/// answer.
#[rstest]
#[case::at_once(|_, is_new, _| if is_new { 0.5 } else { 0.02 })]
#[case::late(|_, is_new, passed| if is_new && passed > 8_000 { 0.5 } else { 0.02 })]
#[case::on_one_route(|route, is_new, _| if is_new && route == 1 { 0.5 } else { 0.02 })]
#[case::beside_many_failures(|_, is_new, _| if is_new { 0.6 } else { 0.14 })]
fn evaluate_bad_version_is_rejected(#[case] bad: BadShare) {
    for seed in 0..100 {
        let Simulated {
            verdict,
            bad_answers,
            exposure,
            ..
        } = simulate(seed, 75.0, bad);
        assert_eq!(verdict, Verdict::Reject, "seed {seed}");
        assert!(bad_answers < 50, "{bad_answers} with seed {seed}");
        assert!(exposure < 0.15, "{exposure} with seed {seed}");
    }
}

/// Returns the verdict on a version of whose `new` answers `slow` are slow, as on busy servers with
/// cold caches.
fn slow(new: u32, slow: u32) -> Verdict {
    let old = Count {
        all: 300,
        ..Count::default()
    };
    let new = Count {
        all: new,
        slow,
        ..Count::default()
    };
    let counts = Counts::from([("r".to_owned(), Pair { old, new })]);
    canary().evaluate(ORDERED.plus_millis(9_000), &Evidence { counts, crashed: 0 })
}

/// Guards against the rollback of a good version because five of its 33 answers, or two of eight,
/// are slow: its one canary server is busier than the old ones. A version half of whose answers are
/// slow must still be rejected.
#[rstest]
#[case::busy(33, 5, Verdict::Hold)]
#[case::few(8, 2, Verdict::Hold)]
#[case::slow(20, 10, Verdict::Reject)]
#[case::very_slow(8, 8, Verdict::Reject)]
fn evaluate_slow_answers_count_less_than_failures(
    #[case] new: u32,
    #[case] slow_answers: u32,
    #[case] verdict: Verdict,
) {
    assert_eq!(slow(new, slow_answers), verdict);
}

/// With almost no traffic, as at night, there is no evidence for a version, and it must not be
/// completed because its time is over.
#[test]
fn evaluate_missing_evidence_never_completes() {
    let simulated = simulate(1, 0.5, |_, _, _| 0.0);
    assert_eq!(simulated.verdict, Verdict::Reject);
    assert!(simulated.decided_ms >= 20_000);
}

/// All nodes must agree on which sessions move, before and after restarts.
#[test]
fn includes_is_the_share_of_sessions() {
    let canary = canary();
    let included = (0..100_000_u64)
        .filter(|&one| canary.includes(Stage::Sampled, affinity::mix(one)))
        .count();
    assert!((11_700..12_300).contains(&included), "{included}");
}

/// Guards against completing a version that fails only on busy servers: each canary server must be
/// at least as busy as after the roll-out.
#[test]
fn server_count_canary_servers_are_as_busy_as_after_the_rollout() {
    let canary = canary();
    for (stage, min_factor) in [(Stage::Sampled, 1.0), (Stage::Loaded, 3.0)] {
        for count in 9..200 {
            let busy = canary.server_count(stage, count);
            let load = canary.share(stage) / f64::from(u32::try_from(busy).expect("few"));
            let later = 1.0 / f64::from(u32::try_from(count).expect("few"));
            assert!(load >= min_factor * later - 1e-9, "{busy} of {count}");
        }
    }
    let servers = |count| canary.server_count(Stage::Sampled, count);
    assert_eq!((servers(12), servers(2), servers(0)), (1, 1, 1));
    assert_eq!(canary.server_count(Stage::Loaded, 60), 6);
}

/// A version fails half of its answers on a server that runs 32 requests or more, and none below.
/// Guards against a canary share that keeps its servers at ten requests: the version would be
/// completed and fail callers at each peak, when the old version has already been stopped.
#[test]
fn evaluate_version_that_fails_under_load_is_rejected() {
    // Twelve servers run 240 requests at the peak, as long as 3.2 s each, 75 a second.
    let running = |stage: Stage| {
        let canary = canary();
        let servers = f64::from(u32::try_from(canary.server_count(stage, 12)).expect("few"));
        240.0 * canary.share(stage) / servers
    };
    assert!(running(Stage::Sampled) < 32.0);
    assert!(running(Stage::Loaded) >= 32.0);
    for seed in 0..100 {
        let Simulated {
            verdict,
            decided_ms,
            bad_answers,
            exposure,
        } = simulate(seed, 75.0, |_, is_new, passed| {
            // Requests accumulate for a second and a half before the server is busy.
            if is_new && passed > 13_200 + 1_500 {
                0.5
            } else {
                0.02
            }
        });
        assert_eq!(verdict, Verdict::Reject, "seed {seed}");
        assert!(decided_ms < 18_000, "{decided_ms} with seed {seed}");
        assert!(bad_answers < 50, "{bad_answers} with seed {seed}");
        assert!(exposure < 0.15, "{exposure} with seed {seed}");
    }
}

/// Guards against the rollback of a good version because its only canary server crashes and breaks
/// twenty requests. A version whose servers crash one after another must still be rejected.
#[rstest]
#[case::one_crash(1, Verdict::Hold)]
#[case::three_crashes(3, Verdict::Hold)]
#[case::crashing_version(9, Verdict::Reject)]
fn evaluate_crash_is_one_failure(#[case] crashed: u32, #[case] verdict: Verdict) {
    let side = |all| Count {
        all,
        ..Count::default()
    };
    let pair = Pair {
        old: side(600),
        new: side(60),
    };
    let counts = Counts::from([("r".to_owned(), pair)]);
    let evidence = Evidence { counts, crashed };
    let at = ORDERED.plus_millis(9_000);
    assert_eq!(canary().evaluate(at, &evidence), verdict);
}

/// In a burst the answers of both versions are slow. Guards against counting slow answers of the
/// new version only, which rolls back a good version whenever a burst coincides with its canary.
#[rstest]
#[case::both_slow(120, Verdict::Hold)]
#[case::only_the_new_one(0, Verdict::Reject)]
fn evaluate_slow_answers_are_compared_with_the_old_version(
    #[case] old_slow: u32,
    #[case] verdict: Verdict,
) {
    let side = |all, slow| Count {
        all,
        slow,
        ..Count::default()
    };
    let pair = Pair {
        old: side(300, old_slow),
        new: side(40, 20),
    };
    let counts = Counts::from([("r".to_owned(), pair)]);
    let evidence = Evidence { counts, crashed: 0 };
    let at = ORDERED.plus_millis(9_000);
    assert_eq!(canary().evaluate(at, &evidence), verdict);
}

/// A version fails half of its answers on busy servers, but its one loaded server has so many
/// prompts to process that it answers almost nothing before completion is allowed. Guards against
/// completing it before its first failures: waiting requests must be answered first. Without
/// requests under load none are waiting, and the earlier answers decide.
#[rstest]
#[case::answered(0.76, 40, 6, Verdict::Complete)]
#[case::most_waits(0.76, 4, 30, Verdict::Hold)]
#[case::most_waits_to_the_end(0.86, 4, 30, Verdict::Reject)]
#[case::nothing_came_under_load(0.76, 0, 0, Verdict::Complete)]
fn evaluate_waits_for_answers_under_load(
    #[case] passed: f64,
    #[case] loaded: u32,
    #[case] waiting: u32,
    #[case] verdict: Verdict,
) {
    let old = Count {
        all: 600,
        ..Count::default()
    };
    let new = Count {
        all: 60,
        loaded,
        waiting,
        ..Count::default()
    };
    let counts = Counts::from([("r".to_owned(), Pair { old, new })]);
    let evidence = Evidence { counts, crashed: 0 };
    let at = ORDERED + Duration::from_secs_f64(24.0 * passed);
    assert_eq!(canary().evaluate(at, &evidence), verdict);
}

/// A version fails one in fourteen of its answers, the old one none of a thousand. Guards against
/// treating four failures as chance because the difference of the shares is small.
#[rstest]
#[case::old_never_fails(0, Verdict::Reject)]
#[case::old_fails_as_often(70, Verdict::Hold)]
fn evaluate_few_failures_beside_none(#[case] old_bad: u32, #[case] verdict: Verdict) {
    let old = Count {
        all: 1_000,
        bad: old_bad,
        ..Count::default()
    };
    let new = Count {
        all: 56,
        bad: 4,
        ..Count::default()
    };
    let counts = Counts::from([("r".to_owned(), Pair { old, new })]);
    let evidence = Evidence { counts, crashed: 0 };
    let at = ORDERED.plus_millis(9_000);
    assert_eq!(canary().evaluate(at, &evidence), verdict);
}
