//! Tests of the classification of errors.

use fescuerack_client::Fault;
use rstest::rstest;

/// Guards against an engine's own error that is reported as a refusal, as if the call certainly had
/// no effect.
#[rstest]
#[case::invalid(400, false)]
#[case::fenced(409, false)]
#[case::overloaded(503, false)]
#[case::error(500, true)]
#[case::gateway(502, true)]
#[case::timeout(504, true)]
fn from_status_errors_of_the_server_are_failures(#[case] status: u16, #[case] is_failure: bool) {
    let fault = Fault::from_status(status, "text".to_owned());
    assert_eq!(matches!(fault, Fault::Failed { .. }), is_failure);
    let word = if is_failure { "failed" } else { "refused" };
    assert_eq!(
        fault.to_string(),
        format!("{word} with status {status}: text")
    );
}
