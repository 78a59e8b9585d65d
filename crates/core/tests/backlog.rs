//! Tests of the bound on answers that callers have not taken.

use {
    jayspread_core::backlog::Backlog,
    proptest::prelude::*,
    std::time::{Duration, Instant},
};

const MEMORY_BYTES: u64 = 100_000;
const LIMIT_BYTES: u64 = 30_000;
const ROUTE: &str = "route";

/// Time for which a request without an expected answer is told to wait; none if it is let in.
fn refusal(backlog: &mut Backlog, now: Instant) -> Option<Duration> {
    backlog.reserve(ROUTE, now).err()
}

/// Guards against memory that is used up by answers to slow readers, and against refusals below the
/// limit.
#[test]
fn request_is_refused_from_the_limit_on() {
    let now = Instant::now();
    let mut backlog = Backlog::new(MEMORY_BYTES, now);
    backlog.hold(LIMIT_BYTES - 1);
    assert_eq!(refusal(&mut backlog, now), None);
    backlog.hold(1);
    assert!(refusal(&mut backlog, now).is_some());
    backlog.release(1, now);
    assert_eq!(refusal(&mut backlog, now), None);
}

/// Guards against memory that is used up by the answers of requests that all came in before the first
/// of them was answered.
#[test]
fn requests_in_progress_count_with_the_recent_answers_of_their_route() {
    let mut now = Instant::now();
    let mut backlog = Backlog::new(MEMORY_BYTES, now);
    backlog.record(ROUTE, 12_000, now);
    backlog.record(ROUTE, 8_000, now);
    let admitted: Vec<u64> = (0..60)
        .filter_map(|_| backlog.reserve(ROUTE, now).ok())
        .collect();
    assert_eq!(admitted, [10_000; 3]);
    backlog.cancel(10_000);
    assert_eq!(backlog.reserve("other", now), Ok(0));
    assert_eq!(backlog.reserve(ROUTE, now), Ok(10_000));
    now += Duration::from_secs(40);
    assert!(backlog.reserve(ROUTE, now).is_err());
    now += Duration::from_secs(40);
    backlog.cancel(10_000);
    assert_eq!(backlog.reserve(ROUTE, now), Ok(0));
}

/// Guards against a single large answer that closes its route to the requests beside it.
#[test]
fn one_large_answer_refuses_no_small_ones() {
    let now = Instant::now();
    let mut backlog = Backlog::new(MEMORY_BYTES, now);
    backlog.record(ROUTE, LIMIT_BYTES, now);
    (0..999).for_each(|_| backlog.record(ROUTE, 20, now));
    for admitted in 0..100 {
        assert!(backlog.reserve(ROUTE, now).is_ok(), "{admitted}");
    }
}

/// Guards against a route whose answers are larger than the limit and which gets none at all.
#[test]
fn answer_above_the_limit_is_let_in_alone() {
    let now = Instant::now();
    let mut backlog = Backlog::new(MEMORY_BYTES, now);
    backlog.record(ROUTE, 2 * LIMIT_BYTES, now);
    assert_eq!(backlog.reserve(ROUTE, now), Ok(2 * LIMIT_BYTES));
    assert!(backlog.reserve(ROUTE, now).is_err());
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
    let wait = refusal(&mut backlog, now).expect("is over the limit");
    let (low, high) = (Duration::from_millis(800), Duration::from_millis(1_300));
    assert!(wait >= low && wait <= high, "{wait:?}");
    now += Duration::from_secs(20);
    assert_eq!(refusal(&mut backlog, now), Some(Duration::from_secs(5)));
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
            prop_assert_eq!(refusal(&mut backlog, now).is_some(), held >= LIMIT_BYTES);
        }
    }
}
