//! Restart of background tasks that ended although they must not: the delay before each restart, and
//! whether a task counts as failing.

use std::time::{Duration, Instant};

/// How a task is restarted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Delay before the first restart; each further one doubles it.
    pub min_backoff: Duration,
    /// Maximum delay.
    pub max_backoff: Duration,
    /// Time for which a task must run to count as sound again.
    pub sound_after: Duration,
    /// Number of ends in a row, each before the task was sound, from which it counts as failing.
    pub max_ends: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            min_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(2),
            sound_after: Duration::from_secs(10),
            max_ends: 4,
        }
    }
}

/// Restarts of one task.
#[derive(Debug)]
pub struct Restarts {
    policy: Policy,
    started_at: Instant,
    /// Number of ends since the task was last sound.
    ends: u32,
    total: u32,
}

impl Restarts {
    /// Creates the record of a task that starts at `now`.
    pub fn new(policy: Policy, now: Instant) -> Self {
        Self {
            policy,
            started_at: now,
            ends: 0,
            total: 0,
        }
    }

    /// Records that the task has ended; returns the delay before its restart.
    pub fn record_end(&mut self, now: Instant) -> Duration {
        if self.is_sound(now) {
            self.ends = 0;
        }
        let factor = 1_u32.checked_shl(self.ends).unwrap_or(u32::MAX);
        self.ends = self.ends.saturating_add(1);
        let backoff = self.policy.min_backoff.saturating_mul(factor);
        backoff.min(self.policy.max_backoff)
    }

    /// Records that the task was started again.
    pub fn record_restart(&mut self, now: Instant) {
        self.started_at = now;
        self.total = self.total.saturating_add(1);
    }

    /// Number of restarts so far.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Whether the task ends again and again, so that its work is not done.
    pub fn is_failing(&self) -> bool {
        self.ends >= self.policy.max_ends
    }

    /// Time from which the task counts as sound if it does not end before.
    pub fn sound_at(&self) -> Instant {
        self.started_at + self.policy.sound_after
    }

    /// Records that the task has run until `now`; it no longer counts as failing if it is sound.
    pub fn record_progress(&mut self, now: Instant) {
        if self.is_sound(now) {
            self.ends = 0;
        }
    }

    fn is_sound(&self, now: Instant) -> bool {
        now >= self.sound_at()
    }
}
