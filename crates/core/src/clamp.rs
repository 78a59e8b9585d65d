//! Arithmetic on durations and times that come from outside this process. It never overflows.

use std::time::{Duration, Instant};

/// Longest duration taken from outside; a longer one counts as this one.
pub const MAX_DURATION: Duration = Duration::from_secs(24 * 3_600);

/// The time that is `duration`, but at most [`MAX_DURATION`], after `at`.
pub fn later(at: Instant, duration: Duration) -> Instant {
    at + duration.min(MAX_DURATION)
}

/// Converts milliseconds; more than [`MAX_DURATION`] to that.
pub fn milliseconds(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds).min(MAX_DURATION)
}

/// Converts seconds: a negative number to zero, and one above [`MAX_DURATION`], or none at all, to
/// that.
pub fn seconds(seconds: f64) -> Duration {
    if seconds <= 0.0 {
        return Duration::ZERO;
    }
    let duration = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_DURATION);
    duration.min(MAX_DURATION)
}
