//! Tests of the detection of stalled distributions: steady progress, an origin that becomes
//! unreachable between two versions, and its return.

use {
    jayspread_core::{progress::Tracker, target::Target},
    std::time::{Duration, Instant},
};

const PIECES: usize = 48;

fn time_after(since: Instant, ms: u64) -> Instant {
    since + Duration::from_millis(ms)
}

fn newest(version: u64) -> Target {
    Target {
        version,
        set_at: Instant::now(),
        assumed: false,
    }
}

#[test]
fn steady_distribution_counts_as_progressing() {
    let newest = newest(3);
    let mut tracker = Tracker::default();
    for ms in (0..20_000).step_by(50) {
        // Two pieces every 100 ms, starting at 0.6 s.
        let held = (ms.max(600) - 600) / 50;
        let held = PIECES.min(held as usize);
        assert!(
            tracker.observe(newest, held, PIECES, time_after(newest.set_at, ms)),
            "{ms}"
        );
    }
}

#[test]
fn unreachable_origin_stalls_the_newest_version_until_new_pieces_arrive() {
    let newest = newest(3);
    let mut tracker = Tracker::default();
    let mut observe =
        |held, ms| tracker.observe(newest, held, PIECES, time_after(newest.set_at, ms));
    assert!(observe(29, 500));
    assert!(observe(29, 1_100));
    assert!(!observe(29, 1_300), "no new piece for 0.8 s");
    assert!(!observe(29, 6_000));
    assert!(observe(31, 6_500), "the origin is reachable again");
    assert!(observe(PIECES, 7_500));
    assert!(observe(PIECES, 30_000), "all pieces are held");
}

#[test]
fn origin_unreachable_from_the_start_is_detected() {
    let newest = newest(2);
    let mut tracker = Tracker::default();
    assert!(tracker.observe(newest, 0, PIECES, time_after(newest.set_at, 1_000)));
    assert!(!tracker.observe(newest, 0, PIECES, time_after(newest.set_at, 1_300)));
}

#[test]
fn newer_version_starts_without_stall() {
    let first = newest(2);
    let mut tracker = Tracker::default();
    assert!(tracker.observe(first, 5, PIECES, time_after(first.set_at, 500)));
    let later = time_after(first.set_at, 9_000);
    assert!(!tracker.observe(first, 5, PIECES, later));
    let second = Target {
        version: 3,
        set_at: later,
        assumed: false,
    };
    assert!(tracker.observe(second, 0, PIECES, time_after(later, 100)));
}
