//! Tests of standstills of the process.

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::standstill::Standstill;

/// Returns a clock that has ticked four times a second until `until_ms`.
fn ticking(until_ms: u64) -> Standstill {
    let mut standstill = Standstill::default();
    for at_ms in (0..=until_ms).step_by(250) {
        assert_eq!(standstill.tick(Instant::from_millis(at_ms)), None);
    }
    standstill
}

#[test]
fn sent_at_running_process_is_now() {
    let standstill = ticking(1_000);
    let now = Instant::from_millis(1_300);
    assert_eq!(standstill.sent_at(now), now);
}

/// Guards against requests that waited for a paused process and count as sent when it wakes, whether
/// they are read before the timer fires or after it.
#[test]
fn sent_at_requests_that_waited_count_from_the_standstill_on() {
    let mut standstill = ticking(1_000);
    let began = Instant::from_millis(1_000);
    let woken = Instant::from_millis(6_000);
    assert_eq!(standstill.sent_at(woken), began);
    assert_eq!(standstill.tick(woken), Some(began));
    assert_eq!(standstill.sent_at(woken.plus_millis(500)), began);
    for late_ms in (250..1_000).step_by(250) {
        assert_eq!(standstill.tick(woken.plus_millis(late_ms)), None);
    }
    let later = woken.plus_millis(1_000);
    assert_eq!(standstill.sent_at(later), later);
}

/// Guards against a new process that counts its first requests as sent long before it started.
#[test]
fn sent_at_before_the_first_tick_is_now() {
    let now = Instant::from_millis(90_000);
    assert_eq!(Standstill::default().sent_at(now), now);
}
