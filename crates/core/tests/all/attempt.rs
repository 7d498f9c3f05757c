//! Tests of retries, hedges and rate limits across instances.

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

// A pool fails for a while. Three retries per request would give it four times its load; the budget
// must keep it within 1.1 times, plus the retries that had accumulated.
#[test]
fn try_take_retry_bounds_amplification() {
    let (_, fleet, ..) = names();
    let mut pools = Pools::new();
    let mut retries = 0;
    for step in 0..10_000 {
        let now = Instant::from_millis(step * 10);
        pools.record_first_attempt(now, fleet);
        // Nearly every second attempt fails: just below the share that counts as failing.
        pools.record_result(now, fleet, step % 20 < 11);
        retries += u64::from(step % 20 >= 11 && pools.try_take_retry(now, fleet));
    }
    assert!(
        (900..=1_011).contains(&retries),
        "{retries} retries of 10000"
    );
}

// A pool fails. An instance that has sent it few requests must stop its retries because of a peer's
// digest, before it has failures of its own, and resume them later without a further message.
#[test]
fn try_take_retry_stops_on_a_peers_digest() {
    let (names, fleet, ..) = names();
    let (mut busy, mut quiet) = (Pools::new(), Pools::new());
    let now = Instant::from_millis(60_000);
    for _ in 0..20 {
        busy.record_result(now, fleet, false);
    }
    quiet.record_first_attempt(now, fleet);
    assert!(quiet.try_take_retry(now, fleet));
    let digest = busy.digest(&names, now);
    quiet.merge(&names, now, "peer", &digest);
    assert!(!quiet.try_take_retry(now, fleet));
    // Repeated and older messages change nothing.
    let older = Digest {
        at: digest.at - 1_000,
        ..Digest::default()
    };
    quiet.merge(&names, now, "peer", &older);
    quiet.merge(&names, now, "peer", &digest);
    assert!(quiet.is_failing(now, fleet));
    assert!(quiet.try_take_retry(now + Duration::from_secs(30), fleet));
}

#[test]
fn merge_ignores_counts_that_make_no_sense() {
    let (names, fleet, ..) = names();
    let mut pools = Pools::new();
    for (at, failed) in [(1, f64::NAN), (2, f64::INFINITY), (3, -5.0)] {
        let counts = Counts {
            succeeded: 0.0,
            failed,
        };
        let reported = [("fleet".to_owned(), counts), ("unknown".to_owned(), counts)];
        let digest = Digest {
            at,
            pools: reported.into(),
        };
        pools.merge(&names, Instant::ORIGIN, "peer", &digest);
        assert!(!pools.is_failing(Instant::ORIGIN, fleet));
    }
}

// The connection breaks after a non-idempotent request, such as a booking, has been sent: it may
// have run. It must not be sent again, whatever budget and time remain.
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
    let after = hedge::delay(&first, 0.2, Duration::from_secs(10)).expect("a hedge is sent");
    assert!(after >= Duration::from_millis(200));
    assert_eq!(hedge::delay(&first, 0.2, Duration::from_millis(250)), None);
    assert_eq!(hedge::delay(&first, 0.0, Duration::from_secs(10)), None);
}

/// Runs `count` instances for 60 s under a shared limit of 100 requests per second, each receiving
/// `requests` per second, with digests up to `lag_ms` old. Returns the maximum number that passed
/// in any second after the first, and the number that passed in the last ten.
fn max_and_last_passed(
    count: usize,
    requests: impl Fn(usize, u64) -> u64,
    lag_ms: u64,
) -> (u64, u64) {
    let (names, _, organisation, _) = names();
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    let mut instances: Vec<_> = (0..count).map(|_| RateLimits::new()).collect();
    for instance in &mut instances {
        instance.register(Instant::ORIGIN, organisation, 100.0, count);
    }
    let mut digests = std::collections::VecDeque::new();
    let mut seconds = vec![0; 60];
    for second in 0..60_u64 {
        let now = Instant::from_millis(second * 1_000 + 1);
        for (index, instance) in instances.iter().enumerate() {
            digests.push_back((now, index, instance.digest(&names, now)));
        }
        while digests
            .front()
            .is_some_and(|(at, ..)| now.since(*at) >= Duration::from_millis(lag_ms))
        {
            let (_, from, digest) = digests.pop_front().expect("one is there");
            for (index, instance) in instances.iter_mut().enumerate() {
                if index != from {
                    instance.merge(&names, now, &from.to_string(), &digest);
                }
            }
        }
        for (index, instance) in instances.iter_mut().enumerate() {
            instance.refresh(now, count);
            // Slightly out of order, as calls of several threads are.
            for step in 0..requests(index, second) {
                let jitter = rng.random_range(0..5);
                let at = now + Duration::from_millis(step * 990 / requests(index, second) + jitter);
                let spent = instance.try_acquire(at, organisation, 100.0, count);
                seconds[usize::try_from(second).unwrap_or(0)] += u64::from(spent.is_ok());
            }
        }
    }
    let max = seconds[1..].iter().max().copied().unwrap_or(0);
    (max, seconds[50..].iter().sum())
}

// An organisation sends three times its limit, first spread over all instances, then through one
// only. The limit must hold although digests are 3 s old and no message is sent per request.
#[test]
fn try_acquire_holds_the_limit_across_instances() {
    let (max, last) = max_and_last_passed(9, |_, _| 33, 3_000);
    assert!(max <= 150, "{max} passed in a second of 100");
    assert!(
        (850..=1_100).contains(&last),
        "{last} passed in ten seconds"
    );
    let one = |index, second| u64::from(index == 0 && second > 10) * 300 + 1;
    let (max, last) = max_and_last_passed(9, one, 3_000);
    assert!(max <= 150, "{max} passed in a second of 100");
    assert!(
        last >= 600,
        "an instance gets what the others do not use: {last}"
    );
}

#[test]
fn try_acquire_without_peers_keeps_to_its_part() {
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
