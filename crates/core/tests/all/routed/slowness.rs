//! Which answers of a version on trial count as slow.

use fescuerack_core::routed::slowness::{Pace, Usual};
use fescuerack_core::routed::wait::Wait;
use rstest::rstest;

/// Answers of 200 ms behind 10 units of work.
fn known() -> (Usual, Wait) {
    let (mut usual, mut wait) = (Usual::default(), Wait::default());
    for _ in 0..200 {
        wait.observe(10.0, 200.0);
        usual.learn(&Pace {
            head_ms: 200.0,
            expected_ms: wait.millis(10.0),
            event_ms: Some(20.0),
        });
    }
    (usual, wait)
}

/// A good version is rolled back, and its operators try again at night. Its servers have just
/// started, a burst falls into the trial, and the few that take its share have five times the work
/// of the old ones: their first tokens come after 1.2 s in place of 0.2.
#[rstest]
#[case::busy_servers(50.0, 1_200.0, 20.0, false)]
#[case::cold_servers(10.0, 700.0, 20.0, false)]
#[case::slow_version(10.0, 1_600.0, 20.0, true)]
#[case::slow_version_on_busy_servers(50.0, 8_000.0, 20.0, true)]
#[case::events_drag(10.0, 200.0, 100.0, true)]
fn is_slow_weighs_the_work_on_the_server(
    #[case] work: f64,
    #[case] head_ms: f64,
    #[case] event_ms: f64,
    #[case] is_slow: bool,
) {
    let (usual, wait) = known();
    let pace = Pace {
        head_ms,
        expected_ms: wait.millis(work),
        event_ms: Some(event_ms),
    };
    assert_eq!(usual.is_slow(&pace), is_slow);
}

/// Without answers of the old version nothing is known to be slow.
#[test]
fn is_slow_needs_something_to_compare_with() {
    let pace = Pace {
        head_ms: 9_000.0,
        expected_ms: 100.0,
        event_ms: None,
    };
    assert!(!Usual::default().is_slow(&pace));
}
