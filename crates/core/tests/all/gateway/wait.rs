//! Tests of the estimate of how long requests wait behind the load on a server.

use fescuerack_core::gateway::wait::Wait;

/// Engines of one deployment take 8 ms for a load of 1, those of another 24 ms, and within a day
/// prompts become three times as long to process. The estimate must follow after a few dozen
/// answers, and a single outlier must change it little.
#[test]
fn millis_follow_the_answers() {
    for unit_ms in [8.0, 24.0] {
        let mut wait = Wait::default();
        for number in 0..60 {
            let load = 5.0 + f64::from(number % 7) * 10.0;
            wait.observe(load, load * unit_ms);
        }
        let estimate = wait.millis(1.0);
        assert!(
            (estimate / unit_ms - 1.0).abs() < 0.2,
            "{estimate} for {unit_ms}"
        );
        wait.observe(10.0, 10.0 * unit_ms * 8.0);
        assert!(wait.millis(1.0) < estimate * 1.1);
        for _ in 0..120 {
            wait.observe(30.0, 30.0 * unit_ms * 3.0);
        }
        let growth = wait.millis(1.0) / unit_ms;
        assert!((2.4..=3.1).contains(&growth), "{growth}");
    }
}
