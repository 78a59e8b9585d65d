//! Tests of the bound on answers that callers have not taken.

use {
    jayspread_core::backlog::Backlog,
    proptest::prelude::*,
    std::time::{Duration, Instant},
};

const MEMORY_BYTES: u64 = 100_000;
const LIMIT_BYTES: u64 = 30_000;

/// Guards against memory that is used up by answers to slow readers, and against refusals below the
/// limit.
#[test]
fn request_is_refused_from_the_limit_on() {
    let now = Instant::now();
    let mut backlog = Backlog::new(MEMORY_BYTES, now);
    backlog.hold(LIMIT_BYTES - 1);
    assert_eq!(backlog.refusal(now), None);
    backlog.hold(1);
    assert!(backlog.refusal(now).is_some());
    backlog.release(1, now);
    assert_eq!(backlog.refusal(now), None);
}

/// Guards against a wait that has nothing to do with the rate at which answers are taken.
#[test]
fn refused_caller_waits_until_answers_are_taken() {
    let start = Instant::now();
    let mut backlog = Backlog::new(MEMORY_BYTES, start);
    backlog.hold(100_000);
    let mut now = start;
    // 10,000 bytes each second.
    for _ in 0..6 {
        now += Duration::from_secs(1);
        backlog.release(10_000, now);
    }
    let wait = backlog.refusal(now).expect("is over the limit");
    let (low, high) = (Duration::from_millis(800), Duration::from_millis(1_300));
    assert!(wait >= low && wait <= high, "{wait:?}");
    now += Duration::from_secs(20);
    assert_eq!(backlog.refusal(now), Some(Duration::from_secs(5)));
}

proptest! {
    /// Guards against held bytes that are lost or counted twice.
    #[test]
    fn held_bytes_are_those_of_the_answers_held(
        steps in prop::collection::vec((0_u64..40_000, any::<bool>(), 0_u64..10_000), 1..200),
    ) {
        let mut now = Instant::now();
        let mut backlog = Backlog::new(MEMORY_BYTES, now);
        let mut answers = Vec::new();
        for (bytes, takes, pause_ms) in steps {
            now += Duration::from_millis(pause_ms);
            if takes && let Some(bytes) = answers.pop() {
                backlog.release(bytes, now);
            } else {
                answers.push(bytes);
                backlog.hold(bytes);
            }
            let held: u64 = answers.iter().sum();
            prop_assert_eq!(backlog.held(), held);
            prop_assert_eq!(backlog.refusal(now).is_some(), held >= LIMIT_BYTES);
        }
    }
}
