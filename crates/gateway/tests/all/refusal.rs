//! Error responses that the gateway itself generates.

use fescuerack_core::clock::Instant;
use fescuerack_gateway::refusal::Refusal;
use hyper::header::RETRY_AFTER;
use rstest::rstest;

const NOW: Instant = Instant::from_millis(50_000);

/// Many callers are refused at the same time. With the same `Retry-After`, all of them would retry
/// at the same time; with one beyond their deadline, none would retry.
#[rstest]
#[case::short(900)]
#[case::long(25_000)]
fn response_retry_after_is_spread_within_the_deadline(#[case] left_ms: u64) {
    let deadline = NOW.plus_millis(left_ms);
    let mut seconds: Vec<f64> = (0..100_u8)
        .map(|step| {
            let response = Refusal::NotRun.response(NOW, deadline, f64::from(step) / 100.0);
            let value = response.headers()[RETRY_AFTER]
                .to_str()
                .expect("text")
                .to_owned();
            value.parse().expect("seconds")
        })
        .collect();
    seconds.sort_by(f64::total_cmp);
    let third = Instant(left_ms * 1_000)
        .since(Instant::ORIGIN)
        .as_secs_f64()
        / 3.0;
    assert!(seconds[99] <= third, "{} of {third}", seconds[99]);
    assert!(seconds[99] > 2.0 * seconds[0]);
}

/// Only a request that was certainly not run may be reported as retryable.
#[rstest]
#[case(Refusal::NotRun, 503, true)]
#[case(Refusal::NotReady, 503, true)]
#[case(Refusal::OutcomeUnknown, 502, false)]
#[case(Refusal::DeadlineExceeded, 504, false)]
#[case(Refusal::NoRoute, 404, false)]
#[case(Refusal::UnknownKey, 401, false)]
fn response_status_and_retry_after_of_each_refusal(
    #[case] refusal: Refusal,
    #[case] status: u16,
    #[case] has_retry_after: bool,
) {
    let response = refusal.response(NOW, NOW.plus_millis(1_000), 0.5);
    assert_eq!(response.status().as_u16(), status);
    assert_eq!(
        response.headers().contains_key(RETRY_AFTER),
        has_retry_after
    );
}

/// Guards against callers that are told to return before any server accepts their request.
#[test]
fn response_retry_after_is_no_earlier_than_a_server_accepts() {
    let free = NOW.plus_millis(2_300);
    for spread in [0.0, 0.5, 1.0] {
        let response = Refusal::NotBefore(free).response(NOW, NOW.plus_millis(1_000), spread);
        let value = response.headers()[RETRY_AFTER].to_str().expect("text");
        let seconds: f64 = value.parse().expect("seconds");
        assert!((2.3..4.0).contains(&seconds), "{seconds}");
    }
}
