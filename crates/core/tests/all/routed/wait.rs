//! How long requests wait behind the work on a server.

use fescuerack_core::routed::wait::Wait;

/// Engines of one deployment take 8 ms for a unit of work, those of another 24, and the day turns:
/// prompts are three times as long to read. Each node must know after some dozen answers, and a
/// single odd answer must change little.
#[test]
fn millis_follow_what_is_seen() {
    for unit_ms in [8.0, 24.0] {
        let mut wait = Wait::default();
        for number in 0..60 {
            let work = 5.0 + f64::from(number % 7) * 10.0;
            wait.observe(work, work * unit_ms);
        }
        let seen = wait.millis(1.0);
        assert!((seen / unit_ms - 1.0).abs() < 0.2, "{seen} for {unit_ms}");
        wait.observe(10.0, 10.0 * unit_ms * 8.0);
        assert!(wait.millis(1.0) < seen * 1.1);
        for _ in 0..120 {
            wait.observe(30.0, 30.0 * unit_ms * 3.0);
        }
        let turned = wait.millis(1.0) / unit_ms;
        assert!((2.4..=3.1).contains(&turned), "{turned}");
    }
}
