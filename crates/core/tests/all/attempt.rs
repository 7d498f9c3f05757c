//! Retries, hedges and limits across instances.

use fescuerack_config::{Names, key};
use fescuerack_core::admission::rate::RateLimits;
use fescuerack_core::attempt::pools::{Counts, Digest, Pools};
use fescuerack_core::attempt::{AttemptOutcome, Attempts, Next, Outcome, hedge};
use fescuerack_core::clock::Instant;
use fescuerack_core::num::Mean;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

fn names() -> (Names, key::Fleet, key::Organisation, [key::Server; 2]) {
    let mut names = Names::new();
    let fleet = names.fleets.intern("fleet");
    let organisation = names.organisations.intern("one");
    let servers = [names.servers.intern("a"), names.servers.intern("b")];
    (names, fleet, organisation, servers)
}

// The whole pool fails for a while. With three retries each, it would get four
// times its load; the budget keeps it within 1.1 times after what was saved.
#[test]
fn try_take_retry_bounds_amplification() {
    let (_, fleet, ..) = names();
    let mut pools = Pools::new();
    let mut retries = 0;
    for step in 0..10_000 {
        let now = Instant::from_millis(step * 10);
        pools.record_first_attempt(now, fleet);
        // Nearly every second attempt fails: just under what counts as failing.
        pools.record_result(now, fleet, step % 20 < 11);
        retries += u64::from(step % 20 >= 11 && pools.try_take_retry(now, fleet));
    }
    assert!(
        (900..=1_011).contains(&retries),
        "{retries} retries of 10000"
    );
}

// A pool breaks. An instance that has sent it little is told by a peer and
// stops its retries before it has seen the failures itself; once the pool is
// well, retries come back with no further message.
#[test]
fn try_take_retry_stops_on_a_peers_word() {
    let (names, fleet, ..) = names();
    let (mut seen, mut told) = (Pools::new(), Pools::new());
    let now = Instant::from_millis(60_000);
    for _ in 0..20 {
        seen.record_result(now, fleet, false);
    }
    told.record_first_attempt(now, fleet);
    assert!(told.try_take_retry(now, fleet));
    let digest = seen.digest(&names, now);
    told.merge(&names, now, "peer", &digest);
    assert!(!told.try_take_retry(now, fleet));
    // Repeated and older messages change nothing.
    let older = Digest {
        at: digest.at - 1_000,
        ..Digest::default()
    };
    told.merge(&names, now, "peer", &older);
    told.merge(&names, now, "peer", &digest);
    assert!(told.is_failing(now, fleet));
    assert!(told.try_take_retry(now + Duration::from_secs(30), fleet));
}

#[test]
fn merge_ignores_counts_that_make_no_sense() {
    let (names, fleet, ..) = names();
    let mut pools = Pools::new();
    for (at, badly) in [(1, f64::NAN), (2, f64::INFINITY), (3, -5.0)] {
        let counts = Counts { well: 0.0, badly };
        let pools_told = [("fleet".to_owned(), counts), ("unknown".to_owned(), counts)];
        let digest = Digest {
            at,
            pools: pools_told.into(),
        };
        pools.merge(&names, Instant::ORIGIN, "peer", &digest);
        assert!(!pools.is_failing(Instant::ORIGIN, fleet));
    }
}

// A booking confirmation is sent and the connection breaks: it may have run.
// It must not be sent again, whatever remains of budget and deadline.
#[test]
fn end_never_repeats_a_non_idempotent_request() {
    let (_, _, _, servers) = names();
    let deadline = Instant::from_millis(10_000);
    for (end, next) in [
        (AttemptOutcome::NotRun, Next::Retry),
        (AttemptOutcome::Unknown, Next::Stop(Outcome::Unknown)),
        (AttemptOutcome::Failed, Next::Stop(Outcome::Unknown)),
    ] {
        let mut attempts = Attempts::new(false, deadline, 3);
        attempts.start(servers[0]);
        assert_eq!(attempts.end(Instant::ORIGIN, end, false), next);
    }
}

#[test]
#[should_panic(expected = "would run twice")]
fn start_stops_the_process_rather_than_run_twice() {
    let (_, _, _, servers) = names();
    let mut attempts = Attempts::new(false, Instant::from_millis(10), 3);
    attempts.start(servers[0]);
    let _ = attempts.end(Instant::ORIGIN, AttemptOutcome::Unknown, false);
    attempts.start(servers[1]);
}

#[test]
fn backoff_is_random_and_within_the_deadline() {
    let (_, _, _, servers) = names();
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut attempts = Attempts::new(true, Instant::from_millis(8), 9);
    attempts.start(servers[0]);
    let pauses: Vec<_> = (0..50)
        .map(|_| attempts.backoff(Instant::ORIGIN, &mut rng))
        .collect();
    assert!(
        pauses
            .iter()
            .all(|pause| *pause <= Duration::from_millis(8))
    );
    assert!(pauses.iter().any(|pause| *pause != pauses[0]));
}

#[test]
fn delay_waits_until_late_and_never_past_the_deadline() {
    let mut first = Mean::default();
    assert_eq!(hedge::delay(&first, 0.2, Duration::from_secs(10)), None);
    for _ in 0..100 {
        first.add(0.1);
    }
    let after = hedge::delay(&first, 0.2, Duration::from_secs(10)).expect("it pays");
    assert!(after >= Duration::from_millis(200));
    assert_eq!(hedge::delay(&first, 0.2, Duration::from_millis(250)), None);
    assert_eq!(hedge::delay(&first, 0.0, Duration::from_secs(10)), None);
}

/// Runs `count` instances for 60 s, each asked `asked` times a second for a
/// limit of 100, with digests of an age up to `lag_ms`; returns the most that
/// passed in any second after the first, and what passed in the last ten.
fn passed(count: usize, asked: impl Fn(usize, u64) -> u64, lag_ms: u64) -> (u64, u64) {
    let (names, _, organisation, _) = names();
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    let mut instances: Vec<_> = (0..count).map(|_| RateLimits::new()).collect();
    for instance in &mut instances {
        instance.register(Instant::ORIGIN, organisation, 100.0, count);
    }
    let mut told = std::collections::VecDeque::new();
    let mut seconds = vec![0; 60];
    for second in 0..60_u64 {
        let now = Instant::from_millis(second * 1_000 + 1);
        for (index, instance) in instances.iter().enumerate() {
            told.push_back((now, index, instance.digest(&names, now)));
        }
        while told
            .front()
            .is_some_and(|(at, ..)| now.since(*at) >= Duration::from_millis(lag_ms))
        {
            let (_, from, digest) = told.pop_front().expect("one is there");
            for (index, instance) in instances.iter_mut().enumerate() {
                if index != from {
                    instance.merge(&names, now, &from.to_string(), &digest);
                }
            }
        }
        for (index, instance) in instances.iter_mut().enumerate() {
            instance.refresh(now, count);
            // Also a little out of order, as threads come.
            for step in 0..asked(index, second) {
                let jitter = rng.random_range(0..5);
                let at = now + Duration::from_millis(step * 990 / asked(index, second) + jitter);
                let spent = instance.try_acquire(at, organisation, 100.0, count);
                seconds[usize::try_from(second).unwrap_or(0)] += u64::from(spent.is_ok());
            }
        }
    }
    let most = seconds[1..].iter().max().copied().unwrap_or(0);
    (most, seconds[50..].iter().sum())
}

// An organisation sends three times its limit, spread over all instances, then
// through one only. No message is sent per request and digests are 3 s old.
#[test]
fn try_acquire_holds_the_limit_across_instances() {
    let (most, last) = passed(9, |_, _| 33, 3_000);
    assert!(most <= 150, "{most} passed in a second of 100");
    assert!(
        (850..=1_100).contains(&last),
        "{last} passed in ten seconds"
    );
    let one = |index, second| u64::from(index == 0 && second > 10) * 300 + 1;
    let (most, last) = passed(9, one, 3_000);
    assert!(most <= 150, "{most} passed in a second of 100");
    assert!(
        last >= 600,
        "an instance gets what the others leave: {last}"
    );
}

#[test]
fn try_acquire_unheard_keeps_to_its_part() {
    let (_, _, organisation, _) = names();
    let mut rates = RateLimits::new();
    let mut passed = 0;
    for step in 0..10_000 {
        let now = Instant::from_millis(step * 2);
        rates.refresh(now, 10);
        passed += u32::from(rates.try_acquire(now, organisation, 100.0, 10).is_ok());
    }
    assert!((190..=215).contains(&passed), "{passed} of 200 in 20 s");
}
