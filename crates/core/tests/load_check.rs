//! Tests of the check that a load order relies on.

use {
    jayspread_core::load::Check,
    rstest::rstest,
    std::time::{Duration, Instant},
};

/// Guards against a load order by an agent that stood still since or during its check of the staged
/// pieces, and against a large or slowly read version that is never loaded.
#[rstest]
#[case::at_once(&[], 20, true)]
#[case::slow_host(&[], 1_900, true)]
#[case::stood_still(&[], 4_000, false)]
#[case::large_version(&[1; 10_000], 1, true)]
#[case::slow_hashing(&[500; 40], 500, true)]
#[case::stood_still_after_a_step(&[1, 1], 4_000, false)]
#[case::stood_still_between_steps(&[1, 4_000, 1], 1, false)]
fn only_a_check_without_a_pause_allows_an_order(
    #[case] steps_ms: &[u64],
    #[case] order_ms: u64,
    #[case] is_recent: bool,
) {
    let mut now = Instant::now();
    let mut check = Check::new(now);
    for step_ms in steps_ms {
        now += Duration::from_millis(*step_ms);
        check.step(now);
    }
    now += Duration::from_millis(order_ms);
    assert_eq!(check.is_recent(now), is_recent);
}
