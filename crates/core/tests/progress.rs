//! Patterns: the origin goes away between two versions; a version spreads as usual; it comes back.

use {
    jayspread_core::{progress::Tracker, target::Target},
    std::time::{Duration, Instant},
};

const COUNT: usize = 48;

fn after(since: Instant, ms: u64) -> Instant {
    since + Duration::from_millis(ms)
}

fn newest(version: u64) -> Target {
    Target {
        version,
        set_at: Instant::now(),
    }
}

#[test]
fn a_version_that_spreads_as_usual_comes_all_the_time() {
    let newest = newest(3);
    let mut pursuit = Tracker::default();
    for ms in (0..20_000).step_by(50) {
        // Two pieces every 100 ms from 0.6 s on.
        let held = (ms.max(600) - 600) / 50;
        let held = COUNT.min(held as usize);
        assert!(
            pursuit.observe(newest, held, COUNT, after(newest.set_at, ms)),
            "{ms}"
        );
    }
}

#[test]
fn origin_away_between_two_versions_gives_the_newer_one_up_until_pieces_come_again() {
    let newest = newest(3);
    let mut pursuit = Tracker::default();
    let mut comes = |held, ms| pursuit.observe(newest, held, COUNT, after(newest.set_at, ms));
    assert!(comes(29, 500));
    assert!(comes(29, 1_100));
    assert!(!comes(29, 1_300), "nothing new for 0.8 s");
    assert!(!comes(29, 6_000));
    assert!(comes(31, 6_500), "the origin is back");
    assert!(comes(COUNT, 7_500));
    assert!(comes(COUNT, 30_000), "complete somewhere");
}

#[test]
fn origin_away_from_the_beginning_is_noticed() {
    let newest = newest(2);
    let mut pursuit = Tracker::default();
    assert!(pursuit.observe(newest, 0, COUNT, after(newest.set_at, 1_000)));
    assert!(!pursuit.observe(newest, 0, COUNT, after(newest.set_at, 1_300)));
}

#[test]
fn a_newer_version_is_judged_anew() {
    let first = newest(2);
    let mut pursuit = Tracker::default();
    assert!(pursuit.observe(first, 5, COUNT, after(first.set_at, 500)));
    let late = after(first.set_at, 9_000);
    assert!(!pursuit.observe(first, 5, COUNT, late));
    let second = Target {
        version: 3,
        set_at: late,
    };
    assert!(pursuit.observe(second, 0, COUNT, after(late, 100)));
}
