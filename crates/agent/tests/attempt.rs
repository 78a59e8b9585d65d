//! Tests of the outcome of an attempt.

use {
    jayspread_agent::{attempt, response::Outcome},
    std::time::Duration,
};

/// Guards against an attempt that panics and so counts as running for ever.
#[tokio::test]
async fn attempt_that_panics_has_failed() {
    let execution = async { panic!("response that panics") };
    let outcome = attempt::outcome(Duration::from_secs(5), execution).await;
    let expected = Outcome::Failed("panicked: response that panics".into());
    assert_eq!(outcome, expected);
}
