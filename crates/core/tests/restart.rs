//! Tests of the restart of background tasks.

use {
    jayspread_core::restart::{Policy, Restarts},
    std::time::{Duration, Instant},
};

const POLICY: Policy = Policy {
    min_backoff: Duration::from_millis(100),
    max_backoff: Duration::from_millis(500),
    sound_after: Duration::from_secs(10),
    max_ends: 3,
};

/// Guards against a task that ends at once and takes the whole processor by its restarts.
#[test]
fn backoff_doubles_up_to_its_maximum() {
    let start = Instant::now();
    let mut restarts = Restarts::new(POLICY, start);
    let delays: Vec<u128> = (0..40)
        .map(|_| {
            let delay = restarts.record_end(start);
            restarts.record_restart(start);
            delay.as_millis()
        })
        .collect();
    assert_eq!(delays[..5], [100, 200, 400, 500, 500]);
    assert_eq!(delays[39], 500);
    assert_eq!(restarts.total(), 40);
}

/// Guards against a process that reports itself ready although one of its tasks ends again and again.
#[test]
fn task_that_ends_repeatedly_is_failing_until_it_has_run_for_a_while() {
    let start = Instant::now();
    let mut restarts = Restarts::new(POLICY, start);
    for _ in 0..2 {
        restarts.record_end(start);
        restarts.record_restart(start);
        assert!(!restarts.is_failing());
    }
    restarts.record_end(start);
    assert!(restarts.is_failing());
    restarts.record_restart(start);
    restarts.record_progress(start + Duration::from_secs(9));
    assert!(restarts.is_failing());
    restarts.record_progress(restarts.sound_at());
    assert!(!restarts.is_failing());
}

/// Guards against rare panics that add up to a failing task.
#[test]
fn ends_of_a_sound_task_do_not_add_up() {
    let start = Instant::now();
    let mut restarts = Restarts::new(POLICY, start);
    for n in 1..10 {
        let now = start + POLICY.sound_after * n;
        assert_eq!(restarts.record_end(now), POLICY.min_backoff);
        restarts.record_restart(now);
        assert!(!restarts.is_failing());
    }
}
