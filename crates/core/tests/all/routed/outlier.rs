//! Servers that fail part of what they run.

use std::collections::HashMap;

use fescuerack_core::clock::Instant;
use fescuerack_core::routed::outlier::{Ends, Grey, WINDOW_MS, Window};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use rstest::rstest;

const SERVERS: [u32; 4] = [1, 2, 3, 4];
const NOW: Instant = Instant::from_millis(60_000);

/// Nodes that send `per_s` requests a second to four servers, the first of which fails
/// `grey` of them besides the `usual` share. They tell each other four times a second, and
/// hear what was told a half second before. Returns the callers that the first server failed
/// and the times that a sound server was left out.
fn play(seed: u64, seconds: u64, per_s: f64, usual: f64, grey: f64) -> (u32, u32) {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut window = Window::default();
    let mut judge = Grey::default();
    let mut told = [Vec::new(), Vec::new()];
    let (mut failed, mut wrong) = (0, 0);
    for passed in 0..seconds * 1_000 {
        let now = NOW.plus_millis(passed);
        if random.random::<f64>() < per_s / 1_000.0 {
            let sound: Vec<u32> = SERVERS
                .into_iter()
                .filter(|&server| !judge.is_out(now, server))
                .collect();
            let server = sound[random.random_range(0..sound.len())];
            let share = if server == 1 { usual + grey } else { usual };
            let is_failure = random.random::<f64>() < share;
            failed += u32::from(server == 1 && is_failure);
            window.observe(now, server, is_failure);
        }
        if passed % 250 == 0 {
            told.rotate_left(1);
            let heard = std::mem::replace(&mut told[1], window.table(now));
            let ends: HashMap<u32, Ends> = heard
                .into_iter()
                .map(|(server, ends)| (server, Ends::unpack(ends)))
                .collect();
            let left_out = judge.judge(now, &SERVERS, &ends);
            wrong += u32::from(left_out.iter().any(|&server| server != 1));
        }
    }
    (failed, wrong)
}

/// One of four servers resets four in ten of its connections for six seconds. Eighty nodes
/// that each judged by themselves lost 146 requests that must not be repeated.
#[test]
fn judge_grey_server_is_left_out_by_all() {
    for seed in 0..50 {
        let (failed, wrong) = play(seed, 6, 150.0, 0.01, 0.4);
        assert!(failed < 40, "{failed} with seed {seed}");
        assert_eq!(wrong, 0, "seed {seed}");
    }
}

/// All servers of a service fail now and then, or many times: nobody is left out for what
/// is nobody's fault.
#[rstest]
#[case::never(0.0)]
#[case::now_and_then(0.05)]
#[case::often(0.14)]
#[case::half(0.5)]
fn judge_sound_servers_stay(#[case] usual: f64) {
    let wrong: u32 = (0..10).map(|seed| play(seed, 60, 60.0, usual, 0.0).1).sum();
    assert!(wrong <= 1, "{wrong} in ten minutes");
}

/// Half of the servers are bad at once. Those that are left must bear the whole work, so no
/// more than a third are left out.
#[test]
fn judge_leaves_out_a_third_at_most() {
    let bad = Ends {
        all: 100,
        failed: 90,
    };
    let good = Ends {
        all: 100,
        failed: 0,
    };
    let servers: Vec<u32> = (0..6).collect();
    let seen = servers
        .iter()
        .map(|&server| (server, if server < 3 { bad } else { good }))
        .collect();
    let mut judge = Grey::default();
    assert_eq!(judge.judge(NOW, &servers, &seen).len(), 2);
    assert_eq!(judge.judge(NOW.plus_millis(250), &servers, &seen).len(), 0);
    // A service with two servers keeps both.
    let mut judge = Grey::default();
    assert!(judge.judge(NOW, &[0, 3], &seen).is_empty());
}

/// A server that is still bad when it returns is left out for twice as long.
#[test]
fn judge_time_doubles() {
    let bad = Ends {
        all: 20,
        failed: 15,
    };
    let good = Ends { all: 20, failed: 0 };
    let seen: HashMap<u32, Ends> = [(1, bad), (2, good), (3, good)].into();
    let mut judge = Grey::default();
    assert_eq!(judge.judge(NOW, &[1, 2, 3], &seen), [1]);
    assert!(judge.is_out(NOW.plus_millis(2_999), 1));
    let returned = NOW.plus_millis(3_000);
    assert!(!judge.is_out(returned, 1));
    assert_eq!(judge.judge(returned, &[1, 2, 3], &seen), [1]);
    assert!(judge.is_out(returned.plus_millis(5_999), 1));
    assert!(!judge.is_out(returned.plus_millis(6_000), 1));
}

/// Sums of what several nodes told are read as one, and the window forgets.
#[test]
fn table_values_add_up_and_are_forgotten() {
    let mut window = Window::default();
    for number in 0..10 {
        window.observe(NOW, 7, number < 4);
    }
    let [(server, value)] = window.table(NOW)[..] else {
        panic!("one server");
    };
    let twice = Ends::unpack(value + value);
    assert_eq!((server, twice.all, twice.failed), (7, 20, 8));
    assert!(window.table(NOW.plus_millis(WINDOW_MS)).is_empty());
}
