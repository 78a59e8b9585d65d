//! Tests of the wait for a free engine.

use {
    jayspread_core::patience::{Request, Wait},
    rstest::rstest,
    std::time::Duration,
};

const MS: Duration = Duration::from_millis(1);
const FIRST_TRY: Request = Request {
    was_sent: false,
    is_caller_retry: false,
    is_stream: true,
    latency_target: Duration::from_millis(400),
    age: Duration::from_millis(10),
};
const CALLER_RETRY: Request = Request {
    is_caller_retry: true,
    ..FIRST_TRY
};

#[rstest]
#[case::first_try(FIRST_TRY, true, Wait::AtMost(40 * MS))]
#[case::first_try_that_waited(Request { age: 80 * MS, ..FIRST_TRY }, true, Wait::AtMost(Duration::ZERO))]
#[case::retry(CALLER_RETRY, false, Wait::AtMost(Duration::ZERO))]
#[case::retry_at_a_saturated_service(CALLER_RETRY, true, Wait::Refuse(1_500 * MS))]
#[case::plain_retry(Request { is_stream: false, ..CALLER_RETRY }, true, Wait::AtMost(Duration::ZERO))]
fn request_that_no_engine_has_had(
    #[case] request: Request,
    #[case] is_saturated: bool,
    #[case] wait: Wait,
) {
    assert_eq!(request.wait(is_saturated), wait);
}

/// Guards against a stream of a caller's retry that is cut at once when its engine ends, because the
/// service is saturated for others.
#[rstest]
#[case::first_try(FIRST_TRY)]
#[case::callers_retry(CALLER_RETRY)]
fn stream_that_lost_its_engine_waits_for_another(#[case] request: Request) {
    let request = Request {
        was_sent: true,
        ..request
    };
    assert_eq!(request.wait(true), Wait::AtMost(500 * MS));
}
