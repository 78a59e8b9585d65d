//! Tests of the age of the check that a load order relies on.

use {
    jayspread_core::load::is_check_recent,
    rstest::rstest,
    std::time::{Duration, Instant},
};

/// Guards against a load order by an agent that stood still since its check of the staged pieces.
#[rstest]
#[case::at_once(20, true)]
#[case::slow_host(1_900, true)]
#[case::stood_still(4_000, false)]
fn check_from_before_a_pause_allows_no_order(#[case] age_ms: u64, #[case] is_recent: bool) {
    let started_at = Instant::now();
    let now = started_at + Duration::from_millis(age_ms);
    assert_eq!(is_check_recent(started_at, now), is_recent);
}
