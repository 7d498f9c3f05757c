//! Leaving out servers.

use fescuerack_core::clock::Instant;
use fescuerack_core::routed::health::{Health, Outcome};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;

/// A server fails part of what it runs while its own health check is good.
/// Returns the share of outcomes after which it was left out.
fn left_out(failing: f64) -> f64 {
    let mut random = Pcg64::seed_from_u64(11);
    let mut health = Health::default();
    let mut out = 0_u32;
    let outcomes = 20_000_u32;
    for step in 0..u64::from(outcomes) {
        let now = Instant::from_millis(step * 20_000);
        let failed = random.random::<f64>() < failing;
        let outcome = if failed {
            Outcome::Failed
        } else {
            Outcome::Succeeded
        };
        out += u32::from(health.observe(now, outcome));
    }
    f64::from(out) / f64::from(outcomes)
}

#[test]
fn observe_failing_server_is_left_out() {
    assert!(left_out(0.9) > 0.3, "{}", left_out(0.9));
}

/// A service that fails 14 in 100 by itself must keep its servers: leaving them out
/// moves the load, not the failures.
#[test]
fn observe_usual_failures_keep_the_server() {
    assert!(left_out(0.14) < 0.01, "{}", left_out(0.14));
}

/// A server that cannot be reached costs each attempt a time-out. One is enough; each
/// time it fails again it stays out for longer.
#[test]
fn observe_unreachable_server_is_left_out_for_longer_each_time() {
    let mut health = Health::default();
    let mut now = Instant::from_millis(0);
    let mut waits = Vec::new();
    for _ in 0..5 {
        assert!(health.observe(now, Outcome::Unreached));
        let from = now;
        while !health.is_available(now) {
            now = now.plus_millis(100);
        }
        waits.push(now.since(from).as_millis());
    }
    assert_eq!(waits, [1_000, 2_000, 4_000, 8_000, 8_000]);
}
