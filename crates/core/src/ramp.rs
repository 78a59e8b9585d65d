//! Concurrency limit of one backend server, from cold start to full load.
//!
//! A cold backend server starts with the few requests that it bears. The limit grows by steps,
//! each after enough answers at this limit and enough time, and falls back to the cold limit when
//! the backend server turns cold again, which shows in a restart or in its latency.

use std::time::{Duration, Instant};

/// Growth of the limit by one step, percent.
const STEP_PERCENT: usize = 150;
/// First-byte latency that counts as cold, as a multiple of the warm latency.
const COLD_FACTOR: u32 = 8;
/// Least first-byte latency that counts as cold.
const COLD_FLOOR: Duration = Duration::from_millis(50);
/// Consecutive slow answers that show a cold backend server.
const COLD_ANSWERS: u32 = 3;
/// Weight of a new latency sample, as a divisor.
const SMOOTHING: u32 = 8;

/// Concurrency limit that follows a backend server's warm-up.
#[derive(Debug, Clone)]
pub struct Ramp {
    cold: usize,
    full: usize,
    warm: Duration,
    limit: usize,
    /// Answers seen at the present limit.
    answers: usize,
    stepped: Instant,
    /// Smoothed first-byte latency once warm.
    latency: Option<Duration>,
    slow: u32,
    enabled: bool,
}

impl Ramp {
    /// Creates a ramp from `cold` to `full` requests that takes at least `warm` in all.
    pub fn new(cold: usize, full: usize, warm: Duration, now: Instant) -> Self {
        assert!(cold >= 1 && cold <= full, "limits out of order");
        Self {
            cold,
            full,
            warm,
            limit: cold,
            answers: 0,
            stepped: now,
            latency: None,
            slow: 0,
            enabled: true,
        }
    }

    /// Creates a limit that stays at `full` from the start.
    pub fn fixed(full: usize, now: Instant) -> Self {
        let mut ramp = Self::new(full, full, Duration::ZERO, now);
        ramp.enabled = false;
        ramp
    }

    /// Requests that may run at once now.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Whether the limit has reached its full height.
    pub fn is_warm(&self) -> bool {
        self.limit == self.full
    }

    /// Smoothed first-byte latency, if any was seen.
    pub fn latency(&self) -> Option<Duration> {
        self.latency
    }

    /// Falls back to the cold limit.
    pub fn reset(&mut self, now: Instant) {
        if !self.enabled {
            return;
        }
        self.limit = self.cold;
        self.answers = 0;
        self.slow = 0;
        self.latency = None;
        self.stepped = now;
    }

    /// Takes in the first-byte latency of an answer; true when it shows a cold backend server.
    pub fn observe(&mut self, latency: Duration, now: Instant) -> bool {
        if self.looks_cold(latency) {
            self.slow += 1;
            if self.slow >= COLD_ANSWERS {
                self.reset(now);
                return true;
            }
            return false;
        }
        self.slow = 0;
        self.smooth(latency);
        self.answers += 1;
        self.grow(now);
        assert!(
            (self.cold..=self.full).contains(&self.limit),
            "limit out of range"
        );
        false
    }

    fn looks_cold(&self, latency: Duration) -> bool {
        let Some(usual) = self.latency else {
            return false;
        };
        self.enabled && self.is_warm() && latency > (usual * COLD_FACTOR).max(COLD_FLOOR)
    }

    fn smooth(&mut self, latency: Duration) {
        let Some(usual) = self.latency else {
            self.latency = Some(latency);
            return;
        };
        let smoothed = (usual * (SMOOTHING - 1) + latency) / SMOOTHING;
        self.latency = Some(smoothed);
    }

    fn grow(&mut self, now: Instant) {
        let due = self.stepped + self.warm / self.steps();
        if self.is_warm() || self.answers < self.limit || now < due {
            return;
        }
        let next = (self.limit * STEP_PERCENT)
            .div_ceil(100)
            .max(self.limit + 1);
        self.limit = next.min(self.full);
        self.answers = 0;
        self.stepped = now;
    }

    /// Steps from the cold limit to the full one.
    fn steps(&self) -> u32 {
        let mut steps = 1;
        let mut limit = self.cold;
        while limit < self.full {
            limit = (limit * STEP_PERCENT).div_ceil(100).max(limit + 1);
            steps += 1;
        }
        steps
    }
}
