//! Tests of sliding windows, and of the retry budget that entry hosts share without coordination.

use {
    jayspread_core::window::{Budget, Window},
    proptest::prelude::*,
    rstest::rstest,
    std::time::{Duration, Instant},
};

const WINDOW: Duration = Duration::from_secs(10);
/// Retries per request.
const RATIO: f64 = 0.2;
/// Retries allowed beyond the ratio, for all hosts together.
const ALLOWANCE: f64 = 100.0;

#[test]
fn events_leave_the_window() {
    let start = Instant::now();
    let mut window = Window::new(WINDOW);
    window.record(start);
    window.record(start + Duration::from_secs(4));
    assert_eq!(window.count(start + Duration::from_secs(9)), 2);
    assert_eq!(window.count(start + Duration::from_secs(10)), 1);
    assert_eq!(window.count(start + Duration::from_secs(14)), 0);
}

/// All engines fail, and each host retries as often as its budget permits. The limit must hold in
/// every window, also if each host sees only some of the others.
#[rstest]
#[case::one_host(1, 1)]
#[case::all_hosts_seen(9, 9)]
#[case::two_hosts_not_seen(9, 7)]
fn budget_holds_over_all_hosts_when_every_request_fails(
    #[case] hosts: usize,
    #[case] hosts_seen: usize,
) {
    let start = Instant::now();
    let mut budgets: Vec<Budget> = (0..hosts)
        .map(|_| Budget::new(WINDOW, RATIO, ALLOWANCE))
        .collect();
    let mut retries = Vec::new();
    let mut requests = Vec::new();
    for step in 0..6_000_u64 {
        let now = start + Duration::from_millis(5 * step);
        let budget = &mut budgets[step as usize % hosts];
        budget.record_request(now);
        requests.push(now);
        if budget.try_take(hosts_seen, now) {
            retries.push(now);
        }
    }
    for end in &retries {
        let in_window = |times: &[Instant]| {
            let times = times.iter().filter(|t| **t <= *end && *end - **t < WINDOW);
            times.count() as f64
        };
        let allowed = in_window(&requests) * RATIO + ALLOWANCE;
        assert!(in_window(&retries) <= allowed);
    }
    assert!(retries.len() > 100, "the budget permits too few retries");
}

proptest! {
    #[test]
    fn host_does_not_exceed_its_share(gaps in proptest::collection::vec(0_u64..400, 1..300)) {
        let mut now = Instant::now();
        let mut budget = Budget::new(WINDOW, RATIO, ALLOWANCE);
        let mut retries: Vec<Instant> = Vec::new();
        let mut requests: Vec<Instant> = Vec::new();
        for gap in gaps {
            now += Duration::from_millis(gap);
            if gap % 3 == 0 {
                budget.record_request(now);
                requests.push(now);
            }
            if budget.try_take(4, now) {
                retries.push(now);
            }
            let recent = |times: &[Instant]| {
                times.iter().filter(|t| now - **t < WINDOW).count() as f64
            };
            prop_assert!(recent(&retries) <= recent(&requests) * RATIO + ALLOWANCE / 4.0);
        }
    }
}
