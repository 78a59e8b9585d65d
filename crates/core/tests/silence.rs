//! Tests of the silence after which another engine is asked, and of the retries that may be spent
//! on it.

use {
    jayspread_core::{
        silence::{Awaited, Silence},
        window::Budget,
    },
    rstest::rstest,
    std::time::{Duration, Instant},
};

const MS: Duration = Duration::from_millis(1);

#[rstest]
#[case::event(Awaited::Event(300 * MS), 449, false, false)]
#[case::event_overdue(Awaited::Event(300 * MS), 450, false, true)]
#[case::event_of_a_busy_engine(Awaited::Event(300 * MS), 1_199, true, false)]
#[case::event_of_a_busy_engine_overdue(Awaited::Event(300 * MS), 1_200, true, true)]
#[case::answer(Awaited::Answer(100 * MS), 199, false, false)]
#[case::answer_overdue(Awaited::Answer(100 * MS), 200, true, true)]
#[case::quick_answer(Awaited::Answer(10 * MS), 149, false, false)]
#[case::target_out_of_range(Awaited::Event(Duration::MAX), u64::MAX, false, false)]
fn engine_counts_as_stalled(
    #[case] awaited: Awaited,
    #[case] lasted_ms: u64,
    #[case] is_responsive: bool,
    #[case] stalled: bool,
) {
    let silence = Silence {
        awaited,
        lasted: Duration::from_millis(lasted_ms),
        is_responsive,
    };
    assert_eq!(silence.is_stall(), stalled);
}

/// Guards against many silent streams that use up the retries of requests whose engine has ended.
#[test]
fn silent_streams_leave_retries_to_requests_that_lost_their_engine() {
    let now = Instant::now();
    let mut budget = Budget::new(Duration::from_secs(10), 0.2, 0.0);
    for _ in 0..1_000 {
        budget.record_request(now);
    }
    let mut beside = 0;
    while budget.has_spare(1, now) {
        assert!(budget.try_take(1, now));
        beside += 1;
    }
    let mut retries = 0;
    while budget.try_take(1, now) {
        retries += 1;
    }
    assert!(beside > 0);
    assert!(retries >= beside, "{retries} left of {}", beside + retries);
}

#[rstest]
#[case::of_a_sound_engine(1_200, false)]
#[case::of_an_engine_that_has_ended(1_500, true)]
fn long_silence(#[case] lasted_ms: u64, #[case] is_long: bool) {
    let silence = Silence {
        awaited: Awaited::Event(300 * MS),
        lasted: Duration::from_millis(lasted_ms),
        is_responsive: false,
    };
    assert_eq!(silence.is_long(), is_long);
}
