//! Clocks: monotonic time for timeouts, wall-clock time for timestamps.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Monotonic time from tokio's clock, which tests can pause.
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Wall-clock time, milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.unwrap_or(Duration::ZERO).as_millis() as u64
}
