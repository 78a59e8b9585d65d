//! Tests of the number of entry hosts that share limits.

use {
    jayspread_core::census::Census,
    rstest::rstest,
    std::time::{Duration, Instant},
};

/// Guards against hosts that start together and then share limits for long with hosts that do not
/// exist, and against one that counts itself alone before it can have met the others.
#[rstest]
#[case::discovering(2, true, true, 1_400, 9)]
#[case::met_the_others(2, true, true, 1_600, 3)]
#[case::agreed_before_it_met_them(2, true, false, 1_600, 9)]
#[case::large_fleet(147, true, true, 200, 148)]
#[case::cut_off(0, false, false, 16_400, 9)]
#[case::no_list_agrees(2, false, false, 16_400, 9)]
#[case::alone(0, false, false, 16_600, 1)]
fn count_after_the_start(
    #[case] others: usize,
    #[case] agrees_early: bool,
    #[case] agrees: bool,
    #[case] age_ms: u64,
    #[case] expected: usize,
) {
    let start = Instant::now();
    let mut census = Census::new(start);
    census.count(others, agrees_early, start + Duration::from_millis(100));
    let now = start + Duration::from_millis(age_ms);
    assert_eq!(census.count(others, agrees, now), expected);
}

/// Guards against a host that takes the share of others as soon as it is cut off from them.
#[test]
fn hosts_that_are_no_longer_heard_count_for_a_while() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut census = Census::new(start);
    census.count(8, true, at(2));
    assert_eq!(census.count(0, false, at(16)), 9);
    assert_eq!(census.count(0, false, at(18)), 1);
}
