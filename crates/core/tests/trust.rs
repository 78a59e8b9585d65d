//! Engines whose answers fail are left out and tried again.

use {
    jayspread_core::outlier::{Detector, Outcome},
    std::time::{Duration, Instant},
};

#[test]
fn one_failure_leaves_an_engine_in() {
    let now = Instant::now();
    let mut trust = Detector::default();
    assert!(!trust.record_outcome(Outcome::Failure, now));
    assert!(trust.usable(now));
}

#[test]
fn a_silent_engine_is_left_out_and_tried_with_one_request() {
    let now = Instant::now();
    let mut trust = Detector::default();
    trust.record_outcome(Outcome::Failure, now);
    assert!(
        trust.record_outcome(Outcome::Failure, now),
        "left out from now on"
    );
    assert!(!trust.usable(now));
    let later = now + Duration::from_secs(1);
    assert!(trust.usable(later));
    trust.record_send(later);
    assert!(!trust.usable(later), "one try at a time");
    trust.record_outcome(Outcome::Success, later);
    assert!(trust.usable(later));
    assert!(trust.is_healthy());
}

#[test]
fn an_engine_that_fails_its_try_is_left_out_for_longer() {
    let mut now = Instant::now();
    let mut trust = Detector::default();
    trust.record_outcome(Outcome::Failure, now);
    trust.record_outcome(Outcome::Failure, now);
    now += Duration::from_secs(1);
    trust.record_send(now);
    trust.record_outcome(Outcome::Failure, now);
    assert!(!trust.usable(now + Duration::from_millis(900)));
    assert!(trust.usable(now + Duration::from_millis(1_100)));
}

/// Fails 40 in 100 of its requests while its health is good.
#[test]
fn a_grey_engine_gets_few_requests() {
    let mut now = Instant::now();
    let mut trust = Detector::default();
    let (mut sent, mut offered) = (0, 0);
    for number in 0..2_000_u32 {
        now += Duration::from_millis(20);
        offered += 1;
        if !trust.usable(now) {
            continue;
        }
        trust.record_send(now);
        sent += 1;
        let bad = number.wrapping_mul(2_654_435_761) % 100 < 40;
        let verdict = if bad {
            Outcome::Failure
        } else {
            Outcome::Success
        };
        trust.record_outcome(verdict, now);
    }
    assert!(sent * 3 < offered, "{sent} of {offered}");
}

#[test]
fn a_full_engine_is_no_bad_one() {
    let now = Instant::now();
    let mut trust = Detector::default();
    for _ in 0..50 {
        assert!(!trust.record_outcome(Outcome::Rejected, now));
    }
    assert!(trust.usable(now));
}
