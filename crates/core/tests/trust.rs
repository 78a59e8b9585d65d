//! Engines whose answers fail are left out and tried again.

use {
    jayspread_core::trust::{Trust, Verdict},
    std::time::{Duration, Instant},
};

#[test]
fn one_failure_leaves_an_engine_in() {
    let now = Instant::now();
    let mut trust = Trust::default();
    assert!(!trust.judge(Verdict::Bad, now));
    assert!(trust.usable(now));
}

#[test]
fn a_silent_engine_is_left_out_and_tried_with_one_request() {
    let now = Instant::now();
    let mut trust = Trust::default();
    trust.judge(Verdict::Bad, now);
    assert!(trust.judge(Verdict::Bad, now), "left out from now on");
    assert!(!trust.usable(now));
    let later = now + Duration::from_secs(1);
    assert!(trust.usable(later));
    trust.send(later);
    assert!(!trust.usable(later), "one try at a time");
    trust.judge(Verdict::Good, later);
    assert!(trust.usable(later));
    assert!(trust.sound());
}

#[test]
fn an_engine_that_fails_its_try_is_left_out_for_longer() {
    let mut now = Instant::now();
    let mut trust = Trust::default();
    trust.judge(Verdict::Bad, now);
    trust.judge(Verdict::Bad, now);
    now += Duration::from_secs(1);
    trust.send(now);
    trust.judge(Verdict::Bad, now);
    assert!(!trust.usable(now + Duration::from_millis(900)));
    assert!(trust.usable(now + Duration::from_millis(1_100)));
}

/// Fails 40 in 100 of its requests while its health is good.
#[test]
fn a_grey_engine_gets_few_requests() {
    let mut now = Instant::now();
    let mut trust = Trust::default();
    let (mut sent, mut offered) = (0, 0);
    for number in 0..2_000_u32 {
        now += Duration::from_millis(20);
        offered += 1;
        if !trust.usable(now) {
            continue;
        }
        trust.send(now);
        sent += 1;
        let bad = number.wrapping_mul(2_654_435_761) % 100 < 40;
        let verdict = if bad { Verdict::Bad } else { Verdict::Good };
        trust.judge(verdict, now);
    }
    assert!(sent * 3 < offered, "{sent} of {offered}");
}

#[test]
fn a_full_engine_is_no_bad_one() {
    let now = Instant::now();
    let mut trust = Trust::default();
    for _ in 0..50 {
        assert!(!trust.judge(Verdict::Full, now));
    }
    assert!(trust.usable(now));
}
