//! Tests of the age of datagrams from a process with another clock.

use {
    jayspread_core::delay::{Delay, Sent},
    std::time::{Duration, Instant},
};

const MS: Duration = Duration::from_millis(1);

fn sent(process: u64, uptime: Duration) -> Sent {
    Sent { process, uptime }
}

#[test]
fn datagram_that_took_longer_than_others_is_as_old_as_that() {
    let start = Instant::now();
    let mut delay = Delay::default();
    assert_eq!(delay.measure(sent(1, MS * 5_000), start), Duration::ZERO);
    let late = delay.measure(sent(1, MS * 5_100), start + MS * 400);
    assert_eq!(late, MS * 300);
    let fresh = delay.measure(sent(1, MS * 5_500), start + MS * 500);
    assert_eq!(fresh, Duration::ZERO);
}

#[test]
fn restarted_sender_is_measured_by_its_own_clock() {
    let start = Instant::now();
    let mut delay = Delay::default();
    delay.measure(sent(1, MS * 60_000), start);
    assert_eq!(delay.measure(sent(2, MS), start + MS * 100), Duration::ZERO);
    assert_eq!(delay.measure(sent(2, MS * 2), start + MS * 111), MS * 10);
}

/// The clock of a suspended host stands still. Its later datagrams are not old for ever.
#[test]
fn sender_whose_clock_stood_still_counts_as_fresh_again() {
    let start = Instant::now();
    let mut delay = Delay::default();
    for n in 0..20 {
        delay.measure(sent(1, MS * 60 * n), start + MS * 60 * n);
    }
    let resumed = start + Duration::from_secs(10);
    let delays: Vec<Duration> = (0..9)
        .map(|n| delay.measure(sent(1, MS * (1_200 + 60 * n)), resumed + MS * 60 * n))
        .collect();
    assert!(delays[0] > Duration::from_secs(8));
    assert_eq!(delays[8], Duration::ZERO);
}

/// A receiver that was paused reads what arrived meanwhile. Only the last datagrams are fresh.
#[test]
fn datagrams_that_waited_for_a_paused_receiver_are_old() {
    let start = Instant::now();
    let mut delay = Delay::default();
    delay.measure(sent(1, Duration::ZERO), start);
    let resumed = start + Duration::from_secs(5);
    let first = delay.measure(sent(1, MS * 60), resumed);
    assert_eq!(first, MS * 4_940);
    let last = delay.measure(sent(1, MS * 4_990), resumed);
    assert_eq!(last, MS * 10);
}
