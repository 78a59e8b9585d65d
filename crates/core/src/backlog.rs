//! Bound on the memory that is held for answers which callers have not taken yet.
//!
//! What is held is never given up for it: while more than the limit is held, new requests are refused.

use std::time::{Duration, Instant};

/// Share of the memory of a process that answers may take, percent.
const MEMORY_PERCENT: u64 = 30;
/// Period over which released bytes are counted; the counts of two periods give the rate.
const RATE_PERIOD: Duration = Duration::from_secs(4);
/// Bounds of the time for which a refused caller is told to wait.
const MIN_WAIT: Duration = Duration::from_millis(100);
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Counts the bytes of answers that are held.
#[derive(Debug, Clone, Copy)]
pub struct Backlog {
    /// Number of bytes above which requests are refused.
    limit: u64,
    /// Number of bytes held.
    held: u64,
    /// Number of bytes released in the current period and in the one before.
    released: [u64; 2],
    /// Beginning of the current period.
    period_start: Instant,
}

impl Backlog {
    /// Bounds the answers held by a process with this much memory, bytes.
    pub fn new(memory_bytes: u64, now: Instant) -> Self {
        Self {
            limit: (memory_bytes / 100).saturating_mul(MEMORY_PERCENT),
            held: 0,
            released: [0; 2],
            period_start: now,
        }
    }

    /// Number of bytes held.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Counts an answer as held.
    pub fn hold(&mut self, bytes: u64) {
        self.held += bytes;
    }

    /// Counts an answer as taken or dropped; it was held.
    pub fn release(&mut self, bytes: u64, now: Instant) {
        assert!(bytes <= self.held, "{bytes} of {} released", self.held);
        self.turn(now);
        self.held -= bytes;
        self.released[0] += bytes;
    }

    /// Whether a new request is refused; returns the time after which less than the limit will be
    /// held if answers are taken at the rate of the last seconds.
    pub fn refusal(&mut self, now: Instant) -> Option<Duration> {
        let excess = self.held.checked_sub(self.limit)?;
        self.turn(now);
        let elapsed = RATE_PERIOD + now.saturating_duration_since(self.period_start);
        let rate = (self.released[0] + self.released[1]) as f64 / elapsed.as_secs_f64();
        let wait = Duration::try_from_secs_f64(excess as f64 / rate).unwrap_or(MAX_WAIT);
        Some(wait.clamp(MIN_WAIT, MAX_WAIT))
    }

    /// Begins a new period if the current one is over.
    fn turn(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.period_start);
        if elapsed < RATE_PERIOD {
            return;
        }
        let previous = self.released[0];
        self.released = [
            0,
            if elapsed < 2 * RATE_PERIOD {
                previous
            } else {
                0
            },
        ];
        self.period_start = now;
    }
}
