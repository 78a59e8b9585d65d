//! Tests of caught panics.

use jayspread_net::panic;

/// Guards against log lines without a bound: a message may contain what was received.
#[tokio::test]
async fn message_of_a_panic_is_bounded() {
    let long = "é".repeat(1_000);
    let work = async { assert!(long.is_empty(), "x{long}") };
    let message = panic::catch_async(work).await.map_err(|p| p.to_string());
    assert_eq!(message, Err(format!("x{}", "é".repeat(127))));
}
