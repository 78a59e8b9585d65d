//! Tests of the decision whether the peer of a connection is slow, stands still or is dead.

use {
    jayspread_core::delivery::{
        End, Queue, SAMPLE_INTERVAL, SILENCE_LIMIT, STANDSTILL_LIMIT, Sample, Verdict, Watch,
    },
    proptest::prelude::*,
    rstest::rstest,
    std::time::{Duration, Instant},
};

const MS: Duration = Duration::from_millis(1);
/// Number of bytes that are written at the beginning.
const WRITTEN: u64 = 1 << 20;
/// Time after which a test ends.
const TEST_TIME: Duration = Duration::from_secs(100);

/// Time of each kernel's answer to a probe after it was sent.
const ROUND_TRIP: Duration = Duration::from_millis(40);

/// Peer with a closed window; the kernel probes it in longer and longer intervals.
fn closed_window(unacknowledged: u64, elapsed: Duration) -> Queue {
    let mut sent_at = Duration::ZERO;
    let mut interval = 200 * MS;
    while sent_at + interval <= elapsed {
        sent_at += interval;
        interval *= 2;
    }
    let since = elapsed - sent_at;
    let awaits_reply = since < ROUND_TRIP && !sent_at.is_zero();
    let last = if awaits_reply {
        interval / 2
    } else {
        Duration::ZERO
    };
    Queue {
        unacknowledged,
        awaits_reply,
        silent_for: since + last,
    }
}

/// Samples a peer until its connection is to be closed; returns why and when.
fn watch(
    queue: impl Fn(Duration) -> Option<Queue>,
    is_blocked: bool,
    offset: Duration,
) -> (Option<End>, Duration) {
    let start = Instant::now();
    let mut watch = Watch::new(0, start);
    let mut elapsed = offset;
    while elapsed < TEST_TIME {
        let sample = Sample {
            written: WRITTEN,
            is_blocked,
            queue: queue(elapsed),
        };
        match watch.observe(sample, start + elapsed) {
            Verdict::Ended(end) => return (Some(end), elapsed),
            Verdict::Idle => return (None, elapsed),
            Verdict::Waiting => elapsed += SAMPLE_INTERVAL,
        }
    }
    (None, elapsed)
}

/// Guards against a dead peer whose answer is held for longer than the limit.
#[rstest]
#[case::from_the_beginning(Duration::ZERO)]
#[case::after_a_second(Duration::from_secs(1))]
fn dead_peer_is_given_up_within_the_limit(#[case] answered_for: Duration) {
    let queue = |elapsed: Duration| {
        Some(Queue {
            unacknowledged: WRITTEN,
            awaits_reply: true,
            silent_for: elapsed.saturating_sub(answered_for),
        })
    };
    let (end, elapsed) = watch(queue, true, SAMPLE_INTERVAL);
    assert_eq!(end, Some(End::Dead));
    let silent_for = elapsed - answered_for;
    assert!(silent_for >= SILENCE_LIMIT, "{silent_for:?}");
    assert!(
        silent_for <= SILENCE_LIMIT + SAMPLE_INTERVAL,
        "{silent_for:?}"
    );
}

/// Guards against a reader that pauses and is taken for dead while the kernel probes it, and against
/// one that is kept for ever.
#[test]
fn peer_that_answers_probes_stands_still() {
    for offset in 0..500 {
        let queue = |elapsed| Some(closed_window(WRITTEN, elapsed));
        let (end, elapsed) = watch(queue, true, offset * MS);
        assert_eq!(end, Some(End::StandsStill), "{offset} {elapsed:?}");
        assert!(elapsed >= STANDSTILL_LIMIT);
        assert!(elapsed <= STANDSTILL_LIMIT + 2 * SAMPLE_INTERVAL);
    }
}

/// Guards against a slow reader that is given up although it goes on reading.
#[test]
fn slow_reader_is_kept() {
    let queue = |elapsed: Duration| {
        // 100 bytes every 20 seconds.
        let taken = elapsed.as_secs() / 20 * 100;
        Some(closed_window(WRITTEN - taken, elapsed))
    };
    assert_eq!(watch(queue, true, SAMPLE_INTERVAL).0, None);
}

/// Guards against peers that are held for ever where the kernel does not tell their state.
#[rstest]
#[case::that_takes_no_byte(true, Some(End::StandsStill))]
#[case::that_has_taken_all(false, None)]
fn peer_of_unknown_state(#[case] is_blocked: bool, #[case] expected: Option<End>) {
    let (end, elapsed) = watch(|_| None, is_blocked, SAMPLE_INTERVAL);
    assert_eq!(end, expected);
    assert_eq!(elapsed >= STANDSTILL_LIMIT, is_blocked);
}

/// Guards against a peer that is given up because this process was held up itself.
#[test]
fn time_without_samples_is_no_silence() {
    let start = Instant::now();
    let mut watch = Watch::new(0, start);
    let silent = |silent_for| Sample {
        written: WRITTEN,
        is_blocked: false,
        queue: Some(Queue {
            unacknowledged: 1,
            awaits_reply: true,
            silent_for,
        }),
    };
    let held_up = Duration::from_secs(10);
    let verdict = watch.observe(silent(held_up), start + held_up);
    assert_eq!(verdict, Verdict::Waiting);
    let answered = watch.observe(silent(100 * MS), start + held_up + SAMPLE_INTERVAL);
    assert_eq!(answered, Verdict::Waiting);
}

proptest! {
    /// Guards against any peer that answers within the limit and is given up as dead, and any that
    /// takes bytes within the limit and is given up as standing still.
    #[test]
    fn peer_that_answers_and_takes_bytes_is_kept(
        steps in prop::collection::vec((100_u64..2_000, 0_u64..2_400, any::<bool>()), 1..200),
    ) {
        let start = Instant::now();
        let mut watch = Watch::new(0, start);
        let mut now = start;
        let mut taken = 0;
        let mut taken_at = start;
        for (interval, silent_ms, awaits_reply) in steps {
            now += Duration::from_millis(interval);
            if now - taken_at > STANDSTILL_LIMIT / 2 {
                taken += 1;
                taken_at = now;
            }
            let sample = Sample {
                written: WRITTEN,
                is_blocked: true,
                queue: Some(Queue {
                    unacknowledged: WRITTEN - taken,
                    awaits_reply,
                    silent_for: Duration::from_millis(silent_ms),
                }),
            };
            prop_assert_eq!(watch.observe(sample, now), Verdict::Waiting);
        }
    }
}
