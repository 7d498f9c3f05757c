//! Tests of the ejection of servers by one node.

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::health::{Health, Outcome};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;

/// Simulates a server that fails the share `failing` of its requests while its own health check
/// succeeds. Returns the share of outcomes that ejected it.
fn ejection_share(failing: f64) -> f64 {
    let mut random = Pcg64::seed_from_u64(11);
    let mut health = Health::default();
    let mut ejections = 0_u32;
    let outcomes = 20_000_u32;
    for step in 0..u64::from(outcomes) {
        let now = Instant::from_millis(step * 20_000);
        let failed = random.random::<f64>() < failing;
        let outcome = if failed {
            Outcome::Failed
        } else {
            Outcome::Succeeded
        };
        ejections += u32::from(health.observe(now, outcome));
    }
    f64::from(ejections) / f64::from(outcomes)
}

#[test]
fn observe_failing_server_is_ejected() {
    assert!(ejection_share(0.9) > 0.3, "{}", ejection_share(0.9));
}

/// A service that always fails 14 in 100 requests must keep its servers: ejections would move the
/// load but not prevent the failures.
#[test]
fn observe_usual_failures_keep_the_server() {
    assert!(ejection_share(0.14) < 0.01, "{}", ejection_share(0.14));
}

/// Each attempt on an unreachable server costs a time-out, so one failure ejects it, and each
/// further failure ejects it for longer.
#[test]
fn observe_unreachable_server_is_ejected_for_longer_each_time() {
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
