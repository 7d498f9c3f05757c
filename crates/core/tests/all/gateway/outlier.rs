//! Tests of the ejection of servers that fail part of their requests.

use std::collections::HashMap;

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::outlier::{AttemptCounts, Detector, WINDOW_MS, Window};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use rstest::rstest;

const SERVERS: [u32; 4] = [1, 2, 3, 4];
const NOW: Instant = Instant::from_millis(60_000);

/// Simulates nodes that send `per_s` requests a second to four servers. The first server fails the
/// share `extra` of them in addition to the `usual` share of all servers. Nodes exchange their
/// counts four times a second and receive those of half a second before. Returns the number of
/// requests that the first server failed and the number of ejections of healthy servers.
fn simulate(seed: u64, seconds: u64, per_s: f64, usual: f64, extra: f64) -> (u32, u32) {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut window = Window::default();
    let mut detector = Detector::default();
    let mut reports = [Vec::new(), Vec::new()];
    let (mut failed, mut wrong) = (0, 0);
    for passed in 0..seconds * 1_000 {
        let now = NOW.plus_millis(passed);
        if random.random::<f64>() < per_s / 1_000.0 {
            let available: Vec<u32> = SERVERS
                .into_iter()
                .filter(|&server| !detector.is_ejected(now, server))
                .collect();
            let server = available[random.random_range(0..available.len())];
            let share = if server == 1 { usual + extra } else { usual };
            let is_failure = random.random::<f64>() < share;
            failed += u32::from(server == 1 && is_failure);
            window.observe(now, server, is_failure);
        }
        if passed % 250 == 0 {
            reports.rotate_left(1);
            let received = std::mem::replace(&mut reports[1], window.table(now));
            let counts: HashMap<u32, AttemptCounts> = received
                .into_iter()
                .map(|(server, packed)| (server, AttemptCounts::unpack(packed)))
                .collect();
            let ejected = detector.detect(now, &SERVERS, &counts);
            wrong += u32::from(ejected.iter().any(|&server| server != 1));
        }
    }
    (failed, wrong)
}

/// One of four servers resets four in ten of its connections for six seconds. With eighty nodes
/// that each judged only by their own attempts, 146 requests that must not be repeated were lost.
#[test]
fn detect_partly_failing_server_is_ejected_by_all() {
    for seed in 0..50 {
        let (failed, wrong) = simulate(seed, 6, 150.0, 0.01, 0.4);
        assert!(failed < 40, "{failed} with seed {seed}");
        assert_eq!(wrong, 0, "seed {seed}");
    }
}

/// Guards against ejections when all servers of a service fail equally often.
#[rstest]
#[case::never(0.0)]
#[case::now_and_then(0.05)]
#[case::often(0.14)]
#[case::half(0.5)]
fn detect_healthy_servers_stay(#[case] usual: f64) {
    let wrong: u32 = (0..10)
        .map(|seed| simulate(seed, 60, 60.0, usual, 0.0).1)
        .sum();
    assert!(wrong <= 1, "{wrong} in ten minutes");
}

/// Half of the servers fail at the same time. The remaining servers must take the whole load, so at
/// most a third are ejected.
#[test]
fn detect_ejects_a_third_at_most() {
    let failing = AttemptCounts {
        all: 100,
        failed: 90,
    };
    let healthy = AttemptCounts {
        all: 100,
        failed: 0,
    };
    let servers: Vec<u32> = (0..6).collect();
    let seen = servers
        .iter()
        .map(|&server| (server, if server < 3 { failing } else { healthy }))
        .collect();
    let mut detector = Detector::default();
    assert_eq!(detector.detect(NOW, &servers, &seen).len(), 2);
    assert_eq!(
        detector.detect(NOW.plus_millis(250), &servers, &seen).len(),
        0
    );
    // A service with two servers keeps both.
    let mut detector = Detector::default();
    assert!(detector.detect(NOW, &[0, 3], &seen).is_empty());
}

/// A server that still fails when it returns is ejected for twice as long.
#[test]
fn detect_ejection_time_doubles() {
    let failing = AttemptCounts {
        all: 20,
        failed: 15,
    };
    let healthy = AttemptCounts { all: 20, failed: 0 };
    let seen: HashMap<u32, AttemptCounts> = [(1, failing), (2, healthy), (3, healthy)].into();
    let mut detector = Detector::default();
    assert_eq!(detector.detect(NOW, &[1, 2, 3], &seen), [1]);
    assert!(detector.is_ejected(NOW.plus_millis(2_999), 1));
    let returned = NOW.plus_millis(3_000);
    assert!(!detector.is_ejected(returned, 1));
    assert_eq!(detector.detect(returned, &[1, 2, 3], &seen), [1]);
    assert!(detector.is_ejected(returned.plus_millis(5_999), 1));
    assert!(!detector.is_ejected(returned.plus_millis(6_000), 1));
}

/// The sum of the packed counts of several nodes unpacks to the sum of their counts, and counts
/// leave the window.
#[test]
fn table_values_add_up_and_expire() {
    let mut window = Window::default();
    for number in 0..10 {
        window.observe(NOW, 7, number < 4);
    }
    let [(server, value)] = window.table(NOW)[..] else {
        panic!("one server");
    };
    let twice = AttemptCounts::unpack(value + value);
    assert_eq!((server, twice.all, twice.failed), (7, 20, 8));
    assert!(window.table(NOW.plus_millis(WINDOW_MS)).is_empty());
}
