//! Retry budget: retries are a bounded share of recent requests.

use std::time::{Duration, Instant};

/// Retries allowed per hundred recent requests.
const SHARE_PERCENT: f64 = 20.0;
/// Retries allowed without any recent request.
const RESERVE: f64 = 10.0;
/// Time in which the memory of requests halves.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Budget of retries of one entry host.
#[derive(Debug, Clone)]
pub struct Budget {
    /// Retries that may be made now.
    tokens: f64,
    /// Largest number of tokens.
    ceiling: f64,
    updated: Instant,
}

impl Budget {
    /// Creates a budget that holds its reserve.
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: RESERVE,
            ceiling: RESERVE,
            updated: now,
        }
    }

    /// Counts a request that was answered.
    pub fn deposit(&mut self, now: Instant) {
        self.age(now);
        self.ceiling += SHARE_PERCENT / 100.0;
        self.tokens = (self.tokens + SHARE_PERCENT / 100.0).min(self.ceiling);
    }

    /// Takes one retry from the budget, if it has any.
    pub fn withdraw(&mut self, now: Instant) -> bool {
        self.age(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        assert!(self.tokens >= 0.0, "budget overdrawn");
        true
    }

    /// Fades the memory of requests and refills the reserve.
    fn age(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = now.max(self.updated);
        let halvings = elapsed / HALF_LIFE.as_secs_f64();
        let excess = (self.ceiling - RESERVE) * 0.5_f64.powf(halvings);
        self.ceiling = RESERVE + excess;
        let refill = RESERVE * elapsed / HALF_LIFE.as_secs_f64();
        self.tokens = (self.tokens + refill).min(self.ceiling);
    }
}

/// What is known about an attempt that brought no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attempt {
    /// Proven not to have started, and never to start.
    NotStarted,
    /// May have started.
    Unknown,
}

/// Whether another attempt is allowed.
pub fn allowed(attempt: Attempt, repeatable: bool) -> bool {
    match attempt {
        Attempt::NotStarted => true,
        Attempt::Unknown => repeatable,
    }
}
