//! Clocks: monotonic time for decisions, wall time for stamps.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Monotonic time; follows tokio's clock, also when tests pause it.
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Wall time, milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or(Duration::ZERO).as_millis() as u64
}
