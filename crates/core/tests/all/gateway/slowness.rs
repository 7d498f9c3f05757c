//! Tests of which answers of a canary version count as slow.

use fescuerack_core::gateway::slowness::{Baseline, Timing};
use fescuerack_core::gateway::wait::Wait;
use rstest::rstest;

/// Returns a baseline of answers that took 200 ms at a load of 10.
fn baseline() -> (Baseline, Wait) {
    let (mut usual, mut wait) = (Baseline::default(), Wait::default());
    for _ in 0..200 {
        wait.observe(10.0, 200.0);
        usual.observe(&Timing {
            head_ms: 200.0,
            expected_ms: wait.millis(10.0),
            event_interval_ms: Some(20.0),
        });
    }
    (usual, wait)
}

/// Guards against the rollback of a good version whose canary coincides with a burst. Its servers
/// have just started, and the few that take its share have five times the load of the old ones:
/// their first tokens come after 1.2 s instead of 0.2 s.
#[rstest]
#[case::busy_servers(50.0, 1_200.0, 20.0, false)]
#[case::cold_servers(10.0, 700.0, 20.0, false)]
#[case::slow_version(10.0, 1_600.0, 20.0, true)]
#[case::slow_version_on_busy_servers(50.0, 8_000.0, 20.0, true)]
#[case::slow_events(10.0, 200.0, 100.0, true)]
fn is_slow_considers_the_load_of_the_server(
    #[case] load: f64,
    #[case] head_ms: f64,
    #[case] event_ms: f64,
    #[case] is_slow: bool,
) {
    let (usual, wait) = baseline();
    let timing = Timing {
        head_ms,
        expected_ms: wait.millis(load),
        event_interval_ms: Some(event_ms),
    };
    assert_eq!(usual.is_slow(&timing), is_slow);
}

/// Without answers of the old version there is no baseline, and no answer counts as slow.
#[test]
fn is_slow_needs_a_baseline() {
    let timing = Timing {
        head_ms: 9_000.0,
        expected_ms: 100.0,
        event_interval_ms: None,
    };
    assert!(!Baseline::default().is_slow(&timing));
}
