//! Limits that entry hosts share without talking.

use {
    jayspread_core::window::{Budget, Window},
    proptest::prelude::*,
    rstest::rstest,
    std::time::{Duration, Instant},
};

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const SLACK: f64 = 100.0;

#[test]
fn a_window_forgets_what_has_left_it() {
    let begin = Instant::now();
    let mut window = Window::new(WINDOW);
    window.record(begin);
    window.record(begin + Duration::from_secs(4));
    assert_eq!(window.count(begin + Duration::from_secs(9)), 2);
    assert_eq!(window.count(begin + Duration::from_secs(10)), 1);
    assert_eq!(window.count(begin + Duration::from_secs(14)), 0);
}

/// Every engine fails: each host repeats as much as its budget gives, in every window of the run.
#[rstest]
#[case::one_host(1, 1)]
#[case::all_hosts_seen(9, 9)]
#[case::two_hosts_out_of_sight(9, 7)]
fn budget_holds_over_all_hosts_when_every_request_fails(#[case] hosts: usize, #[case] seen: usize) {
    let begin = Instant::now();
    let mut budgets: Vec<Budget> = (0..hosts)
        .map(|_| Budget::new(WINDOW, RATIO, SLACK))
        .collect();
    let mut repeats = Vec::new();
    let mut requests = Vec::new();
    for step in 0..6_000_u64 {
        let now = begin + Duration::from_millis(5 * step);
        let budget = &mut budgets[step as usize % hosts];
        budget.record_request(now);
        requests.push(now);
        if budget.try_take(seen, now) {
            repeats.push(now);
        }
    }
    for at in &repeats {
        let inside = |times: &[Instant]| {
            let span = times.iter().filter(|t| **t <= *at && *at - **t < WINDOW);
            span.count() as f64
        };
        let allowed = inside(&requests) * RATIO + SLACK;
        assert!(inside(&repeats) <= allowed);
    }
    assert!(
        repeats.len() > 100,
        "a budget that is never given helps nobody"
    );
}

proptest! {
    #[test]
    fn a_host_never_exceeds_its_own_share(gaps in proptest::collection::vec(0_u64..400, 1..300)) {
        let mut now = Instant::now();
        let mut budget = Budget::new(WINDOW, RATIO, SLACK);
        let mut repeats: Vec<Instant> = Vec::new();
        let mut requests: Vec<Instant> = Vec::new();
        for gap in gaps {
            now += Duration::from_millis(gap);
            if gap % 3 == 0 {
                budget.record_request(now);
                requests.push(now);
            }
            if budget.try_take(4, now) {
                repeats.push(now);
            }
            let recent = |times: &[Instant]| {
                times.iter().filter(|t| now - **t < WINDOW).count() as f64
            };
            prop_assert!(recent(&repeats) <= recent(&requests) * RATIO + SLACK / 4.0);
        }
    }
}
