//! Concurrency limit of one backend server, which grows from a cold start to the full limit.
//!
//! A cold backend server handles only few requests at once. The limit grows in steps, each after
//! enough answers and enough time at the current limit. It falls back to the cold limit when the
//! backend server becomes cold again, which is detected by a restart or by its latency.

use std::time::{Duration, Instant};

/// New limit after one step, as a percentage of the previous limit.
const STEP_PERCENT: usize = 150;
/// First-byte latency that counts as cold, as a multiple of the smoothed warm latency.
const COLD_FACTOR: u32 = 8;
/// Minimum first-byte latency that counts as cold.
const MIN_COLD_LATENCY: Duration = Duration::from_millis(50);
/// Number of consecutive slow answers after which a backend server counts as cold.
const COLD_ANSWERS: u32 = 3;
/// Inverse weight of a new sample in the exponential moving average of the latency.
const SMOOTHING_DIVISOR: u32 = 8;

/// Concurrency limit of a backend server during and after its warm-up.
#[derive(Debug, Clone)]
pub struct Ramp {
    cold_limit: usize,
    full_limit: usize,
    /// Minimum time over which the limit grows to the full limit.
    warm_up: Duration,
    limit: usize,
    /// Number of answers at the current limit.
    answers: usize,
    /// Time of the last change of the limit.
    limit_changed_at: Instant,
    /// Smoothed first-byte latency.
    latency: Option<Duration>,
    /// Number of consecutive slow answers.
    slow_answers: u32,
    /// Whether the limit is lowered when the backend server is cold.
    enabled: bool,
}

impl Ramp {
    /// Creates a ramp that grows from `cold_limit` to `full_limit` concurrent requests over at
    /// least the time `warm_up`, with an equal share of it for each limit.
    pub fn new(cold_limit: usize, full_limit: usize, warm_up: Duration, now: Instant) -> Self {
        assert!(
            cold_limit >= 1 && cold_limit <= full_limit,
            "the cold limit must be from 1 to the full limit"
        );
        Self {
            cold_limit,
            full_limit,
            warm_up,
            limit: cold_limit,
            answers: 0,
            limit_changed_at: now,
            latency: None,
            slow_answers: 0,
            enabled: true,
        }
    }

    /// Creates a constant limit of `full_limit` concurrent requests.
    pub fn fixed(full_limit: usize, now: Instant) -> Self {
        let mut ramp = Self::new(full_limit, full_limit, Duration::ZERO, now);
        ramp.enabled = false;
        ramp
    }

    /// Current limit on concurrent requests.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Whether the full limit is reached.
    pub fn is_warm(&self) -> bool {
        self.limit == self.full_limit
    }

    /// Smoothed first-byte latency; `None` before the first answer after the start or a reset.
    pub fn latency(&self) -> Option<Duration> {
        self.latency
    }

    /// Lowers the limit to the cold limit.
    pub fn reset(&mut self, now: Instant) {
        if !self.enabled {
            return;
        }
        self.limit = self.cold_limit;
        self.answers = 0;
        self.slow_answers = 0;
        self.latency = None;
        self.limit_changed_at = now;
    }

    /// Records the first-byte latency of an answer. Returns `true` and resets the limit if the
    /// backend server counts as cold.
    pub fn observe(&mut self, latency: Duration, now: Instant) -> bool {
        if self.is_cold_latency(latency) {
            self.slow_answers += 1;
            if self.slow_answers >= COLD_ANSWERS {
                self.reset(now);
                return true;
            }
            return false;
        }
        self.slow_answers = 0;
        self.update_latency(latency);
        self.answers += 1;
        self.grow(now);
        assert!(
            (self.cold_limit..=self.full_limit).contains(&self.limit),
            "the limit is out of range"
        );
        false
    }

    fn is_cold_latency(&self, latency: Duration) -> bool {
        let Some(average) = self.latency else {
            return false;
        };
        self.enabled && self.is_warm() && latency > (average * COLD_FACTOR).max(MIN_COLD_LATENCY)
    }

    fn update_latency(&mut self, latency: Duration) {
        let Some(average) = self.latency else {
            self.latency = Some(latency);
            return;
        };
        let smoothed = (average * (SMOOTHING_DIVISOR - 1) + latency) / SMOOTHING_DIVISOR;
        self.latency = Some(smoothed);
    }

    fn grow(&mut self, now: Instant) {
        let next_step_at = self.limit_changed_at + self.warm_up / self.limit_count();
        if self.is_warm() || self.answers < self.limit || now < next_step_at {
            return;
        }
        let next = (self.limit * STEP_PERCENT)
            .div_ceil(100)
            .max(self.limit + 1);
        self.limit = next.min(self.full_limit);
        self.answers = 0;
        self.limit_changed_at = now;
    }

    /// Number of successive limits, including the cold and the full limit.
    fn limit_count(&self) -> u32 {
        let mut count = 1;
        let mut limit = self.cold_limit;
        while limit < self.full_limit {
            limit = (limit * STEP_PERCENT).div_ceil(100).max(limit + 1);
            count += 1;
        }
        count
    }
}
