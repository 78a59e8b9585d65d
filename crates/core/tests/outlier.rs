//! Tests of ejecting engines whose requests fail, and of probing them afterwards.

use {
    jayspread_core::outlier::{Detector, Outcome},
    std::time::{Duration, Instant},
};

#[test]
fn single_failure_does_not_eject() {
    let now = Instant::now();
    let mut detector = Detector::default();
    assert!(!detector.record_outcome(Outcome::Failure, now));
    assert!(detector.usable(now));
}

#[test]
fn failing_engine_is_ejected_and_probed_with_one_request() {
    let now = Instant::now();
    let mut detector = Detector::default();
    detector.record_outcome(Outcome::Failure, now);
    assert!(
        detector.record_outcome(Outcome::Failure, now),
        "newly ejected"
    );
    assert!(!detector.usable(now));
    let later = now + Duration::from_secs(1);
    assert!(detector.usable(later));
    detector.record_send(later);
    assert!(!detector.usable(later), "one probe at a time");
    detector.record_outcome(Outcome::Success, later);
    assert!(detector.usable(later));
    assert!(detector.is_healthy());
}

#[test]
fn failed_probe_extends_the_ejection() {
    let mut now = Instant::now();
    let mut detector = Detector::default();
    detector.record_outcome(Outcome::Failure, now);
    detector.record_outcome(Outcome::Failure, now);
    now += Duration::from_secs(1);
    detector.record_send(now);
    detector.record_outcome(Outcome::Failure, now);
    assert!(!detector.usable(now + Duration::from_millis(900)));
    assert!(detector.usable(now + Duration::from_millis(1_100)));
}

/// The engine fails 40 of 100 requests while its health check passes.
#[test]
fn engine_with_intermittent_failures_gets_few_requests() {
    let mut now = Instant::now();
    let mut detector = Detector::default();
    let (mut sent, mut offered) = (0, 0);
    for request in 0..2_000_u32 {
        now += Duration::from_millis(20);
        offered += 1;
        if !detector.usable(now) {
            continue;
        }
        detector.record_send(now);
        sent += 1;
        let failed = request.wrapping_mul(2_654_435_761) % 100 < 40;
        let outcome = if failed {
            Outcome::Failure
        } else {
            Outcome::Success
        };
        detector.record_outcome(outcome, now);
    }
    assert!(sent * 3 < offered, "{sent} of {offered}");
}

#[test]
fn rejections_do_not_eject() {
    let now = Instant::now();
    let mut detector = Detector::default();
    for _ in 0..50 {
        assert!(!detector.record_outcome(Outcome::Rejected, now));
    }
    assert!(detector.usable(now));
}
