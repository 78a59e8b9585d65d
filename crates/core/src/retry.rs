//! Retry budget: retries may be at most a share of recent requests.

use std::time::{Duration, Instant};

/// Number of retries allowed per hundred recent requests.
const RETRY_PERCENT: f64 = 20.0;
/// Number of retries allowed without any recent request.
const MIN_RETRIES: f64 = 10.0;
/// Time after which a request counts half towards the budget.
const REQUEST_HALF_LIFE: Duration = Duration::from_secs(10);

/// Retry budget of one entry host, as a token bucket whose capacity follows recent requests.
#[derive(Debug, Clone)]
pub struct Budget {
    /// Number of retries that may be made now.
    tokens: f64,
    /// Largest number of tokens.
    capacity: f64,
    updated_at: Instant,
}

impl Budget {
    /// Creates a budget for a host without recent requests.
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: MIN_RETRIES,
            capacity: MIN_RETRIES,
            updated_at: now,
        }
    }

    /// Counts a request that was answered.
    pub fn deposit(&mut self, now: Instant) {
        self.update(now);
        self.capacity += RETRY_PERCENT / 100.0;
        self.tokens = (self.tokens + RETRY_PERCENT / 100.0).min(self.capacity);
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn withdraw(&mut self, now: Instant) -> bool {
        self.update(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        assert!(self.tokens >= 0.0, "retry budget overdrawn");
        true
    }

    /// Decays the capacity that requests added, and refills tokens.
    fn update(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.updated_at = now.max(self.updated_at);
        let half_lives = elapsed / REQUEST_HALF_LIFE.as_secs_f64();
        let excess = (self.capacity - MIN_RETRIES) * 0.5_f64.powf(half_lives);
        self.capacity = MIN_RETRIES + excess;
        let refill = MIN_RETRIES * elapsed / REQUEST_HALF_LIFE.as_secs_f64();
        self.tokens = (self.tokens + refill).min(self.capacity);
    }
}

/// What is known about an attempt that returned no complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attempt {
    /// It did not start and never will.
    NotStarted,
    /// It may have started.
    Unknown,
}

/// Whether another attempt is allowed; `retryable` requests may run more than once.
pub fn allowed(attempt: Attempt, retryable: bool) -> bool {
    match attempt {
        Attempt::NotStarted => true,
        Attempt::Unknown => retryable,
    }
}
