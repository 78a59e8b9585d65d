//! Outlier detection: ejects engines whose requests fail, judged by their answers alone.
//!
//! An engine can fail part of its requests, or those of some senders, while its health check passes.
//! It is ejected for a while and then probed with single requests.

use std::time::{Duration, Instant};

/// Weight of the newest outcome in the moving average of failures.
const EWMA_WEIGHT: f64 = 0.2;
/// Failure rate at which an engine is ejected.
const MAX_FAILURE_RATE: f64 = 0.3;
/// Number of consecutive failures at which an engine is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 2;
/// Duration of the first ejection; each failed probe doubles it.
const EJECTION_MIN: Duration = Duration::from_millis(500);
/// Longest ejection, and time after which an unanswered probe is considered lost.
const EJECTION_MAX: Duration = Duration::from_secs(4);

/// Outcome of a request that was sent to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The engine sent a valid response, possibly an error response.
    Success,
    /// The engine stated that it has not run the request; no evidence for or against its health.
    Rejected,
    /// The connection failed, the answer was unusable, or there was none.
    Failure,
}

/// Failure detector of one engine.
#[derive(Debug, Clone)]
pub struct Detector {
    failure_rate: f64,
    consecutive_failures: u32,
    /// Duration of the next ejection.
    ejection: Duration,
    ejected_until: Option<Instant>,
    /// Send time of the probe whose outcome is not known yet, if any.
    probe_sent_at: Option<Instant>,
}

impl Default for Detector {
    fn default() -> Self {
        Self {
            failure_rate: 0.0,
            consecutive_failures: 0,
            ejection: EJECTION_MIN,
            ejected_until: None,
            probe_sent_at: None,
        }
    }
}

impl Detector {
    /// Records an outcome; returns true if it ejects an engine that was not ejected before.
    pub fn record_outcome(&mut self, outcome: Outcome, now: Instant) -> bool {
        match outcome {
            Outcome::Rejected => {
                self.probe_sent_at = None;
                false
            }
            Outcome::Success => {
                self.failure_rate *= 1.0 - EWMA_WEIGHT;
                self.consecutive_failures = 0;
                if self.probe_sent_at.take().is_some() {
                    self.ejected_until = None;
                    self.failure_rate = self.failure_rate.min(MAX_FAILURE_RATE / 2.0);
                    self.ejection = EJECTION_MIN;
                }
                false
            }
            Outcome::Failure => self.record_failure(now),
        }
    }

    fn record_failure(&mut self, now: Instant) -> bool {
        self.failure_rate = self.failure_rate * (1.0 - EWMA_WEIGHT) + EWMA_WEIGHT;
        self.consecutive_failures += 1;
        let probe_failed = self.probe_sent_at.take().is_some();
        if probe_failed {
            self.ejection = (self.ejection * 2).min(EJECTION_MAX);
        }
        if probe_failed
            || self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
            || self.failure_rate >= MAX_FAILURE_RATE
        {
            let newly_ejected = self.ejected_until.is_none();
            self.ejected_until = Some(now + self.ejection);
            return newly_ejected;
        }
        false
    }

    /// Whether a request may be sent: the engine is not ejected, or a probe is due.
    pub fn usable(&self, now: Instant) -> bool {
        let Some(until) = self.ejected_until else {
            return true;
        };
        let no_probe_pending = self
            .probe_sent_at
            .is_none_or(|sent_at| now >= sent_at + EJECTION_MAX);
        now >= until && no_probe_pending
    }

    /// Records that a request is sent; to an ejected engine it is a probe.
    pub fn record_send(&mut self, now: Instant) {
        if self.ejected_until.is_some() {
            self.probe_sent_at = Some(now);
        }
    }

    /// Whether the engine is neither ejected nor waiting for a successful probe.
    pub fn is_healthy(&self) -> bool {
        self.ejected_until.is_none()
    }

    /// Moving average of failures, 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
